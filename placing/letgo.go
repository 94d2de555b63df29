package placing

import (
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
	most := b.Limit(l.Service, l.GapAim, now)
	most -= unseen(g.perSecond(now), l, b.reportAge(l.Service.Name, now))
	most = max(most, 1)
	g.grant(now, func(r *Request) *serving.Target {
		b.assume(l, now)
		return b.reserve(l, most, r.Size, now)
	})
}

// unseen returns how many requests other entries have sent to each target since
// its load was reported, if they send as many as this one does. With many entries
// and reports a few hundred milliseconds old it is several, and targets that seem
// to have room fill their own queues.
func unseen(perSecond float64, l Lane, age time.Duration) int {
	if len(l.Targets) == 0 || age > reportLife {
		return 0
	}
	return int(perSecond*float64(l.Entries-1)/float64(len(l.Targets))*age.Seconds() + 0.5)
}
