package lockstep

import (
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/peers"
)

// pending is a map that is being prepared.
type pending struct {
	version uint64
	layouts []expert.Layout
	copying time.Duration // that the rank with most copies takes
	begun   time.Time
	sentAt  time.Time
	refused int // ranks that refused it when it was ordered last
}

// armed is a map that all ranks switch to as a pass begins.
type armed struct {
	version uint64
	layouts []expert.Layout
	step    uint64
}

// Limits of a preparation.
const (
	prepareTries = 6
	// prepareSlack is waited beyond the time that the copies take before the order is
	// given again.
	prepareSlack = 500 * time.Millisecond
	prepareLimit = 6 * time.Second
)

// wantsCounts tells whether a round asks for counts. While a map is copied rounds
// go without for a moment: they take a third of the time, and the switch comes
// sooner.
func (l *leader) wantsCounts() bool {
	return l.pending == nil || time.Since(l.pending.sentAt) > l.pending.copying+prepareSlack
}

// pause returns how long to wait until the next round.
func (l *leader) pause() time.Duration {
	left := roundEvery - l.took
	if l.pending != nil {
		left = min(left, l.pending.copying-time.Since(l.pending.sentAt))
	}
	return max(left, pendingEvery)
}

// pendingEvery is the pause between two looks at a map that should be prepared by
// now.
const pendingEvery = 10 * time.Millisecond

// versionSteps leaves room for a random part in each version: an agent that has
// restarted, and does not know all that it gave before, must not give the same
// number to another map.
const versionSteps = 1 << 12

func nextVersion(newest uint64) uint64 {
	return (newest/versionSteps+1)*versionSteps + 1 + rand.Uint64N(versionSteps-1)
}

func (l *leader) prepare(ranks []rank) {
	l.pending.sentAt, l.pending.refused = time.Now(), 0
	o := &peers.RankOrder{Kind: peers.OrderPrepare, Epoch: l.epoch, Version: l.pending.version}
	for _, layout := range l.pending.layouts {
		o.Map = append(o.Map, [][]uint16(layout))
	}
	short := *o
	short.Map, short.Base = nil, l.version
	short.Changes = packChanges(changesOf(l.layouts, l.pending.layouts))
	if l.version == 0 {
		m := l.group.model
		short.InitialMap = peers.InitialMap{Sets: uint16(m.LayerSets), Ranks: uint16(len(l.layouts[0])), Experts: uint16(m.Experts)}
	}
	// An order without an answer may take effect seconds later or never; given again
	// it is taken now, or refused because the first one was.
	left := ranks
	for range prepareTries {
		open, refused := prepareAll(l.a, left, o, &short)
		l.pending.refused += refused
		left = open
		if len(left) == 0 {
			return
		}
	}
	l.a.opts.Log.Info("map not prepared everywhere", "version", l.pending.version, "unanswered", len(left))
}

// carryOn switches to the pending map once all ranks have it.
func (l *leader) carryOn(holder *member, ranks []rank) {
	p := l.pending
	var missing []rank
	for _, r := range ranks {
		if r.state.Prepared != p.version {
			missing = append(missing, r)
		}
	}
	now := time.Now()
	switch {
	case len(missing) == 0:
		if at, stall, ok := switchTo(l.a, holder, ranks, p.version); ok {
			l.costs.take(time.Since(p.begun)-p.copying, stall)
			l.armed = &armed{version: p.version, layouts: p.layouts, step: at}
			l.refused = refusals{}
		}
		l.pending = nil
	case l.refusedBy(missing):
		// Ordered again it is refused again. The next plan has a higher version.
		l.a.opts.Log.Info("map refused", "version", p.version, "missing", len(missing))
		l.a.opts.Metrics.Count("maps_refused", 1)
		l.refused.note(now)
		l.pending = nil
	case now.Sub(p.begun) > prepareLimit:
		l.a.opts.Log.Info("map given up", "version", p.version, "missing", len(missing))
		l.pending = nil
	case now.Sub(p.sentAt) > p.copying+prepareSlack:
		l.prepare(missing)
	}
}

// refusedBy tells whether ranks lack the pending map because they refused it, and not
// because an order is still on its way.
//
// Failure: an agent leads that does not know all versions that were given before it, and
// gives one that some ranks take for an old one. Symptom: the group stays on its map until
// the preparation has reached its limit, and every pass is a long one for seconds.
func (l *leader) refusedBy(missing []rank) bool {
	p := l.pending
	late := time.Since(p.sentAt) > p.copying+prepareSlack
	return late && p.refused >= len(missing)
}
