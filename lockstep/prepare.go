package lockstep

import (
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/peers"
)

// pendingMap is a map that the ranks have been ordered to prepare.
type pendingMap struct {
	version   uint64
	layouts   []expert.Layout
	copyTime  time.Duration // time that the rank with the most experts to copy needs
	plannedAt time.Time
	orderedAt time.Time // time of the latest prepare order
	refusals  int       // number of ranks that refused the latest prepare order
}

// armedMap is a map that all ranks switch to when a pass begins.
type armedMap struct {
	version uint64
	layouts []expert.Layout
	step    uint64 // number of the pass that begins with this map
}

// Limits of the preparation of a map.
const (
	prepareAttempts = 6
	// prepareSlack is the time beyond the copy time after which the prepare order is repeated.
	prepareSlack   = 500 * time.Millisecond
	prepareTimeout = 6 * time.Second
)

// wantsCounts reports whether a round collects expert selection counts. Rounds leave them out while
// ranks copy experts for a map: without counts a round takes a third of the time, so the switch
// comes sooner.
func (l *leader) wantsCounts() bool {
	return l.pending == nil || time.Since(l.pending.orderedAt) > l.pending.copyTime+prepareSlack
}

// roundDelay returns the delay until the next round.
func (l *leader) roundDelay() time.Duration {
	left := roundInterval - l.roundTime
	if l.pending != nil {
		left = min(left, l.pending.copyTime-time.Since(l.pending.orderedAt))
	}
	return max(left, pendingInterval)
}

// pendingInterval is the delay between rounds once all ranks should have prepared the pending map.
const pendingInterval = 10 * time.Millisecond

// versionStride is the range of the random part of each map version. An agent that has restarted
// and does not know all versions that it assigned must not assign one of them to another map.
const versionStride = 1 << 12

// nextVersion returns a map version above highest.
func nextVersion(highest uint64) uint64 {
	return (highest/versionStride+1)*versionStride + 1 + rand.Uint64N(versionStride-1)
}

// prepare orders ranks to prepare the pending map.
func (l *leader) prepare(ranks []rank) {
	l.pending.orderedAt, l.pending.refusals = time.Now(), 0
	full := &peers.RankOrder{Kind: peers.OrderPrepare, Epoch: l.epoch, Version: l.pending.version}
	for _, layout := range l.pending.layouts {
		full.Map = append(full.Map, [][]uint16(layout))
	}
	delta := *full
	delta.Map, delta.Base = nil, l.version
	delta.Changes = packChanges(diffLayouts(l.layouts, l.pending.layouts))
	if l.version == 0 {
		m := l.group.model
		delta.InitialMap = peers.InitialMap{Sets: uint16(m.LayerSets), Ranks: uint16(len(l.layouts[0])), Experts: uint16(m.Experts)}
	}
	// An unanswered order may take effect seconds later or never. A repetition is accepted now,
	// or refused because the first order was executed.
	remaining := ranks
	for range prepareAttempts {
		unanswered, refused := prepareAll(l.a, remaining, full, &delta)
		l.pending.refusals += refused
		remaining = unanswered
		if len(remaining) == 0 {
			return
		}
	}
	l.a.opts.Log.Info("prepare order unanswered by some ranks", "version", l.pending.version, "unanswered", len(remaining))
}

// advancePending switches to the pending map once all ranks have prepared it. Until then it repeats
// the order or abandons the map.
func (l *leader) advancePending(holder *member, ranks []rank) {
	p := l.pending
	var missing []rank
	for _, r := range ranks {
		if r.state.Prepared != p.version {
			missing = append(missing, r)
		}
	}
	now := time.Now()
	switch {
	case len(missing) == 0 && ranks[0].state.Step < l.switchStep:
		// Orders of the previous switch may still take effect before its pass begins.
		l.lag.cause = lagNoSwitch
	case len(missing) == 0 && !canDecide(ranks, p.version):
		l.a.opts.Log.Info("map given up, the proxy has not seen it", "version", p.version)
		l.pending = nil
	case len(missing) == 0:
		step, stall, ok := switchMap(l.a, holder, ranks, p.version)
		l.switchStep = max(l.switchStep, step)
		if ok {
			l.switchCosts.observe(time.Since(p.plannedAt)-p.copyTime, stall, time.Now())
			l.passPeak.addHold(stall)
			l.armed = &armedMap{version: p.version, layouts: p.layouts, step: step}
			l.refusals = refusalBackoff{}
			l.mapFollows = true
		}
		l.pending = nil
	case l.isRefusedBy(missing):
		// A repeated order would be refused again. The next plan gets a higher version.
		l.a.opts.Log.Info("map refused", "version", p.version, "missing", len(missing))
		l.a.opts.Metrics.Count("maps_refused", 1)
		l.refusals.record(now)
		l.pending = nil
	case now.Sub(p.plannedAt) > prepareTimeout:
		l.a.opts.Log.Info("map given up", "version", p.version, "missing", len(missing))
		l.pending = nil
	case now.Sub(p.orderedAt) > p.copyTime+prepareSlack:
		l.prepare(missing)
	}
}

// isRefusedBy reports whether the missing ranks have refused the pending map, as opposed to an
// order that is still in flight.
//
// A leader that does not know all versions that earlier leaders assigned may choose a version that
// some ranks take for an old one. Without this check the group would keep its map until
// prepareTimeout, with slow passes for seconds.
func (l *leader) isRefusedBy(missing []rank) bool {
	p := l.pending
	late := time.Since(p.orderedAt) > p.copyTime+prepareSlack
	return late && p.refusals >= len(missing)
}
