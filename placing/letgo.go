package placing

import (
	"math"
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// Lane is what requests for one service go along.
type Lane struct {
	Service *serving.Service
	GapAim  time.Duration // for the pauses in its streams
	Targets []*serving.Target
	Entries int // that send to them
}

// LetGo hands targets to requests that wait at a gate, as far as targets have room.
func LetGo(g *Gate, b *Book, l Lane, now time.Time) {
	g.noteTargets(len(l.Targets), now)
	l.Targets = b.withoutSlow(l.Targets, now)
	g.noteSlowRank(b.hasSlowRank(l.Service.Name, now))
	most := b.Limit(l.Service, l.GapAim, now)
	b.prepare(l, most, g.demand(now), now)
	g.grant(now, func() bool { return b.lateMayGo(l, most) }, func(r *Request) *serving.Target { return b.reserve(l, int(math.Ceil(most)), r, now) })
}

// prepare reckons what this entry may send.
func (b *Book) prepare(l Lane, most float64, d demand, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.assume(l, now)
	b.renew(l, most, d, now)
}
