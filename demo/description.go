package demo

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/examples"
)

// Description holds the addresses and keys of a fleet. Write encodes it as one JSON line for
// scripts.
type Description struct {
	Entries  []string            `json:"entries"`  // addresses for callers
	Agents   map[string]string   `json:"agents"`   // address of each agent, by target
	Standins StandinsDescription `json:"standins"` // see docs/STANDINS.md
	Teams    map[string]string   `json:"teams"`    // API key of each team, by name of the team
}

// StandinsDescription holds the addresses of the stand-ins.
type StandinsDescription struct {
	Platform string                       `json:"platform"` // address of the log service and the VM list
	Control  string                       `json:"control"`  // address for requests that inject faults
	Targets  map[string]TargetDescription `json:"targets"`
}

// TargetDescription holds the values that an agent's settings need for its target.
type TargetDescription struct {
	Address    string `json:"address"`
	Kind       string `json:"kind"`
	DataCentre string `json:"data_centre"`
}

// Describe returns the description of the stand-ins, without entries and agents.
func (s *Standins) Describe() Description {
	d := Description{
		Entries: []string{},
		Agents:  map[string]string{},
		Standins: StandinsDescription{
			Platform: s.Platform,
			Control:  s.ControlAddr,
			Targets:  make(map[string]TargetDescription, len(s.Targets)),
		},
		Teams: teamKeys(s.Config),
	}
	for _, t := range s.Config.Targets {
		d.Standins.Targets[t.Name] = TargetDescription{
			Address:    s.Targets[t.Name].Server.Addr,
			Kind:       s.Kind(t),
			DataCentre: t.DataCentre,
		}
	}
	return d
}

// teamKeys returns the demo key of each team for which the configuration contains the hash of
// that key.
func teamKeys(c *config.Config) map[string]string {
	keys := make(map[string]string, len(c.Teams))
	for _, t := range c.Teams {
		key := examples.DemoKey(t.Name)
		for _, h := range t.KeyHashes {
			if h == config.HashKey(key) {
				keys[t.Name] = key
			}
		}
	}
	return keys
}

// Describe returns the description of the fleet: entries, agents and stand-ins.
func (f *Fleet) Describe() Description {
	d := f.Standins.Describe()
	for _, e := range f.Entries {
		d.Entries = append(d.Entries, e.Addr())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, a := range f.Agents {
		d.Agents[name] = a.Addr()
	}
	return d
}

// Write writes the description to w as one JSON line.
func (d Description) Write(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(d); err != nil {
		return fmt.Errorf("describe: %w", err)
	}
	return nil
}
