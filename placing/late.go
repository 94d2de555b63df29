package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
)

// lateShare is what streams that are late already may hold of this entry's part of a
// group.
//
// Load pattern: a group is back after an outage with all its places free, and all that
// waited for it is late. Sent at once it fills the group for two seconds, in which the
// requests that come wait for a place and are late too; in turn they keep the next ones
// waiting. A late answer is worth the same a second later. So late streams get what is
// left beside the streams that are in time: those that come, times how long they stay.
type lateShare struct {
	running int // of this entry's
	coming  arrivals
	stay    time.Duration // mean time that a stream holds its place
}

// stayWeight is the weight of the latest stay in its mean.
const stayWeight = 16

func (l *lateShare) begin(r *Request, late bool, now time.Time) {
	r.placed, r.late = now, late
	if late {
		l.running++
	}
}

func (l *lateShare) end(r *Request, now time.Time) {
	if r.placed.IsZero() {
		return
	}
	if r.late {
		l.running--
	}
	l.stay += (now.Sub(r.placed) - l.stay) / stayWeight
	r.placed = time.Time{}
}

// mayGo tells whether one more late stream may go, of a part of a group that bears so
// many streams.
func (l *lateShare) mayGo(part float64) bool {
	if ablate.Off(ablate.LateShare) {
		return true
	}
	needed := l.coming.rate * l.stay.Seconds()
	return float64(l.running) < part-needed
}

// lates returns the share of late streams of a service; the lock must be held.
func (b *Tracker) lates(service string) *lateShare {
	l := b.late[service]
	if l == nil {
		l = new(lateShare)
		b.late[service] = l
	}
	return l
}

// arrivals is the rate at which requests come, as a mean that fades.
type arrivals struct {
	seen    int
	rate    float64
	counted time.Time
}

// Figures of the rate.
const (
	arrivalsEvery = 250 * time.Millisecond
	arrivalsKeep  = 0.75 // of the mean so far, each time: it follows within a second
)

// take records how many requests have come, all told.
func (a *arrivals) take(total int, now time.Time) {
	if a.counted.IsZero() {
		a.seen, a.counted = total, now
		return
	}
	since := now.Sub(a.counted)
	if since < arrivalsEvery {
		return
	}
	latest := float64(total-a.seen) / since.Seconds()
	a.rate = a.rate*arrivalsKeep + latest*(1-arrivalsKeep)
	a.seen, a.counted = total, now
}
