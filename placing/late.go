package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
)

// lateShare limits how much of this entry's share of a service's slots is used by streams that are
// already late.
//
// It guards against a self-sustaining delay after an outage: the group returns with all slots free,
// and every queued request is late. If all were sent at once, they would fill the group for two
// seconds, in which new requests would wait and become late too, and so on. A late response is
// worth the same a second later, so late streams get only the slots that on-time streams leave
// free. On-time streams need as many slots as the arrival rate times the mean duration of a stream.
type lateShare struct {
	running      int // late streams of this entry
	arrivals     arrivalRate
	meanDuration time.Duration // mean duration of ended streams
}

// durationSmoothing is the inverse weight of one duration in the mean.
const durationSmoothing = 16

func (l *lateShare) recordStart(r *Request, late bool, now time.Time) {
	r.placedAt, r.placedLate = now, late
	if late {
		l.running++
	}
}

func (l *lateShare) recordEnd(r *Request, now time.Time) {
	if r.placedAt.IsZero() {
		return
	}
	if r.placedLate {
		l.running--
	}
	l.meanDuration += (now.Sub(r.placedAt) - l.meanDuration) / durationSmoothing
	r.placedAt = time.Time{}
}

// canAdmit reports whether one more late stream may start. capacity is this entry's share of the
// streams that the groups of the service can run.
func (l *lateShare) canAdmit(capacity float64) bool {
	if ablate.Off(ablate.LateShare) {
		return true
	}
	onTimeStreams := l.arrivals.perSecond * l.meanDuration.Seconds()
	return float64(l.running) < capacity-onTimeStreams
}

// lateShareOf returns the limit on late streams for a service and creates it if needed. The lock
// must be held.
func (tr *Tracker) lateShareOf(service string) *lateShare {
	l := tr.lateShares[service]
	if l == nil {
		l = new(lateShare)
		tr.lateShares[service] = l
	}
	return l
}

// arrivalRate is an exponentially decaying mean of the rate at which requests arrive.
type arrivalRate struct {
	total     int
	perSecond float64
	updatedAt time.Time
}

// Parameters of the arrival rate.
const (
	arrivalUpdateInterval = 250 * time.Millisecond
	arrivalDecay          = 0.75 // weight of the previous mean at each update, so that the rate follows within a second
)

// update computes the rate from the total number of requests that have arrived so far.
func (a *arrivalRate) update(total int, now time.Time) {
	if a.updatedAt.IsZero() {
		a.total, a.updatedAt = total, now
		return
	}
	elapsed := now.Sub(a.updatedAt)
	if elapsed < arrivalUpdateInterval {
		return
	}
	latest := float64(total-a.total) / elapsed.Seconds()
	a.perSecond = a.perSecond*arrivalDecay + latest*(1-arrivalDecay)
	a.total, a.updatedAt = total, now
}
