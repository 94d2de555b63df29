package lockstep

import "time"

// refusals are the maps in a row that ranks refused.
//
// Failure: ranks refuse each map for a reason that the leader does not know. Symptom: it plans
// and sends maps all the time, which takes its processor and every agent's link. One refusal
// is usual after a restart, when versions were given that nobody knows any more, and is
// answered by another map at once; with each further one the leader waits twice as long.
type refusals struct {
	inRow int
	until time.Time
}

// Pauses after refusals.
const (
	refusedPause = time.Second
	maxRefused   = 16 * time.Second
)

func (r *refusals) note(now time.Time) {
	r.inRow++
	if r.inRow == 1 {
		return
	}
	r.until = now.Add(min(refusedPause<<min(r.inRow-2, 8), maxRefused))
}

func (r *refusals) waits(now time.Time) bool { return now.Before(r.until) }
