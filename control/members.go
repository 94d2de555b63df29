package control

import (
	"maps"
	"slices"
	"time"
)

// ObserverQuorum is how many must have lost a process before it counts as down, as long
// as there are that many to ask.
const ObserverQuorum = 2

// DefaultFailureTimeout is how long a process may be silent towards a witness.
const DefaultFailureTimeout = 4 * time.Second

// Observation is how long ago a witness last heard a process.
type Observation struct {
	Name        string
	Incarnation uint64
	Version     uint64 // configuration in force there
	Age         time.Duration
	Leaving     bool
}

// Members is one process's view of who is up. It is pure: time is an argument.
//
// With asymmetric loss (A hears B, B does not hear A) one witness always goes on
// hearing the process, or only one misses it: neither makes it down, so it does
// not flap. A process is down when at least two witnesses miss it and none hears it.
type Members struct {
	self    string
	silence time.Duration
	reports map[string]map[string]heard // by process, then witness
}

type heard struct {
	incarnation uint64
	version     uint64
	leaving     bool
	at          time.Time // when the witness last heard it, on this process's clock
	told        time.Time // when the witness told it
}

// NewMembers returns a view that knows nobody.
func NewMembers(self string, silence time.Duration) *Members {
	return &Members{self: self, silence: silence, reports: make(map[string]map[string]heard)}
}

// Report takes what a witness (this process itself included) says about a process.
// A sighting of an older incarnation is dropped: it was another process.
func (m *Members) Report(witness string, s Observation, now time.Time) {
	by := m.reports[s.Name]
	if by == nil {
		by = make(map[string]heard)
		m.reports[s.Name] = by
	}
	for _, h := range by {
		if h.incarnation > s.Incarnation {
			return
		}
	}
	maps.DeleteFunc(by, func(_ string, h heard) bool { return h.incarnation < s.Incarnation })
	h := heard{incarnation: s.Incarnation, version: s.Version, leaving: s.Leaving, at: now.Add(-s.Age), told: now}
	if old, ok := by[witness]; ok && old.at.After(h.at) {
		h.at, h.version, h.leaving = old.at, old.version, old.leaving // a late report does not make it older
	}
	by[witness] = h
}

// IsDown reports whether a process is lost. Unknown ones are not: the VM list names
// them and nobody has missed them yet.
func (m *Members) IsDown(name string, now time.Time) bool {
	missing := 0
	for witness, h := range m.reports[name] {
		if now.Sub(h.at) < m.silence {
			return false
		}
		if witness == m.self || now.Sub(h.told) < m.silence {
			missing++ // a witness that is silent itself says nothing
		}
	}
	return missing >= ObserverQuorum
}

// CanServe reports whether a process is not known to be leaving or without a
// configuration: it would refuse what callers send.
func (m *Members) CanServe(name string) bool {
	for _, h := range m.reports[name] {
		if h.leaving || h.version == 0 {
			return false
		}
	}
	return true
}

// Observations returns what this process heard itself, for its peers, sorted by name.
func (m *Members) Observations(now time.Time) []Observation {
	var out []Observation
	for _, name := range slices.Sorted(maps.Keys(m.reports)) {
		if h, ok := m.reports[name][m.self]; ok {
			out = append(out, Observation{Name: name, Incarnation: h.incarnation, Version: h.version, Age: now.Sub(h.at), Leaving: h.leaving})
		}
	}
	return out
}

// Versions returns the newest version that each process is known to have in force.
func (m *Members) Versions() map[string]uint64 {
	versions := make(map[string]uint64, len(m.reports))
	for name, by := range m.reports {
		for _, h := range by {
			versions[name] = max(versions[name], h.version)
		}
	}
	return versions
}

// Forget drops processes that the VM list has not shown for long.
func (m *Members) Forget(listed map[string]bool, now time.Time) {
	maps.DeleteFunc(m.reports, func(name string, by map[string]heard) bool {
		for _, h := range by {
			if listed[name] || now.Sub(h.at) < forgetAfter {
				return false
			}
		}
		return true
	})
}

// forgetAfter is longer than the VM list lags.
const forgetAfter = 5 * time.Minute

// RecordAllAlive takes from a witness that it heard all processes but the missed ones,
// and that those stay and have a configuration.
func (m *Members) RecordAllAlive(witness string, missed map[string]bool, now time.Time) {
	for name, by := range m.reports {
		if h, ok := by[witness]; ok && !missed[name] && witness != m.self {
			h.at, h.told, h.leaving, h.version = now, now, false, max(h.version, 1)
			by[witness] = h
		}
	}
}
