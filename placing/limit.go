package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// Figures of the limit.
const (
	// copySlows: passes take longer by 15 in 100 while ranks copy experts, which they
	// do whenever demand has moved. Source: the platform's statement.
	copySlows = 1.15
	// bornImbalance is the most that the gate makes room for: with fewer streams than
	// that allows, the group would not keep up with its usual load.
	bornImbalance = 2.8
	// calmImbalance is expected where nothing is known of the group's map yet.
	calmImbalance = 2.5
	// leastRunning keeps a target useful whatever the figures say.
	leastRunning = 3
)

// limit returns how many streams a target may run, so that passes stay within the
// aim for pauses: each has a fixed part, for which the group waits for its slowest
// rank, and a part for each stream, most of it with the busiest expert.
//
// Load pattern: demand moves every few seconds, and until the map follows passes
// take two to three times as long. With as many streams as targets have places each
// of these moments makes every stream late; with the limit none.
//
// If no number of streams keeps passes that short, all are late whatever is done,
// and as many run as the target takes: what is left to save is throughput.
func limit(m *serving.EngineModel, gapAim time.Duration, imbalance, pace float64) int {
	if gapAim <= 0 || m.StepPerWriter <= 0 {
		return m.Slots
	}
	factor := (1 - m.ExpertShare) + m.ExpertShare*max(imbalance, 1)
	step := float64(gapAim) / copySlows / float64(max(m.Stride, 1))
	n := int((step - float64(m.Step)*max(pace, 1)) / (float64(m.StepPerWriter) * factor))
	if n < leastRunning {
		return m.Slots
	}
	return min(n, m.Slots)
}

// Limit returns how many streams a target of a service may run now.
func (b *Book) Limit(s *serving.Service, gapAim time.Duration, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.groups[s.Name]
	if now.Sub(state.At) > reportLife {
		return limit(s.Engine, gapAim, calmImbalance, 1)
	}
	return limit(s.Engine, gapAim, max(state.Imbalance, min(state.Worst, bornImbalance)), state.Pace)
}
