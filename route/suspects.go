package route

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// SuspectState is what a process tells others of a suspect.
type SuspectState struct {
	Fingerprint uint64
	Crashes     []SuspectCrash
	Trials      []Trial
}

// SuspectCrash is a crash that a suspect may have caused.
type SuspectCrash struct {
	ID      uint64
	At      time.Time
	Cleared bool // the request has completed since
}

// expiryMargin is how long before its end a state is no longer taken from others, which may have
// counted its time a little later.
const expiryMargin = 10 * time.Second

// Merge adds what another process knows of a suspect. It returns whether this was news, and whether
// the request is rejected from now on.
func (q *Quarantine) Merge(state SuspectState, now time.Time) (changed, rejected bool) {
	q.expire(now)
	wasRejected := q.isRejected(state.Fingerprint, now)
	q.blamed.isValid = false
	s := q.suspects[state.Fingerprint]
	if s == nil {
		s = newSuspect(state.Fingerprint)
	}
	for _, c := range state.Crashes {
		if s.addCrash(c.ID, suspectCrash{at: c.At, cleared: c.Cleared}) {
			changed = true
		}
	}
	for _, t := range state.Trials {
		if s.mergeTrial(t, now) {
			changed = true
			q.trialsUntil = later(q.trialsUntil, t.Until)
		}
	}
	changed = q.addProof(state.Fingerprint, s, now) || changed
	if !changed || now.Add(expiryMargin).After(s.keptUntil()) {
		return false, false
	}
	s.changedAt = now
	if q.suspects[state.Fingerprint] == nil {
		*q.suspectFor(state.Fingerprint, now) = *s
	}
	return true, !wasRejected && q.isRejected(state.Fingerprint, now)
}

// State returns what other processes need to know of a suspect.
func (q *Quarantine) State(fingerprint uint64) SuspectState {
	state := SuspectState{Fingerprint: fingerprint}
	s := q.suspects[fingerprint]
	if s == nil {
		return state
	}
	for id, c := range s.crashes {
		state.Crashes = append(state.Crashes, SuspectCrash{ID: id, At: c.at, Cleared: c.cleared})
	}
	for _, t := range s.trials {
		state.Trials = append(state.Trials, t)
	}
	return state
}

// suspectSpreadTime is the time within which a change reaches all entries. Later it is told only now and
// then, to entries that have missed it.
const suspectSpreadTime = 5 * time.Second

// States returns suspects for a message to another process: at most fresh of those that changed within
// suspectSpreadTime, those with the most crashes first, and at most older others, chosen by shuffle among those with
// more than one crash.
func (q *Quarantine) States(fresh, older int, shuffle func([]uint64), now time.Time) []SuspectState {
	if len(q.suspects) == 0 {
		return nil
	}
	q.expire(now)
	var changed, rest []uint64
	for fingerprint, s := range q.suspects {
		switch {
		case now.Sub(s.changedAt) < suspectSpreadTime:
			changed = append(changed, fingerprint)
		case s.count > 1:
			rest = append(rest, fingerprint)
		}
	}
	q.sortByCrashes(changed)
	shuffle(rest)
	return q.statesOf(append(changed[:min(len(changed), fresh)], rest[:min(len(rest), older)]...))
}

// AllStates returns suspects for a process that knows none, those with the most crashes first.
func (q *Quarantine) AllStates(limit int, now time.Time) []SuspectState {
	q.expire(now)
	all := slices.Collect(maps.Keys(q.suspects))
	q.sortByCrashes(all)
	return q.statesOf(all[:min(len(all), limit)])
}

func (q *Quarantine) sortByCrashes(fingerprints []uint64) {
	slices.SortFunc(fingerprints, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(q.suspects[b].count, q.suspects[a].count), q.suspects[b].changedAt.Compare(q.suspects[a].changedAt), cmp.Compare(a, b))
	})
}

func (q *Quarantine) statesOf(fingerprints []uint64) (states []SuspectState) {
	for _, fingerprint := range fingerprints {
		states = append(states, q.State(fingerprint))
	}
	return states
}
