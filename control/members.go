package control

import (
	"maps"
	"slices"
	"time"
)

// ObserverQuorum is the number of observers that must miss a process before it counts as
// down. With fewer observers no process counts as down.
const ObserverQuorum = 2

// DefaultFailureTimeout is the time without a heartbeat after which an observer misses a
// process.
const DefaultFailureTimeout = 4 * time.Second

// Observation is what an observer last heard of a process.
type Observation struct {
	Name        string
	Incarnation uint64
	Version     uint64        // configuration version in force at the process
	Age         time.Duration // time since the observer last heard the process
	Leaving     bool
}

// Members is one process's view of which processes are up. It has no side effects: time is
// an argument.
//
// A process is down when at least ObserverQuorum observers miss it and none hears it. With
// asymmetric loss (A hears B, B does not hear A) one observer still hears the process, or
// only one misses it. In both cases the process stays up, so its state does not flap.
type Members struct {
	self           string
	failureTimeout time.Duration
	reports        map[string]map[string]observerReport // by process, then by observer
}

// observerReport is the latest observation of a process by one observer.
type observerReport struct {
	incarnation uint64
	version     uint64
	leaving     bool
	heardAt     time.Time // when the observer last heard the process, on the local clock
	reportedAt  time.Time // when the latest report of the observer arrived
}

// NewMembers returns a view without processes.
func NewMembers(self string, failureTimeout time.Duration) *Members {
	return &Members{self: self, failureTimeout: failureTimeout, reports: make(map[string]map[string]observerReport)}
}

// Report records an observer's observation of a process; the observer may be this process.
// An observation of an older incarnation is dropped: it is about an earlier process of the
// same name.
func (m *Members) Report(observer string, s Observation, now time.Time) {
	by := m.reports[s.Name]
	if by == nil {
		by = make(map[string]observerReport)
		m.reports[s.Name] = by
	}
	for _, h := range by {
		if h.incarnation > s.Incarnation {
			return
		}
	}
	maps.DeleteFunc(by, func(_ string, h observerReport) bool { return h.incarnation < s.Incarnation })
	h := observerReport{incarnation: s.Incarnation, version: s.Version, leaving: s.Leaving, heardAt: now.Add(-s.Age), reportedAt: now}
	if old, ok := by[observer]; ok && old.heardAt.After(h.heardAt) {
		h.heardAt, h.version, h.leaving = old.heardAt, old.version, old.leaving // a delayed report must not replace a newer one
	}
	by[observer] = h
}

// IsDown reports whether a process counts as down. Unknown processes do not: the VM list
// names them and no observer has missed them yet.
func (m *Members) IsDown(name string, now time.Time) bool {
	missing := 0
	for observer, h := range m.reports[name] {
		if now.Sub(h.heardAt) < m.failureTimeout {
			return false
		}
		if observer == m.self || now.Sub(h.reportedAt) < m.failureTimeout {
			missing++ // an observer whose own reports have stopped does not count
		}
	}
	return missing >= ObserverQuorum
}

// CanServe reports whether a process is not known to be leaving or to lack a
// configuration. Such a process would refuse requests.
func (m *Members) CanServe(name string) bool {
	for _, h := range m.reports[name] {
		if h.leaving || h.version == 0 {
			return false
		}
	}
	return true
}

// Observations returns this process's own observations, for its peers, sorted by name.
func (m *Members) Observations(now time.Time) []Observation {
	var out []Observation
	for _, name := range slices.Sorted(maps.Keys(m.reports)) {
		if h, ok := m.reports[name][m.self]; ok {
			out = append(out, Observation{Name: name, Incarnation: h.incarnation, Version: h.version, Age: now.Sub(h.heardAt), Leaving: h.leaving})
		}
	}
	return out
}

// Versions returns the newest configuration version that each process is known to have in
// force.
func (m *Members) Versions() map[string]uint64 {
	versions := make(map[string]uint64, len(m.reports))
	for name, by := range m.reports {
		for _, h := range by {
			versions[name] = max(versions[name], h.version)
		}
	}
	return versions
}

// Forget drops processes that are not listed and that no observer has heard for
// unlistedRetention.
func (m *Members) Forget(listed map[string]bool, now time.Time) {
	maps.DeleteFunc(m.reports, func(name string, by map[string]observerReport) bool {
		for _, h := range by {
			if listed[name] || now.Sub(h.heardAt) < unlistedRetention {
				return false
			}
		}
		return true
	})
}

// unlistedRetention is how long a process that is not in the VM list is kept. It exceeds the
// delay of the list.
const unlistedRetention = 5 * time.Minute

// RecordAllAlive records that an observer heard all processes except the missed ones, and
// that these processes are not leaving and have a configuration.
func (m *Members) RecordAllAlive(observer string, missed map[string]bool, now time.Time) {
	for name, by := range m.reports {
		if h, ok := by[observer]; ok && !missed[name] && observer != m.self {
			h.heardAt, h.reportedAt, h.leaving, h.version = now, now, false, max(h.version, 1)
			by[observer] = h
		}
	}
}
