package demo

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/examples"
)

// Description is the one JSON line that tells a script where everything is.
type Description struct {
	Entries  []string            `json:"entries"`  // addresses for callers
	Agents   map[string]string   `json:"agents"`   // address by target
	Standins StandinsDescription `json:"standins"` // see docs/STANDINS.md
	Teams    map[string]string   `json:"teams"`    // key by team
}

// StandinsDescription says where the stand-ins are.
type StandinsDescription struct {
	Platform string               `json:"platform"` // log service and VM list
	Control  string               `json:"control"`  // faults
	Targets  map[string]TargetRow `json:"targets"`
}

// TargetRow is what an agent's settings need to know of its target.
type TargetRow struct {
	Address    string `json:"address"`
	Kind       string `json:"kind"`
	DataCentre string `json:"data_centre"`
}

// Describe returns the description of stand-ins without a system before them.
func (s *Standins) Describe() Description {
	d := Description{
		Entries: []string{},
		Agents:  map[string]string{},
		Standins: StandinsDescription{
			Platform: s.Platform,
			Control:  s.ControlAddr,
			Targets:  make(map[string]TargetRow, len(s.Targets)),
		},
		Teams: teamKeys(s.Config),
	}
	for _, t := range s.Config.Targets {
		d.Standins.Targets[t.Name] = TargetRow{
			Address:    s.Targets[t.Name].Server.Addr,
			Kind:       s.Kind(t),
			DataCentre: t.DataCentre,
		}
	}
	return d
}

// teamKeys returns the demo keys of the teams that use them.
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

// Describe returns the description of a whole fleet.
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

// Write writes the description as one JSON line.
func (d Description) Write(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(d); err != nil {
		return fmt.Errorf("describe: %w", err)
	}
	return nil
}
