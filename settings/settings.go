// Package settings holds the static settings of the daemons: what a process
// must know before it can hear from anyone. Everything else is configuration.
package settings

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/heatherrail/heatherrail/internal/ini"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// Entry is the [entry] section of heatherrail-entry.
type Entry struct {
	Name       string        `ini:"name" required:"true" doc:"name of this entry, unique"`
	DataCentre string        `ini:"data-centre" required:"true" doc:"data centre of this VM"`
	Region     string        `ini:"region" doc:"region of the data centre; empty: there is only one"`
	MaxCallers int           `ini:"max-callers" default:"8192" min:"16" max:"262144" doc:"callers' connections at once"`
	Callers    string        `ini:"callers" required:"true" format:"address" doc:"address that callers connect to"`
	Listen     string        `ini:"listen" required:"true" format:"address" doc:"address for other heatherrail processes"`
	MaxBody    ini.Bytes     `ini:"max-body" default:"4MB" min:"1KB" max:"7MB" doc:"largest request body"`
	Arrival    time.Duration `ini:"request-timeout" default:"30s" min:"1s" max:"10m" doc:"how long a request may take to arrive whole, headers and body"`
	AnswerLife time.Duration `ini:"answer-life" default:"30s" min:"1s" max:"1h" doc:"how long callers keep the list of entries"`
	Grace      time.Duration `ini:"shutdown-deadline" default:"10m" min:"1s" max:"24h" doc:"when a graceful shutdown gives up waiting"`
	Verbosity  int           `ini:"verbosity" default:"0" min:"0" max:"4" doc:"detail of the log"`
}

// Agent is the [agent] section of heatherrail-agent.
type Agent struct {
	Target     string        `ini:"target" required:"true" doc:"name of the target, as the configuration declares it"`
	DataCentre string        `ini:"data-centre" required:"true" doc:"data centre of this VM"`
	Listen     string        `ini:"listen" required:"true" format:"address" doc:"address for other heatherrail processes"`
	Backend    string        `ini:"backend" required:"true" format:"address" doc:"address of the engine or service"`
	Kind       string        `ini:"kind" required:"true" oneof:"engine plain" doc:"kind of the target"`
	Metrics    string        `ini:"metrics" format:"address" doc:"address that serves /metrics and /healthz; none: no such server"`
	StaleGrace time.Duration `ini:"stale-grace" default:"10s" min:"1s" max:"10m" doc:"how long work under an overtaken configuration is still taken"`
	Queue      int           `ini:"queue-limit" default:"64" min:"1" max:"65536" doc:"requests at once, running and queued in the target"`
	Grace      time.Duration `ini:"shutdown-deadline" default:"10m" min:"1s" max:"24h" doc:"when a graceful shutdown gives up waiting"`
	Verbosity  int           `ini:"verbosity" default:"0" min:"0" max:"4" doc:"detail of the log"`
	Slots      int           `ini:"slots" default:"0" min:"0" max:"65536" doc:"requests that the engine decodes at once; others wait in the agent, by shares and priority; 0: as many as queue-limit"`
}

// Kinds of targets.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Platform is the [platform] section of both daemons.
type Platform struct {
	Log string `ini:"log" required:"true" format:"address" doc:"address of the log service"`
	VMs string `ini:"vms" required:"true" format:"address" doc:"address of the VM list"`
	// Snapshots bounds how old the newest snapshot on the log may be.
	Snapshots time.Duration `ini:"snapshot-every" default:"30m" min:"1m" max:"24h" doc:"how often the configuration is published again; at most a quarter of the log's retention"`
}

// TLS is the [tls] section of both daemons: the keys for the connections between
// heatherrail processes. Without it they speak plain TCP, on loopback only.
type TLS struct {
	Cert string `ini:"cert" doc:"PEM file of this process's certificate, with the DNS names of its roles, see SECURITY.md"`
	Key  string `ini:"key" doc:"PEM file of its private key"`
	CA   string `ini:"ca" doc:"PEM file of the authorities that peers' certificates are accepted from; two during a rotation"`
}

// Network returns how processes connect.
func (t *TLS) Network() (*wire.Network, error) {
	if *t == (TLS{}) {
		return new(wire.Network), nil
	}
	keys, err := wire.LoadKeys(t.Cert, t.Key, t.CA)
	if err != nil {
		return nil, err
	}
	return &wire.Network{Keys: keys}, nil
}

