// Package settings reads the static settings of the daemons. A process needs them
// before it can connect to other processes. Everything else is configuration, see
// package config.
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

// Entry holds the [entry] section of the settings of heatherrail-entry.
type Entry struct {
	Name           string        `ini:"name" required:"true" doc:"name of this entry, unique"`
	DataCentre     string        `ini:"data-centre" required:"true" doc:"data centre of this VM"`
	Region         string        `ini:"region" doc:"region of the data centre; empty: there is only one"`
	MaxCallers     int           `ini:"max-callers" default:"8192" min:"16" max:"262144" doc:"callers' connections at once"`
	Callers        string        `ini:"callers" required:"true" format:"address" doc:"address that callers connect to"`
	Listen         string        `ini:"listen" required:"true" format:"address" doc:"address for other heatherrail processes"`
	CallerMemory   ini.Bytes     `ini:"caller-memory" default:"128MB" min:"32MB" max:"64GB" doc:"memory for what callers send and have not read, all together; about as much again is used beside it"`
	MaxBody        ini.Bytes     `ini:"max-body" default:"4MB" min:"1KB" max:"7MB" doc:"largest request body"`
	RequestTimeout time.Duration `ini:"request-timeout" default:"30s" min:"1s" max:"10m" doc:"how long a request may take to arrive whole, headers and body"`
	DirectoryTTL   time.Duration `ini:"answer-life" default:"30s" min:"1s" max:"1h" doc:"how long callers keep the list of entries"`
	Grace          time.Duration `ini:"shutdown-deadline" default:"10m" min:"1s" max:"24h" doc:"when a graceful shutdown gives up waiting"`
	Verbosity      int           `ini:"verbosity" default:"0" min:"0" max:"4" doc:"detail of the log"`
}

// Agent holds the [agent] section of the settings of heatherrail-agent.
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

// Values of Agent.Kind: the kind of the agent's target.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Platform holds the [platform] section: addresses of the platform's services. Both
// daemons and the operators' tool read it.
type Platform struct {
	Log string `ini:"log" required:"true" format:"address" doc:"address of the log service"`
	VMs string `ini:"vms" required:"true" format:"address" doc:"address of the VM list"`
	// SnapshotInterval is the largest age of the newest configuration snapshot in the log.
	SnapshotInterval time.Duration `ini:"snapshot-every" default:"30m" min:"1m" max:"24h" doc:"how often the configuration is published again; at most a quarter of the log's retention"`
}

// TLS holds the [tls] section: certificate and key files for connections between
// heatherrail processes. Without these files, processes use plain TCP, and only on
// loopback addresses.
type TLS struct {
	Cert string `ini:"cert" doc:"PEM file of this process's certificate, with the DNS names of its roles, see SECURITY.md"`
	Key  string `ini:"key" doc:"PEM file of its private key"`
	CA   string `ini:"ca" doc:"PEM file of the authorities that peers' certificates are accepted from; two during a rotation"`
}

// Network loads the certificate and key files and returns the transport for connections
// to other processes. For an empty TLS, the transport uses plain TCP.
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

// EntryFile holds the settings file of heatherrail-entry.
type EntryFile struct {
	Entry    Entry
	Platform Platform
	TLS      TLS
	Network  *wire.Network // transport for connections to other processes, derived from TLS
}

// AgentFile holds the settings file of heatherrail-agent.
type AgentFile struct {
	Agent    Agent
	Platform Platform
	TLS      TLS
	Network  *wire.Network // transport for connections to other processes, derived from TLS
}

// ToolFile holds the settings file of the operators' tool.
type ToolFile struct {
	Platform Platform
	TLS      TLS
	Network  *wire.Network // transport for connections to other processes, derived from TLS
}

// toolListenAddr is the listen address that the check of [tls] gets for the operators' tool,
// which has no listener. The address is on loopback, so that plain TCP is allowed.
const toolListenAddr = "127.0.0.1:0"

// LoadTool reads and validates the settings file of the operators' tool. The error lists all faults.
func LoadTool(path string) (*ToolFile, error) {
	var f ToolFile
	l := load(path, map[string]any{"platform": &f.Platform, "tls": &f.TLS})
	f.Network = l.network(&f.TLS, "platform", toolListenAddr)
	return &f, l.err()
}

// LoadEntry reads and validates the settings file of heatherrail-entry. The error lists all faults.
func LoadEntry(path string) (*EntryFile, error) {
	var f EntryFile
	l := load(path, map[string]any{"entry": &f.Entry, "platform": &f.Platform, "tls": &f.TLS})
	f.Network = l.network(&f.TLS, "entry", f.Entry.Listen)
	return &f, l.err()
}

// LoadAgent reads and validates the settings file of heatherrail-agent. The error lists all faults.
func LoadAgent(path string) (*AgentFile, error) {
	var f AgentFile
	l := load(path, map[string]any{"agent": &f.Agent, "platform": &f.Platform, "tls": &f.TLS})
	f.Network = l.network(&f.TLS, "agent", f.Agent.Listen)
	return &f, l.err()
}

// settingsFile is a parsed settings file with all faults that were found in it.
type settingsFile struct {
	path     string
	readErr  error
	sections map[string]*ini.Section
	errs     ini.Errors
}

// err returns the read error or all faults, nil if there are none.
func (l *settingsFile) err() error {
	if l.readErr != nil {
		return l.readErr
	}
	return l.errs.Err()
}

// addError adds a fault at the line of a key, or at the section's line if the key is absent,
// or at line 1 if the section is absent.
func (l *settingsFile) addError(section, key, message string) {
	line := 1
	if sec := l.sections[section]; sec != nil {
		line = sec.LineOf(key)
	}
	l.errs = append(l.errs, &ini.Error{File: l.path, Line: line, Where: section + "." + key, What: message})
}

// network loads the files of [tls] and checks that they suffice for the listen address in
// the given section. It returns nil if the settings file or a file of [tls] has a fault.
func (l *settingsFile) network(t *TLS, section, listen string) *wire.Network {
	if l.err() != nil {
		return nil
	}
	numGiven := 0
	for _, file := range []string{t.Cert, t.Key, t.CA} {
		if file != "" {
			numGiven++
		}
	}
	if numGiven != 0 && numGiven != 3 {
		l.addError("tls", "cert", "cert, key and ca belong together: set all three or none")
		return nil
	}
	n, err := t.Network()
	if err != nil {
		l.addError("tls", "cert", err.Error())
		return nil
	}
	if err := n.Check(listen); err != nil {
		l.addError(section, "listen", result.From(err).Detail)
	}
	return n
}

// load parses a file and decodes each section into its struct in want, including
// sections that are missing, so that their defaults and required keys apply.
func load(path string, want map[string]any) *settingsFile {
	l := &settingsFile{path: path, sections: make(map[string]*ini.Section)}
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
			l.errs = append(l.errs, &ini.Error{File: path, Line: sec.Line, What: fmt.Sprintf("unknown section [%s], allowed: %s", sec.Title(), sectionTitles(want))})
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

// sectionTitles lists the allowed sections for an error message.
func sectionTitles(want map[string]any) string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(want)) {
		names = append(names, "["+name+"]")
	}
	return strings.Join(names, " ")
}
