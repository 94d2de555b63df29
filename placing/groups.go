package placing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// A service may have several rank groups. Each runs its own passes on its own expert map, so each
// has its own limit and headroom, and may be down while the others run. All requests for the
// service share one queue and may go to any group.

// groupKey identifies a rank group of a service. Targets whose group is not known yet, as before
// the first report, count as one group with an empty name.
type groupKey struct{ service, name string }

// groupTracker is the state that an entry keeps of a group.
type groupTracker struct {
	GroupState
	targets  int // number of targets in the group
	breaker  breaker
	shortage engineShortage
	headroom headroomShare
	// latestAnsweredSend is the send time of the latest request to which a rank has begun to
	// respond.
	latestAnsweredSend time.Time
	// assumedOthers estimates the requests of other entries at each target while there are no
	// reports.
	assumedOthers float64
	longestGap    time.Duration // longest gap between events since it was last reported; 0: none
	respondedAt   time.Time     // when a target last began a successful response to this entry
}

// groupTTL is how long the state of a group is kept after its latest load report and the latest
// report of its size.
const groupTTL = time.Minute

// group returns the state of a group and creates it if needed. The lock must be held.
func (tr *Tracker) group(key groupKey) *groupTracker {
	g := tr.groups[key]
	if g == nil {
		g = new(groupTracker)
		tr.groups[key] = g
	}
	return g
}

// groupKeyOf returns the group of a target. A target that no report has named belongs to the only
// known group of its service, if there is just one and it has no current report. Otherwise the
// target belongs to the group with the empty name. The lock must be held.
func (tr *Tracker) groupKeyOf(t *serving.Target, now time.Time) groupKey {
	if ts := tr.states[t.Run()]; ts != nil && ts.group != "" {
		return groupKey{service: t.Service, name: ts.group}
	}
	key, known := groupKey{service: t.Service}, 0
	for other, g := range tr.groups {
		if other.service != t.Service || other.name == "" {
			continue
		}
		if now.Sub(g.ReportedAt) < ReportTTL {
			return groupKey{service: t.Service}
		}
		key = other
		known++
	}
	if known != 1 {
		return groupKey{service: t.Service}
	}
	return key
}

// pruneGroups drops the groups of a service for which neither load nor size has been reported within
// groupTTL. The lock must be held.
func (tr *Tracker) pruneGroups(service string, now time.Time) {
	for key, g := range tr.groups {
		if key.service == service && key.name != "" && now.Sub(g.ReportedAt) > groupTTL && now.Sub(g.shortage.sizeSetAt) > groupTTL {
			delete(tr.groups, key)
		}
	}
}

// groupPool is the part of a target pool that belongs to one group.
type groupPool struct {
	TargetPool
	key        groupKey
	maxStreams float64 // streams that a target may run, as a mean over the targets of the group
}

// groupPools divides a target pool by the groups of its targets.
func (tr *Tracker) groupPools(pool TargetPool, now time.Time) []groupPool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.pruneGroups(pool.Service.Name, now)
	for k, g := range tr.groups {
		if k.service == pool.Service.Name {
			g.targets = 0
		}
	}
	var pools []groupPool
	for _, t := range pool.Targets {
		key := tr.groupKeyOf(t, now)
		i := slices.IndexFunc(pools, func(p groupPool) bool { return p.key == key })
		if i < 0 {
			pools = append(pools, groupPool{TargetPool: pool, key: key})
			i = len(pools) - 1
			pools[i].Targets = nil
		}
		pools[i].Targets = append(pools[i].Targets, t)
	}
	for n := range pools {
		p := &pools[n]
		g := tr.group(p.key)
		g.targets = len(p.Targets)
		g.shortage.update(len(p.Targets), now)
		p.Targets = tr.withoutSlowRanks(p.Targets, now)
		p.maxStreams = tr.groupStreamLimit(p.key, pool, float64(tr.countAccepting(p.Targets, now))/float64(max(len(p.Targets), 1)), now)
	}
	pools = tr.withoutIncomplete(pools, now)
	tr.sortByUtilisation(pools, now)
	return pools
}

// capacity returns how many streams the targets that accept requests may run together.
// The lock must be held.
func (tr *Tracker) capacity(p *groupPool, now time.Time) float64 {
	return p.maxStreams * float64(tr.countAccepting(p.Targets, now))
}

// countAccepting returns how many of the targets are neither in an evacuated data centre nor
// resting. The lock must be held.
func (tr *Tracker) countAccepting(targets []*serving.Target, now time.Time) int {
	accepting := 0
	for _, t := range targets {
		if !t.Evacuated && tr.stated.restOf(t.Run(), now) == 0 {
			accepting++
		}
	}
	return accepting
}

// isRunning reports whether a group runs requests as far as this entry knows.
//
// A group whose load reports have stopped counts as running while its targets respond. The leader
// agent, which sends the reports, may stall for seconds without affecting the engines, and the
// other groups cannot take over the streams of a whole group.
func (g *groupTracker) isRunning(now time.Time) bool {
	if !g.Complete {
		return false
	}
	hasReports := now.Sub(g.ReportedAt) < ReportTTL
	responds := !g.breaker.open && now.Sub(g.respondedAt) < ReportTTL && !ablate.Off(ablate.UnreportedGroup)
	return hasReports || responds
}