// EntryFile is a whole settings file of heatherrail-entry.
type EntryFile struct {
	Entry    Entry
	Platform Platform
	TLS      TLS
	Network  *wire.Network // made from TLS
}

// AgentFile is a whole settings file of heatherrail-agent.
type AgentFile struct {
	Agent    Agent
	Platform Platform
	TLS      TLS
	Network  *wire.Network // made from TLS
}

// ToolFile is a settings file of the operators' tool.
type ToolFile struct {
	Platform Platform
	TLS      TLS
	Network  *wire.Network // made from TLS
}

// toolAddress stands for the listener that the tool does not have.
const toolAddress = "127.0.0.1:0"

// LoadTool reads and checks a file; the error lists every fault.
func LoadTool(path string) (*ToolFile, error) {
	var f ToolFile
	l := load(path, map[string]any{"platform": &f.Platform, "tls": &f.TLS})
	f.Network = l.network(&f.TLS, "platform", toolAddress)
	return &f, l.err()
}

// LoadEntry reads and checks a file; the error lists every fault.
func LoadEntry(path string) (*EntryFile, error) {
	var f EntryFile
	l := load(path, map[string]any{"entry": &f.Entry, "platform": &f.Platform, "tls": &f.TLS})
	f.Network = l.network(&f.TLS, "entry", f.Entry.Listen)
	return &f, l.err()
}

// LoadAgent reads and checks a file; the error lists every fault.
func LoadAgent(path string) (*AgentFile, error) {
	var f AgentFile
	l := load(path, map[string]any{"agent": &f.Agent, "platform": &f.Platform, "tls": &f.TLS})
	f.Network = l.network(&f.TLS, "agent", f.Agent.Listen)
	return &f, l.err()
}

// loaded is a file that was read, with its faults.
type loaded struct {
	path     string
	readErr  error
	sections map[string]*ini.Section
	errs     ini.Errors
}

func (l *loaded) err() error {
	if l.readErr != nil {
		return l.readErr
	}
	return l.errs.Err()
}

// fail reports a fault at a key, or at the top of the file if it is not given.
func (l *loaded) fail(section, key, what string) {
	line := 1
	if sec := l.sections[section]; sec != nil {
		line = sec.LineOf(key)
	}
	l.errs = append(l.errs, &ini.Error{File: l.path, Line: line, Where: section + "." + key, What: what})
}

// network checks [tls] against the address that it protects.
func (l *loaded) network(t *TLS, section, listen string) *wire.Network {
	if l.err() != nil {
		return nil
	}
	given := 0
	for _, file := range []string{t.Cert, t.Key, t.CA} {
		if file != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		l.fail("tls", "cert", "cert, key and ca belong together: give all three or none")
		return nil
	}
	n, err := t.Network()
	if err != nil {
		l.fail("tls", "cert", err.Error())
		return nil
	}
	if err := n.Check(listen); err != nil {
		l.fail(section, "listen", result.From(err).Detail)
	}
	return n
}

func load(path string, want map[string]any) *loaded {
	l := &loaded{path: path, sections: make(map[string]*ini.Section)}
	text, err := os.ReadFile(path)
	if err != nil {
		l.readErr = fmt.Errorf("read settings: %w", err)
		return l
	}
	sections, errs := ini.Parse(path, string(text))
	l.errs = errs
	for i := range sections {
		sec := &sections[i]
		dst, known := want[sec.Title()]
		switch {
		case !known:
			l.errs = append(l.errs, &ini.Error{File: path, Line: sec.Line, What: fmt.Sprintf("unknown section [%s], allowed: %s", sec.Title(), titles(want))})
		case l.sections[sec.Title()] != nil:
			l.errs = append(l.errs, &ini.Error{File: path, Line: sec.Line, What: fmt.Sprintf("section [%s] is given twice", sec.Title())})
		default:
			l.errs = append(l.errs, ini.Decode(sec, dst)...)
			l.sections[sec.Title()] = sec
		}
	}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		if l.sections[name] == nil {
			l.errs = append(l.errs, ini.Decode(&ini.Section{Kind: name, File: path, Line: 1}, want[name])...)
		}
	}
	return l
}

func titles(want map[string]any) string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(want)) {
		names = append(names, "["+name+"]")
	}
	return strings.Join(names, " ")
}
