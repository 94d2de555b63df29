package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// TargetPool is what requests for one service go along.
type TargetPool struct {
	Service           *serving.Service
	EventGapObjective time.Duration // for the pauses in its streams
	Targets           []*serving.Target
	Entries           int // that send to them
}

// Admit hands targets to requests that wait at a gate, as far as targets have room.
//
// If all targets name a rate nobody waits here: how soon a request may go is then told by
// whoever issues the permits of the targets.
func Admit(g *AdmissionQueue, b *Tracker, l TargetPool, now time.Time) {
	if b.AllRateLimited(l.Targets) {
		g.release()
		return
	}
	lanes := b.lanes(l, now)
	g.noteSlowRank(b.hasSlowRank(lanes, now))
	b.prepare(lanes, g.demand(now), now)
	g.grant(now, func() bool { return b.lateMayGo(lanes) }, func(r *Request) *serving.Target { return b.reserve(lanes, r, now) })
}

// prepare computes what this entry may send.
func (b *Tracker) prepare(lanes []groupLane, d demand, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range lanes {
		l := &lanes[i]
		b.lates(l.Service.Name).coming.take(d.entered, now)
		b.assume(l, now)
		b.renew(l, d, now)
	}
}
