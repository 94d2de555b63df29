package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
)

// streamPace tells how fast streams get on, by the pauses between their events.
type streamPace struct {
	mean     time.Duration
	at       time.Time // of the latest pause
	slowRank bool      // the group has one, by the latest report
}

// Figures of the pace.
const (
	// paceWeight is the weight of one pause: an entry's streams have thirty a second
	// and more.
	paceWeight = 32
	// paceTTL: without a stream to see, nothing is known any more.
	paceTTL = time.Second
	// honouredShare of the time that callers have left is the longest that they wait
	// before they come back. Source: the platform's statement.
	honouredShare = 1.0 / 3
)

func (p *streamPace) take(pause time.Duration, now time.Time) {
	if now.Sub(p.at) > paceTTL {
		p.mean = pause
	}
	p.at = now
	p.mean += (pause - p.mean) / paceWeight
}

// canFinish tells whether a stream that begins now ends before its deadline, at the pace
// that streams have.
//
// Load pattern: a rank takes many times as long, for seconds, and so do the passes of all. A
// long stream then takes longer than its caller stays: it holds a place for all that time,
// for nothing, while shorter ones wait that would end in time.
// Passes that are long for another reason are short again once the map has followed,
// within half a second, so only a slow rank counts.
func (p *streamPace) canFinish(r *Request, now time.Time) bool {
	if ablate.Off(ablate.CannotFinish) || !p.slowRank || r.ExpectedEvents == 0 || r.Deadline.IsZero() || now.Sub(p.at) > paceTTL {
		return true
	}
	return time.Duration(r.ExpectedEvents*float64(p.mean)) <= r.Deadline.Sub(now)
}

// CanFinish tells whether a stream that begins now ends before its deadline. If it does
// not, comeBack is when its caller does best to return: if passes are as short as usual
// by then it can still end, and a caller that is told a longer time comes sooner.
func (g *AdmissionQueue) CanFinish(r *Request, now time.Time) (comeBack time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pace.canFinish(r, now) {
		return 0, true
	}
	return time.Duration(float64(r.Deadline.Sub(now)) * honouredShare), false
}

// noteSlowRank notes whether a rank of the group is many times as slow as usual.
func (g *AdmissionQueue) noteSlowRank(slow bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pace.slowRank = slow
}

// RecordEventGap notes a pause between two events of a stream.
func (g *AdmissionQueue) RecordEventGap(pause time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pace.take(pause, now)
}
