package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// PermitQuery asks for permission to send one request to a target that reports a rate limit or is
// cold.
type PermitQuery struct {
	MaxWait        time.Duration // maximum time that the request may wait for its permit
	RejectIfDenied bool          // if denied, the caller is refused with a Retry-After
	ColdRate       float64       // requests a second that the target takes while it is cold or has just ended a rest; 0: it is neither
}

// Permit is the response to a PermitQuery.
type Permit struct {
	Granted    bool
	Wait       time.Duration // time until the permit is valid; if denied, until a permit may be available
	RetryAfter time.Duration // retry delay for a caller whose request is refused
}

// permits spaces out the requests that all entries together send to a target.
//
// One entry, the permit owner of the target, issues its permits, and the other entries ask the
// owner for each request. An even share of the rate for each entry would not work: if the entries
// outnumber the requests that the rate allows in a few seconds, a single request from each entry
// already exceeds the rate.
type permits struct {
	issuingSince time.Time // when this entry became the permit owner; zero: another entry is the permit owner
	lastValid    time.Time // when the latest permit becomes valid
	lastRetry    time.Time // latest time that was given to a refused caller as its Retry-After
}

// Bounds of permits.
const (
	// takeOverDelay is how long the new permit owner of a target grants no permits. Meanwhile the
	// previous owner learns of the change and stops.
	takeOverDelay = time.Second
	// maxPermitInterval is the longest time between two permits. A target with a rate limit near
	// zero still gets a request now and then, since otherwise it could never report a higher limit.
	maxPermitInterval = 30 * time.Second
	// maxRetrySpread is the longest time over which the Retry-After times of refused callers are
	// spread.
	maxRetrySpread = 5 * time.Second
)

// permitInterval returns the time between two permits at a rate in requests a second.
func permitInterval(rate float64) time.Duration {
	if rate*maxPermitInterval.Seconds() < 1 {
		return maxPermitInterval
	}
	return time.Duration(float64(time.Second) / rate)
}

// issue grants the next permit at a rate in requests a second if the permit becomes valid within the
// maximum wait of the request, and denies it otherwise.
func (p *permits) issue(rate float64, q PermitQuery, now time.Time) Permit {
	interval := permitInterval(rate)
	validAt := now
	if !p.issuingSince.IsZero() {
		validAt = later(now, p.issuingSince.Add(takeOverDelay))
	}
	if !p.lastValid.IsZero() {
		validAt = later(validAt, p.lastValid.Add(interval))
	}
	permit := Permit{Wait: validAt.Sub(now)}
	switch {
	case permit.Wait <= q.MaxWait:
		permit.Granted, p.lastValid = true, validAt
	case q.RejectIfDenied:
		permit.RetryAfter = p.nextRetry(validAt, interval).Sub(now)
	}
	return permit
}

// nextRetry returns when the next refused caller should return. Each refused caller gets the time
// of a different permit, because otherwise all callers would return for the same permit.
func (p *permits) nextRetry(validAt time.Time, interval time.Duration) time.Time {
	p.lastRetry = later(p.lastRetry.Add(interval), validAt)
	if p.lastRetry.Sub(validAt) > maxRetrySpread {
		p.lastRetry = validAt
	}
	return p.lastRetry
}

// IssuePermit grants or denies a permit for a target whose permit owner is this entry. liveShare is
// the share of the entries that this entry sees alive: after a network partition each side grants
// only that share of the rate.
func (tr *Tracker) IssuePermit(run serving.Run, liveShare float64, q PermitQuery, now time.Time) Permit {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	limit := tr.stated.byRun[run]
	isLimited := limit != nil && limit.rate != Unlimited
	if q.ColdRate > 0 && (!isLimited || q.ColdRate < limit.rate) {
		return tr.coldPermitsOf(run, now).issue(q.ColdRate*liveShare, q, now)
	}
	if !isLimited {
		return Permit{Granted: true}
	}
	if limit.permits.issuingSince.IsZero() {
		limit.permits.issuingSince = now
	}
	return limit.permits.issue(limit.rate*liveShare, q, now)
}

// StopIssuingPermits records that another entry is the permit owner of a target.
func (tr *Tracker) StopIssuingPermits(run serving.Run) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if limit := tr.stated.byRun[run]; limit != nil {
		limit.permits.issuingSince = time.Time{}
	}
	if cold := tr.stated.cold[run]; cold != nil {
		cold.permits.issuingSince = time.Time{}
	}
}
