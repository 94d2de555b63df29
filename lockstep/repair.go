package lockstep

import (
	"time"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/peers"
)

// mixedMapsDelay is how long ranks must have had different maps before they are repaired. States that
// were read before and after the start of a pass differ too.
const mixedMapsDelay = 200 * time.Millisecond

// repairMaps switches a group whose ranks use different maps to one map.
func (l *leader) repairMaps(holder *member, ranks []rank) {
	now := time.Now()
	switch {
	case !usesSeveralMaps(ranks):
		l.mixedSince = time.Time{}
		return
	case l.mixedSince.IsZero():
		l.mixedSince = now
		return
	case oldestState(ranks).Sub(l.mixedSince) < mixedMapsDelay:
		return
	case l.pending != nil:
		l.advancePending(holder, ranks)
		return
	}
	if l.refusals.isActive(now) || !proxyAnswers(ranks) || ranks[0].state.Step < l.switchStep {
		return
	}
	layouts, ok := l.mixedLayouts(ranks)
	if !ok {
		return
	}
	l.armed = nil
	l.highestVersion = nextVersion(l.highestVersion)
	l.pending = &pendingMap{version: l.highestVersion, layouts: layouts, plannedAt: now}
	l.a.opts.Metrics.Count("groups_with_several_maps", 1)
	l.a.opts.Log.Info("ranks use different maps", "group", ranks[0].state.Group, "epoch", l.epoch, "version", l.pending.version,
		"ms", now.Sub(l.mixedSince).Milliseconds())
	l.recordMap(*l.pending)
	l.prepare(ranks)
}

// oldestState returns the time of the oldest of the ranks' states.
func oldestState(ranks []rank) time.Time {
	oldest := ranks[0].state.AsOf
	for i := range ranks {
		if t := ranks[i].state.AsOf; t.Before(oldest) {
			oldest = t
		}
	}
	return oldest
}

// usesSeveralMaps reports whether ranks use maps of different versions.
func usesSeveralMaps(ranks []rank) bool {
	for i := range ranks {
		if ranks[i].state.Map != ranks[0].state.Map {
			return true
		}
	}
	return false
}

// mixedLayouts returns a map in which each rank keeps the experts that it has, as far as all experts
// then have a rank.
func (l *leader) mixedLayouts(ranks []rank) ([]expert.Layout, bool) {
	m := l.group.model
	reported, complete := l.group.collect(ranks[0].state.Group, &peers.Collect{Lists: true})
	if !complete || len(reported) != len(ranks) {
		return nil, false
	}
	layouts := make([]expert.Layout, m.LayerSets)
	for set := range layouts {
		layout := make(expert.Layout, len(ranks))
		for r := range reported {
			lists := reported[r].state.Lists
			if len(lists) != m.LayerSets {
				l.a.opts.Log.Info("map not read back", "epoch", l.epoch, "rank", r)
				return nil, false
			}
			layout[r] = lists[set]
		}
		layouts[set] = expert.Complete(layout, m.Experts, m.ExpertsPerRank)
	}
	return layouts, true
}
