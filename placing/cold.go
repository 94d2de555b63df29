package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// coldLimit is what an entry knows of the permits of a target that is cold: it has started lately
// and takes few requests a second from all entries together.
//
// Load pattern: a target comes back while the others are full. Each entry finds it idle and sends
// it what waits, and together they overrun it before any report shows its load.
type coldLimit struct {
	permits permits // that this entry issues
	used    time.Time
}

const (
	// coldTTL ends the memory of a target that nobody asks for any more.
	coldTTL = 30 * time.Second
	// takeOverPart of the rate is granted by an entry that begins to issue the permits of a cold
	// target, while the one before may still do. To grant none would leave all targets idle
	// after a loss of power, when all are cold and all entries begin to issue permits.
	takeOverPart = 0.5
)

// coldLimit returns the limit of a cold target; the lock must be held.
func (b *Tracker) coldLimit(run serving.Run, now time.Time) *coldLimit {
	known := b.limits.cold[run]
	if known == nil {
		known = new(coldLimit)
		b.limits.cold[run] = known
	}
	known.used = now
	return known
}

// take grants the next permit of a cold target. It has no take-over time, see takeOverPart.
func (c *coldLimit) take(rate float64, q PermitQuery, now time.Time) Permit {
	if c.permits.since.IsZero() {
		c.permits.since = now
	}
	if now.Sub(c.permits.since) < takeOver {
		rate *= takeOverPart
	}
	issuer := c.permits
	issuer.since = time.Time{}
	permit := issuer.take(rate, q, now)
	issuer.since = c.permits.since
	c.permits = issuer
	return permit
}

// forgetCold drops cold targets that are not known any more or were not asked for lately.
func (l *rateLimits) forgetCold(known func(run serving.Run) bool, now time.Time) {
	for run, c := range l.cold {
		if !known(run) || now.Sub(c.used) > coldTTL {
			delete(l.cold, run)
		}
	}
}
