package placing

import (
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// Placement costs, in units of one request running at a target.
const (
	remoteCost      = 0.1    // cost of a target in another data centre; only breaks ties
	promptTokenCost = 0.0015 // cost of each prompt token that is still to be prefilled
	// slowdownCost is the cost of each unit of slowdown above 1, once the slowdown exceeds
	// slowdownCostThreshold. All ranks of a group wait for a slow rank, so it gets requests last.
	slowdownCost          = 10.0
	slowdownCostThreshold = 1.3
	// slowRankThreshold is the slowdown from which a rank counts as slow and gets no requests. A
	// stream or prompt on a slow rank prolongs the passes of all ranks by that many times as much
	// as on another rank.
	slowRankThreshold = 2.0
)

// withoutSlowRanks returns the targets with a slowdown below slowRankThreshold, or all targets if
// these are fewer than half.
//
// It guards against one rank of a full group that takes many times as long as usual: streams on
// that rank prolong all passes so much that no stream can end on time. The fixed part of a pass on
// that rank alone takes longer than a usual pass, so the other ranks may be full at no extra cost.
//
// The lock must be held.
func (tr *Tracker) withoutSlowRanks(targets []*serving.Target, now time.Time) []*serving.Target {
	remaining := make([]*serving.Target, 0, len(targets))
	for _, t := range targets {
		ts := tr.states[t.Run()]
		if ts == nil || now.Sub(ts.reported.reportedAt) >= ReportTTL || ts.reported.Slowdown < slowRankThreshold {
			remaining = append(remaining, t)
		}
	}
	if 2*len(remaining) < len(targets) || ablate.Off(ablate.SlowLeftOut) {
		return targets
	}
	return remaining
}

// Place chooses the target of an attempt: the target with the least cost in a random sample of the
// targets that exclude does not reject, or nil if there is none. Ejected targets are used only if
// there is no other. exclude must not call the tracker.
func (tr *Tracker) Place(targets []*serving.Target, exclude func(*serving.Target) bool, now time.Time) *serving.Target {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.place(targets, exclude, now)
}

func (tr *Tracker) place(targets []*serving.Target, exclude func(*serving.Target) bool, now time.Time) *serving.Target {
	if tr.isAvoided != nil {
		if best := tr.placeAmong(targets, func(t *serving.Target) bool { return exclude(t) || tr.isAvoided(t.Run()) }, now); best != nil {
			return best
		}
	}
	return tr.placeAmong(targets, exclude, now)
}

func (tr *Tracker) placeAmong(targets []*serving.Target, exclude func(*serving.Target) bool, now time.Time) *serving.Target {
	runs := make([]serving.Run, 0, len(targets))
	for _, t := range targets {
		runs = append(runs, t.Run())
	}
	ejected := tr.ejector.Excluded(runs, now, tr.rng.Float64)
	best := tr.leastCost(targets, func(t *serving.Target) bool { return exclude(t) || ejected[t.Run()] }, now)
	if best == nil && len(ejected) > 0 {
		best = tr.leastCost(targets, exclude, now)
	}
	return best
}

// hasSlowRank reports whether any group has a rank with a slowdown of slowRankThreshold or more, by
// current load reports.
func (tr *Tracker) hasSlowRank(pools []groupPool, now time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return slices.ContainsFunc(pools, func(p groupPool) bool {
		state := tr.group(p.key)
		return now.Sub(state.ReportedAt) < ReportTTL && state.MaxSlowdown >= slowRankThreshold
	})
}

// isUsable reports whether a target accepts requests, now or after a rest, as far as this entry
// knows.
func (tr *Tracker) isUsable(t *serving.Target) bool {
	ts := tr.states[t.Run()]
	return t.IsAvailable() && !tr.stated.isLeaving(t.Run()) && (ts == nil || !ts.replaced)
}

// Accepts reports whether a target accepts requests now, as far as this entry knows.
func (tr *Tracker) Accepts(t *serving.Target, now time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.accepts(t, now)
}

func (tr *Tracker) accepts(t *serving.Target, now time.Time) bool {
	return tr.isUsable(t) && tr.stated.restOf(t.Run(), now) == 0
}

// sampleSize is the number of targets that a placement compares. All entries have the same,
// slightly stale reports: if each compared all targets, all would choose the same one until the
// next report.
const sampleSize = 3

// leastCost returns the target with the least cost in a random sample.
func (tr *Tracker) leastCost(targets []*serving.Target, exclude func(*serving.Target) bool, now time.Time) *serving.Target {
	usable := make([]*serving.Target, 0, len(targets))
	for _, t := range targets {
		if tr.accepts(t, now) && !tr.stated.isBlocked(t.Run(), now) && !exclude(t) {
			usable = append(usable, t)
		}
	}
	samples := sampleSize
	if ablate.Off(ablate.Sample) {
		samples = len(usable)
	}
	idle, newConnCost := tr.withIdleConn(usable), 0.0
	if len(idle) > 0 {
		samples, newConnCost = samples-1, dialCost
	}
	candidates := append(tr.sampleTargets(usable, samples), tr.sampleTargets(idle, 1)...)
	var best *serving.Target
	var bestCost float64
	for _, t := range candidates {
		cost := tr.cost(t, now)
		if newConnCost > 0 && !tr.hasIdleConn(t.Run()) {
			cost += newConnCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

const (
	// maxIdleConnTargets is the number of targets with idle connections above which these targets
	// get no preference. An entry with idle connections to more than two samples of targets is busy
	// enough to have a connection to most targets that it samples.
	maxIdleConnTargets = 2 * sampleSize
	// dialCost is the placement cost of opening a connection. It only breaks ties between targets
	// with equally many requests.
	dialCost = 0.25
)

// sampleTargets returns a random sample of the targets. It reorders the slice that it is given.
func (tr *Tracker) sampleTargets(targets []*serving.Target, count int) []*serving.Target {
	count = min(count, len(targets))
	for i := range count {
		j := i + tr.rng.IntN(len(targets)-i)
		targets[i], targets[j] = targets[j], targets[i]
	}
	return slices.Clone(targets[:count])
}

// withIdleConn returns the targets to which this entry has an open and idle connection. It returns
// nil if these are many, or if there are few targets in all.
//
// It guards against a new connection for each request: with many entries that each have a request
// now and then, and many targets, this entry has hardly ever used a random target recently. So
// every request would wait for a new connection, and its target would bear the cost of setting it
// up.
func (tr *Tracker) withIdleConn(targets []*serving.Target) []*serving.Target {
	if tr.hasIdleConn == nil || len(targets) <= maxIdleConnTargets {
		return nil
	}
	var idle []*serving.Target
	for _, t := range targets {
		if tr.hasIdleConn(t.Run()) {
			idle = append(idle, t)
		}
	}
	if len(idle) > maxIdleConnTargets {
		return nil
	}
	return idle
}

// cost returns the placement cost of a target in units of one running request.
func (tr *Tracker) cost(t *serving.Target, now time.Time) float64 {
	cost := float64(tr.load(t, now))
	if t.DataCentre != tr.dataCentre {
		cost += remoteCost
	}
	ts := tr.states[t.Run()]
	if ts == nil {
		return cost
	}
	cost += promptTokenCost * ts.pendingPromptTokens
	if now.Sub(ts.reported.reportedAt) < ReportTTL && ts.reported.Slowdown > slowdownCostThreshold && !ablate.Off(ablate.SlowWeight) {
		cost += slowdownCost * (ts.reported.Slowdown - 1)
	}
	return cost
}