// withoutIncomplete leaves out targets without a reported group and groups that are reported as
// incomplete, while another group runs requests. A service may have spare engines that are too few
// to form a group: they refuse every request, and each refusal uses up retry budget. The load
// reports of the engines show whether they have formed a group. The lock must be held.
func (tr *Tracker) withoutIncomplete(pools []groupPool, now time.Time) []groupPool {
	isRunning := func(p groupPool) bool { return p.key.name != "" && tr.group(p.key).isRunning(now) }
	if !slices.ContainsFunc(pools, func(p groupPool) bool { return isRunning(p) && !tr.group(p.key).breaker.open }) {
		return pools
	}
	return slices.DeleteFunc(pools, func(p groupPool) bool { return !isRunning(p) })
}

// remoteGroupPenalty is added to the utilisation of a group whose targets are all in other data
// centres. Links between data centres are slower and billed, while a difference in utilisation of
// a tenth hardly changes the duration of passes.
const remoteGroupPenalty = 0.1

// remotePenalty returns remoteGroupPenalty times the share of the targets in other data centres.
func (tr *Tracker) remotePenalty(targets []*serving.Target) float64 {
	if len(targets) == 0 || ablate.Off(ablate.LocalGroup) {
		return 0
	}
	remote := 0
	for _, t := range targets {
		if t.DataCentre != tr.dataCentre {
			remote++
		}
	}
	return remoteGroupPenalty * float64(remote) / float64(len(targets))
}

// sortByUtilisation sorts the pools by the used share of their capacity, lowest first. Groups in
// other data centres count as fuller by remotePenalty. The lock must be held.
func (tr *Tracker) sortByUtilisation(pools []groupPool, now time.Time) {
	if len(pools) < 2 {
		return
	}
	utilisation := make(map[groupKey]float64, len(pools))
	for _, p := range pools {
		requests := 0
		for _, t := range p.Targets {
			requests += tr.load(t, now)
		}
		utilisation[p.key] = float64(requests)/math.Max(tr.capacity(&p, now), 1) + tr.remotePenalty(p.Targets)
	}
	slices.SortStableFunc(pools, func(x, y groupPool) int { return cmp.Compare(utilisation[x.key], utilisation[y.key]) })
}

// breaker is a circuit breaker that stops requests to a group that is down: every engine of such a
// group refuses, and each refusal uses up retry budget. It lets one request through at intervals as
// a probe.
type breaker struct {
	open      bool
	nextProbe time.Time // time from which the next probe may be sent
}

// Intervals of the breaker. A group recovers within about a second of its ranks.
const (
	probeInterval = 120 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond // time from a probe without a result to the next probe
)

// blocks reports whether the breaker lets no request through now.
func (b *breaker) blocks(now time.Time) bool { return b.open && now.Before(b.nextProbe) }

// recordProbe records that a request was sent to the group. The request is the probe if the breaker
// is open.
func (b *breaker) recordProbe(now time.Time) { b.nextProbe = now.Add(probeTimeout) }

// RecordGroupRefusal records that a target refused a request because its group is down, and opens
// the breaker of the group.
func (tr *Tracker) RecordGroupRefusal(t *serving.Target, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if ablate.Off(ablate.Breaker) {
		return
	}
	tr.group(tr.groupKeyOf(t, now)).breaker = breaker{open: true, nextProbe: now.Add(probeInterval)}
}

// RecordGroupResponse records that the group of a target runs requests, and closes the breaker of
// the group.
func (tr *Tracker) RecordGroupResponse(t *serving.Target, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	g := tr.group(tr.groupKeyOf(t, now))
	g.breaker.open, g.respondedAt = false, now
}

// IsServiceDown reports whether no group of a service runs requests. shortage is how long all of
// its groups have lacked engines; 0 if at least one group has all its engines.
func (tr *Tracker) IsServiceDown(service string, now time.Time) (down bool, shortage time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	first := true
	for key, g := range tr.groups {
		if key.service != service || g.targets == 0 || key.name == "" && tr.hasNamedGroup(service) {
			continue
		}
		if !g.breaker.open && !g.isIncomplete(now) {
			return false, 0
		}
		groupShortage := g.shortage.duration(now)
		if first || groupShortage < shortage {
			shortage = groupShortage
		}
		first = false
	}
	return !first, shortage
}

// isIncomplete reports whether a current report says that the group lacks ranks.
func (g *groupTracker) isIncomplete(now time.Time) bool {
	return now.Sub(g.ReportedAt) < ReportTTL && !g.Complete
}

// hasNamedGroup reports whether any group of the service with targets has a name. The lock must be
// held.
func (tr *Tracker) hasNamedGroup(service string) bool {
	for key, g := range tr.groups {
		if key.service == service && key.name != "" && g.targets > 0 {
			return true
		}
	}
	return false
}

// SetGroupSize records how many ranks a group has, whether they run or not.
func (tr *Tracker) SetGroupSize(service, group string, ranks int, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.group(groupKey{service: service, name: group}).shortage.setSize(ranks, now)
}
