package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
)

// pauses corrects the limit by the pauses between events that streams really have.
//
// Load pattern: more is asked of a group than it bears while its map does not fit, for
// seconds. What the cost model leaves out makes passes some percent longer than the aim,
// and all streams late, where a few streams fewer would leave all in time.
type pauses struct {
	longest time.Duration // since the latest correction
	factor  float64       // of the limit, less 1: never above 0
	at      time.Time     // of the latest correction
}

// Figures of the correction.
const (
	correctEvery = 200 * time.Millisecond // two or three passes
	// pauseShare of the aim may be used up: an event has its way to the caller.
	pauseShare = 1.0
	// stallShare: pauses many times the aim are of a group that stood still, which fewer
	// streams do not prevent.
	stallShare = 2.5
	pauseLess  = 0.08 // of the limit, after a pause that was too long
	pauseMore  = 0.02 // back, each time without one
	pauseLeast = -0.4
)

// Pause books a pause between two events of a stream.
func (b *Book) Pause(service string, pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pausesOf(service)
	p.longest = max(p.longest, pause)
}

// correct takes what was seen since the last time. Beside a rank so slow that passes are
// longer than the aim however few streams run, there is nothing to correct.
func (p *pauses) correct(aim time.Duration, pace float64, now time.Time) {
	if now.Sub(p.at) < correctEvery {
		return
	}
	p.at = now
	longest := float64(p.longest)
	p.longest = 0
	switch {
	case pace >= avoidPace || ablate.Off(ablate.Pauses):
		p.factor = 0
	case longest > pauseShare*float64(aim) && longest < stallShare*float64(aim):
		p.factor = max(p.factor-pauseLess, pauseLeast)
	default:
		p.factor = min(p.factor+pauseMore, 0)
	}
}

// pausesOf returns the pauses of a service; the lock must be held.
func (b *Book) pausesOf(service string) *pauses {
	p := b.pauses[service]
	if p == nil {
		p = new(pauses)
		b.pauses[service] = p
	}
	return p
}
