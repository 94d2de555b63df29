package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// coldPermits are the permits of a cold target: a target that has started recently and takes only a
// few requests a second from all entries together. Only the permit owner, the entry that issues the
// permits of the target, keeps this state.
//
// Permits for cold targets prevent overload after a restart: while the other targets are full, each
// entry sees the returning target idle and sends its queued requests there before any load report
// shows the sum of these requests.
type coldPermits struct {
	permits  permits
	lastUsed time.Time
}

const (
	// coldPermitTTL is how long the state of a cold target is kept after its last permit query.
	coldPermitTTL = 30 * time.Second
	// takeOverRateShare is the share of the rate that a new permit owner of a cold target grants
	// during takeOverDelay, because the previous owner may not have stopped yet. Granting none
	// would leave all targets idle after a power loss, when every target is cold and every permit
	// owner is new.
	takeOverRateShare = 0.5
)

// coldPermitsOf returns the permits of a cold target and creates them if needed. The lock must be
// held.
func (tr *Tracker) coldPermitsOf(run serving.Run, now time.Time) *coldPermits {
	cold := tr.stated.cold[run]
	if cold == nil {
		cold = new(coldPermits)
		tr.stated.cold[run] = cold
	}
	cold.lastUsed = now
	return cold
}

// issue grants or denies the next permit of a cold target at a rate in requests a second. A new
// permit owner does not wait for takeOverDelay but issues at takeOverRateShare of the rate during
// that time.
func (c *coldPermits) issue(rate float64, q PermitQuery, now time.Time) Permit {
	if c.permits.issuingSince.IsZero() {
		c.permits.issuingSince = now
	}
	if now.Sub(c.permits.issuingSince) < takeOverDelay {
		rate *= takeOverRateShare
	}
	ps := c.permits
	ps.issuingSince = time.Time{}
	permit := ps.issue(rate, q, now)
	ps.issuingSince = c.permits.issuingSince
	c.permits = ps
	return permit
}

// pruneCold drops cold targets that are no longer known or had no permit query within
// coldPermitTTL.
func (s *statements) pruneCold(known func(run serving.Run) bool, now time.Time) {
	for run, c := range s.cold {
		if !known(run) || now.Sub(c.lastUsed) > coldPermitTTL {
			delete(s.cold, run)
		}
	}
}
