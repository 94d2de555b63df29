package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// RecordEventGap records a gap between two events of a stream at a target. Each event ends a pass
// of the target's group, so gaps show how long passes last for callers.
func (tr *Tracker) RecordEventGap(t *serving.Target, gap time.Duration, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	g := tr.group(tr.groupKeyOf(t, now))
	g.longestGap = max(g.longestGap, gap)
}

// TakeLongestGap returns the longest gap at a group since the previous call; 0: none.
func (tr *Tracker) TakeLongestGap(service, group string) time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	g := tr.groups[groupKey{service: service, name: group}]
	if g == nil {
		return 0
	}
	gap := g.longestGap
	g.longestGap = 0
	return gap
}
