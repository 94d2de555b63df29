// Package settings holds the static settings of the daemons: what a process
// must know before it can hear from anyone. Everything else is configuration.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/heatherrail/heatherrail/internal/ini"
)

// Entry is the [entry] section of heatherrail-entry.
type Entry struct {
	Name       string        `ini:"name" required:"true" doc:"name of this entry, unique"`
	DataCentre string        `ini:"data-centre" required:"true" doc:"data centre of this VM"`
	Callers    string        `ini:"callers" required:"true" format:"address" doc:"address that callers connect to"`
	Listen     string        `ini:"listen" required:"true" format:"address" doc:"address for other heatherrail processes"`
	MaxBody    ini.Bytes     `ini:"max-body" default:"4MB" min:"1KB" max:"7MB" doc:"largest request body"`
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
	Queue      int           `ini:"queue-limit" default:"64" min:"1" max:"65536" doc:"requests at once, running and queued in the target"`
	Grace      time.Duration `ini:"shutdown-deadline" default:"10m" min:"1s" max:"24h" doc:"when a graceful shutdown gives up waiting"`
	Verbosity  int           `ini:"verbosity" default:"0" min:"0" max:"4" doc:"detail of the log"`
	Slots      int           `ini:"slots" default:"0" min:"0" max:"65536" doc:"requests that the engine decodes at once; others wait in the agent, by shares and priority; 0: as many as queue-limit"`
}

// Platform is the [platform] section of both daemons.
type Platform struct {
	Log string `ini:"log" required:"true" format:"address" doc:"address of the log service"`
	VMs string `ini:"vms" required:"true" format:"address" doc:"address of the VM list"`
}

// EntryFile is a whole settings file of heatherrail-entry.
type EntryFile struct {
	Entry    Entry
	Platform Platform
}

// AgentFile is a whole settings file of heatherrail-agent.
type AgentFile struct {
	Agent    Agent
	Platform Platform
}

// LoadEntry reads and checks a file; the error lists every fault.
func LoadEntry(path string) (*EntryFile, error) {
	var f EntryFile
	err := load(path, map[string]any{"entry": &f.Entry, "platform": &f.Platform})
	return &f, err
}

// LoadAgent reads and checks a file; the error lists every fault.
func LoadAgent(path string) (*AgentFile, error) {
	var f AgentFile
	err := load(path, map[string]any{"agent": &f.Agent, "platform": &f.Platform})
	return &f, err
}

func load(path string, want map[string]any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	sections, errs := ini.Parse(path, string(text))
	seen := make(map[string]bool)
	for i := range sections {
		sec := &sections[i]
		dst, known := want[sec.Title()]
		switch {
		case !known:
			errs = append(errs, &ini.Error{File: path, Line: sec.Line, What: fmt.Sprintf("unknown section [%s]", sec.Title())})
		case seen[sec.Title()]:
			errs = append(errs, &ini.Error{File: path, Line: sec.Line, What: fmt.Sprintf("section [%s] is given twice", sec.Title())})
		default:
			errs = append(errs, ini.Decode(sec, dst)...)
		}
		seen[sec.Title()] = true
	}
	for name, dst := range want {
		if !seen[name] {
			errs = append(errs, ini.Decode(&ini.Section{Kind: name, File: path, Line: 1}, dst)...)
		}
	}
	return errs.Err()
}
