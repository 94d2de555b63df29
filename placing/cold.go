package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// coldIssuer issues the permits of a cold target: one that has started recently and takes only a
// few requests a second from all entries together.
//
// It guards against overload after a restart: while the other targets are full, each entry sees the
// returning target idle and sends its queued requests there, before any load report shows the sum.
type coldIssuer struct {
	permits  permits // issued by this entry
	lastUsed time.Time
}

const (
	// coldPermitTTL is how long the state of a cold target is kept after its last permit query.
	coldPermitTTL = 30 * time.Second
	// takeOverRateShare is the share of the rate that an entry grants when it begins to issue the
	// permits of a cold target, because the previous issuer may not have stopped yet. Granting none
	// would leave all targets idle after a power loss, when every target is cold and every issuer
	// changes.
	takeOverRateShare = 0.5
)

// coldIssuer returns the permit issuer of a cold target and creates it if needed. The lock must be
// held.
func (tr *Tracker) coldIssuer(run serving.Run, now time.Time) *coldIssuer {
	issuer := tr.limits.cold[run]
	if issuer == nil {
		issuer = new(coldIssuer)
		tr.limits.cold[run] = issuer
	}
	issuer.lastUsed = now
	return issuer
}

// issue grants the next permit of a cold target. Unlike other permits it has no take-over delay,
// see takeOverRateShare.
func (c *coldIssuer) issue(rate float64, q PermitQuery, now time.Time) Permit {
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
func (l *rateLimits) pruneCold(known func(run serving.Run) bool, now time.Time) {
	for run, c := range l.cold {
		if !known(run) || now.Sub(c.lastUsed) > coldPermitTTL {
			delete(l.cold, run)
		}
	}
}
