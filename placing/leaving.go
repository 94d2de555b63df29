package placing

import (
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// Leaving is the statement of a target that it leaves. It binds for the rest of the target's run,
// whatever the store says of the target.
type Leaving struct {
	Run    serving.Run
	SaidAt time.Time // when the target last said so, as far as this entry knows
}

// leavingTTL is how long a statement is kept and propagated after the target has made it. It exceeds
// by far the time for which a target that leaves still serves, and the time by which a record in the
// store may be out of date. The statement of a target that is still known is kept longer.
const leavingTTL = 5 * time.Minute

type leaving struct {
	saidAt   time.Time
	learntAt time.Time // when this entry first learnt of it
}

// RecordLeaving records that a target has said that it leaves, to this entry or to another one. It
// returns true if this entry did not know of it.
func (tr *Tracker) RecordLeaving(l Leaving, now time.Time) (learnt bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	known, ok := tr.stated.leavings[l.Run]
	switch {
	case ok:
		known.saidAt = later(known.saidAt, l.SaidAt)
		return false
	case now.Sub(l.SaidAt) >= leavingTTL, len(tr.stated.leavings) >= maxStatements:
		return false
	}
	tr.stated.leavings[l.Run] = &leaving{saidAt: l.SaidAt, learntAt: now}
	return true
}

// isLeaving reports whether a target has said that it leaves.
func (s *statements) isLeaving(run serving.Run) bool {
	return s.leavings[run] != nil && !ablate.Off(ablate.Leaving)
}

// IsLeaving reports whether a target has said that it leaves.
func (tr *Tracker) IsLeaving(run serving.Run) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.stated.isLeaving(run)
}

// pruneLeavings drops statements that are older than leavingTTL and whose target is gone.
func (s *statements) pruneLeavings(known func(run serving.Run) bool, now time.Time) {
	for run, l := range s.leavings {
		if !known(run) && now.Sub(l.saidAt) >= leavingTTL {
			delete(s.leavings, run)
		}
	}
}

// leavingSpreadTime is the time within which a statement reaches all entries. Later it is sent only
// now and then, to entries that have missed it: many targets leave within leavingTTL in a release.
const leavingSpreadTime = 5 * time.Second

// Leavings returns statements for other entries: at most fresh of those that this entry has learnt
// within leavingSpreadTime, the newest first, and a random sample of at most older others.
func (tr *Tracker) Leavings(fresh, older int, now time.Time) []Leaving {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var newRuns, oldRuns []serving.Run
	for run, l := range tr.stated.leavings {
		switch {
		case now.Sub(l.saidAt) >= leavingTTL:
		case now.Sub(l.learntAt) < leavingSpreadTime:
			newRuns = append(newRuns, run)
		default:
			oldRuns = append(oldRuns, run)
		}
	}
	slices.SortFunc(newRuns, func(x, y serving.Run) int {
		return tr.stated.leavings[y].learntAt.Compare(tr.stated.leavings[x].learntAt)
	})
	tr.rng.Shuffle(len(oldRuns), func(i, j int) { oldRuns[i], oldRuns[j] = oldRuns[j], oldRuns[i] })
	var list []Leaving
	for _, run := range append(newRuns[:min(len(newRuns), fresh)], oldRuns[:min(len(oldRuns), older)]...) {
		list = append(list, Leaving{Run: run, SaidAt: tr.stated.leavings[run].saidAt})
	}
	return list
}
