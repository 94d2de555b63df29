package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// PermitQuery asks for permission to send one request to a target that names a rate.
type PermitQuery struct {
	MaxWait        time.Duration // that the request may wait for it
	RejectIfDenied bool          // without a permit its caller is refused, and told when to come back
	ColdRate       float64       // requests a second that the target takes while it is cold; 0: it is not
}

// Permit is the answer.
type Permit struct {
	Granted    bool
	Wait       time.Duration // until the permit is valid, or until one may be free
	RetryAfter time.Duration // for a caller that is refused
}

// permits spaces the requests that go to a target from all entries together.
//
// One entry issues the permits of a target, the others ask it for each request. A share of the
// rate for each entry would not do: with more entries than the rate allows requests in a few
// seconds, one request of each is too many already.
type permits struct {
	since    time.Time // when this entry began to issue them; zero: another one does
	last     time.Time // when the latest one is valid
	promised time.Time // until when refused callers were told to come back
}

// Figures of permits.
const (
	// takeOver: an entry that begins to issue the permits of a target grants none for so long,
	// in which the one that did before hears of it and stops.
	takeOver = time.Second
	// maxInterval is the longest time between two permits. A target that asks for next to nothing
	// is sent a request now and then all the same, or it would never be heard to want more.
	maxInterval = 30 * time.Second
	// maxPromise: refused callers are told to come back one after the other over this time.
	maxPromise = 5 * time.Second
)

// interval returns the time between two permits.
func interval(rate float64) time.Duration {
	if rate*maxInterval.Seconds() < 1 {
		return maxInterval
	}
	return time.Duration(float64(time.Second) / rate)
}

// take grants the next permit, if it is valid in time.
func (p *permits) take(rate float64, q PermitQuery, now time.Time) Permit {
	every := interval(rate)
	free := now
	if !p.since.IsZero() {
		free = later(now, p.since.Add(takeOver))
	}
	if !p.last.IsZero() {
		free = later(free, p.last.Add(every))
	}
	permit := Permit{Wait: free.Sub(now)}
	switch {
	case permit.Wait <= q.MaxWait:
		permit.Granted, p.last = true, free
	case q.RejectIfDenied:
		permit.RetryAfter = p.promise(free, every).Sub(now)
	}
	return permit
}

// promise returns when the next caller that is refused should come back: each at the time of
// another permit, or all would come for the same one.
func (p *permits) promise(free time.Time, every time.Duration) time.Time {
	p.promised = later(p.promised.Add(every), free)
	if p.promised.Sub(free) > maxPromise {
		p.promised = free
	}
	return p.promised
}

// IssuePermit grants a permit as the entry that issues those of a target. part is the part of the
// fleet that this entry sees alive: if the fleet has split, each side has that part of the rate.
func (b *Tracker) IssuePermit(run serving.Run, part float64, q PermitQuery, now time.Time) Permit {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.limits.byRun[run]
	named := known != nil && known.rate != Unlimited
	if q.ColdRate > 0 && (!named || q.ColdRate < known.rate) {
		return b.coldLimit(run, now).take(q.ColdRate*part, q, now)
	}
	if !named {
		return Permit{Granted: true}
	}
	if known.permits.since.IsZero() {
		known.permits.since = now
	}
	return known.permits.take(known.rate*part, q, now)
}

// StopIssuingPermits notes that another entry issues the permits of a target.
func (b *Tracker) StopIssuingPermits(run serving.Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.limits.byRun[run]; known != nil {
		known.permits.since = time.Time{}
	}
	if cold := b.limits.cold[run]; cold != nil {
		cold.permits.since = time.Time{}
	}
}
