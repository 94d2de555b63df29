package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
)

// NumLevels is the number of urgency levels.
const NumLevels = 20

// LevelCounts counts on-time requests by urgency level.
type LevelCounts [NumLevels]int

// deferrableSlack is the remaining on-time wait from which a request counts as deferrable. The headroom
// of a group is divided anew at each load report, so a deferrable request has at least one more
// chance after the next report.
const deferrableSlack = 2 * reportInterval

// UrgencyLevel returns the urgency level of a queued request that can still be on time. Level 0 is
// the most urgent. Requests of a priority that must start soon come before deferrable requests of the
// same priority, and both come before the next priority.
func (r *Request) UrgencyLevel(now time.Time) int {
	if ablate.Off(ablate.QueueUrgency) {
		return 0
	}
	level := 2 * min(max(r.Priority, 0), NumLevels/2-1)
	if r.LatencyObjective > 0 && r.MaxOnTimeWait()-now.Sub(r.Arrived) > deferrableSlack {
		level++
	}
	return level
}

// Add adds the counts of o.
func (c *LevelCounts) Add(o *LevelCounts) {
	for level := range c {
		c[level] += o[level]
	}
}

// total returns the sum of the counts.
func (c *LevelCounts) total() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}

// levels returns the on-time requests by level. Requests that were counted without a level, by a peer
// that doesn't send levels, count as the level that most of this entry's own requests have.
func (c *QueueCounts) levels(d *demand) LevelCounts {
	levels, usual := c.ByLevel, 0
	for level, share := range d.mix {
		if share > d.mix[usual] {
			usual = level
		}
	}
	levels[usual] += max(c.OnTime-levels.total(), 0)
	return levels
}
