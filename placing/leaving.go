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
	case now.Sub(l.SaidAt) >= leavingTTL:
		return false
	}
	tr.stated.leavings[l.Run] = &leaving{saidAt: l.SaidAt, learntAt: now}
	return true
}

// isLeaving reports whether a target has said that it leaves.
func (s *statements) isLeaving(run serving.Run) bool {
	return s.leavings[run] != nil && !ablate.Off(ablate.Leaving)
}

// pruneLeavings drops statements that are older than leavingTTL and whose target is gone.
func (s *statements) pruneLeavings(known func(run serving.Run) bool, now time.Time) {
	for run, l := range s.leavings {
		if !known(run) && now.Sub(l.saidAt) >= leavingTTL {
			delete(s.leavings, run)
		}
	}
}

// Leavings returns at most count statements for other entries, see newestAndSample.
func (tr *Tracker) Leavings(count int, now time.Time) []Leaving {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var runs []serving.Run
	for run, l := range tr.stated.leavings {
		if now.Sub(l.saidAt) < leavingTTL {
			runs = append(runs, run)
		}
	}
	var list []Leaving
	for _, run := range tr.newestAndSample(runs, func(run serving.Run) time.Time { return tr.stated.leavings[run].learntAt }, count) {
		list = append(list, Leaving{Run: run, SaidAt: tr.stated.leavings[run].saidAt})
	}
	return list
}

// newestAndSample returns at most count of the runs: half of them are the ones learnt most recently,
// the rest is sampled anew on each call, so that an entry that has missed one gets it later. It
// reorders runs. The lock must be held.
func (tr *Tracker) newestAndSample(runs []serving.Run, learntAt func(serving.Run) time.Time, count int) []serving.Run {
	if len(runs) <= count {
		return runs
	}
	slices.SortFunc(runs, func(x, y serving.Run) int { return learntAt(y).Compare(learntAt(x)) })
	older := runs[count/2:]
	tr.rng.Shuffle(len(older), func(i, j int) { older[i], older[j] = older[j], older[i] })
	return runs[:count]
}
