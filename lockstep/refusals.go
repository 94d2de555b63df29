package lockstep

import "time"

// refusalBackoff delays planning after ranks have refused several maps in a row.
//
// If ranks refuse every map for a reason unknown to the leader, the leader would otherwise plan and
// send maps all the time, and occupy its processor and every agent's link. One refusal is normal
// after a restart, when earlier versions are unknown, and the leader plans another map at once.
// From the second refusal on the leader waits, and the wait doubles each time.
type refusalBackoff struct {
	consecutive int
	until       time.Time
}

// Bounds of the backoff.
const (
	minRefusalBackoff = time.Second
	maxRefusalBackoff = 16 * time.Second
)

// record records that ranks have refused another map.
func (r *refusalBackoff) record(now time.Time) {
	r.consecutive++
	if r.consecutive == 1 {
		return
	}
	r.until = now.Add(min(minRefusalBackoff<<min(r.consecutive-2, 8), maxRefusalBackoff))
}

// isActive reports whether the leader must not plan yet.
func (r *refusalBackoff) isActive(now time.Time) bool { return now.Before(r.until) }
