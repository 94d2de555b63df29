package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// RecordRest records that a target has asked this entry for rest: it wants no more requests from
// this entry for the given time. It returns true if the target was not resting before.
func (tr *Tracker) RecordRest(run serving.Run, rest time.Duration, now time.Time) (started bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	until := tr.restUntil[run]
	tr.restUntil[run] = later(until, now.Add(rest))
	return !now.Before(until)
}

// RestOf returns how long a target still rests; 0 if it does not rest.
func (tr *Tracker) RestOf(run serving.Run, now time.Time) time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.restOf(run, now)
}

func (tr *Tracker) restOf(run serving.Run, now time.Time) time.Duration {
	return max(tr.restUntil[run].Sub(now), 0)
}
