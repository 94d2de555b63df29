package lockstep

import (
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/logging"
	"github.com/heatherrail/heatherrail/peers"
)

// leader keeps the expert map of a group balanced for the current demand.
type leader struct {
	a                 *Agent
	group             *group
	epoch             uint64
	engineStartedAtMS int64           // start of rank 0's engine, Unix milliseconds
	version           uint64          // map version of layouts
	layouts           []expert.Layout // map in use as last known to this leader, by layer set
	demand            *demand
	shiftClock        shiftClock
	sentSamples       int // number of samples since the latest shift that the other leaders have been sent
	pending           *pendingMap
	armed             *armedMap
	switchStep        uint64 // highest pass that the group may have been held at; no switch begins before this pass has
	mapFollows        bool   // the group has switched to a map that was planned for the demand since the latest shift
	mapFixed          bool   // the map cannot be changed, because the ranks have too few places for all experts
	refusals          refusalBackoff
	highestVersion    uint64       // highest map version seen or assigned
	recentMaps        []pendingMap // latest maps that this leader planned

	passTime      passMeter
	passPeak      passPeak
	switchCosts   switchCosts
	mixedSince    time.Time // time since which ranks have used different maps; zero: they use one
	peakImbalance imbalancePeak
	hold          holdTracker
	lag           mapLag
	roundTime     time.Duration // duration of the latest round
	longestGap    time.Duration // longest gap between events that entries have reported in the latest round; 0: none
	longPassStep  uint64        // step at which a pass over the event-gap objective was counted last

	sentRoster     uint64 // Loads.Roster (hash of the engine list) that the agents received last
	enginesUnknown bool   // some agent has loads but not the list of engines that they belong to
}

// passMeter measures how long passes take.
type passMeter struct {
	step     uint64
	lastAt   time.Time
	mean     time.Duration // decaying mean of the pass time
	loggedAt time.Time
}

// passHalfLife is the half-life of the mean pass time. Between two observations one or two passes
// begin, so the pass times of single observations alternate by a factor of two.
const passHalfLife = 150 * time.Millisecond

// loadLogInterval is the interval between log lines on the group's load.
const loadLogInterval = time.Second

// observe records the step of the latest pass. shouldLog is true once per loadLogInterval.
func (m *passMeter) observe(step uint64, now time.Time) (shouldLog bool) {
	if m.lastAt.IsZero() || step < m.step {
		m.step, m.lastAt = step, now
		return false
	}
	if step == m.step {
		return false
	}
	elapsed := now.Sub(m.lastAt)
	decay := decayFactor(elapsed, passHalfLife)
	m.mean = time.Duration(float64(m.mean)*decay + float64(elapsed)/float64(step-m.step)*(1-decay))
	m.step, m.lastAt = step, now
	if now.Sub(m.loggedAt) < loadLogInterval {
		return false
	}
	m.loggedAt = now
	return true
}

func newLeader(a *Agent) *leader {
	return &leader{a: a, group: newGroup(a), switchCosts: newSwitchCosts()}
}

// round collects the state of the group and takes the next step of planning or switching.
func (l *leader) round(own peers.RankState) {
	startedAt := time.Now()
	l.lag.cause = lagIncomplete
	defer func() {
		l.roundTime = time.Since(startedAt)
		l.logMapLag(own.Group, time.Now())
	}()
	if len(l.group.members) < own.Ranks || l.group.model == nil {
		l.group.refresh()
	}
	l.group.renewModel(startedAt)
	l.group.addMember(l.a.opts.EngineAddr)
	ranks, complete := l.group.collect(own.Group, &peers.Collect{
		Counts: l.wantsCounts(),
		Leader: l.a.opts.PeerAddr,
		Loads:  l.loadsToSend(own.Ranks),
	})
	l.a.publishLoads(l.buildLoads(ranks, own))
	l.enginesUnknown = slices.ContainsFunc(ranks, func(r rank) bool { return r.state.EnginesUnknown })
	if len(ranks) < own.Ranks {
		l.group.refresh()
	}
	if !complete || l.group.model == nil || l.group.model.LayerSets == 0 {
		return
	}
	if ranks[0].state.Epoch != l.epoch || ranks[0].state.StartedAtMS != l.engineStartedAtMS || l.layouts == nil {
		l.reset(ranks)
	}
	l.observe(ranks)
	l.countLongPass(ranks[0].state.Step)
	l.logLoad(ranks)
	l.observePassPeak(ranks, time.Now())
	for i := range ranks {
		if ranks[i].state.Held != 0 {
			l.lag.cause = lagHeld
			recoverGroup(l.a, l.group, ranks[i].member, own.Group, l.hold.firstSeen(ranks[i].state.Held, time.Now()))
			l.pending, l.armed = nil, nil
			return
		}
	}
	holder := ranks[holderRank(len(ranks))].member
	if !l.syncMap(ranks) {
		l.lag.cause = lagUnknownMap
		l.repairMaps(holder, ranks)
		return
	}
	l.lag.cause = lagSwitching
	if l.pending != nil {
		l.advancePending(holder, ranks)
		return
	}
	l.plan(ranks)
}

// holderRank returns the rank whose engine holds the group during a switch. It is not the leader's
// rank 0, unless the group has only one rank.
func holderRank(ranks int) int { return min(1, ranks-1) }

// reset discards what is known of the maps, after the group has formed again. The engines then use
// the initial map.
func (l *leader) reset(ranks []rank) {
	l.epoch, l.engineStartedAtMS = ranks[0].state.Epoch, ranks[0].state.StartedAtMS
	l.pending, l.armed = nil, nil
	// An agent that led the group before may have held it at the next pass.
	_, highest := stepRange(ranks)
	l.switchStep = highest + holdStepsAhead
	l.layouts, l.recentMaps, l.lag = nil, nil, mapLag{}
	l.mixedSince = time.Time{}
	m := l.group.model
	for range m.LayerSets {
		l.layouts = append(l.layouts, expert.InitialLayout(len(ranks), m.Experts))
	}
	l.version = 0
	// Demand does not change because a rank restarted, so the estimate is kept.
	if l.demand == nil || len(l.demand.steady.loads) != m.LayerSets*m.Experts {
		l.demand = newDemand(m.LayerSets * m.Experts)
	}
	l.mapFixed = !fitsAllExperts(m, len(ranks))
	if l.mapFixed {
		l.a.opts.Log.Info("map of the group can't be changed", "ranks", len(ranks), "places", m.ExpertsPerRank, "experts", m.Experts)
		l.a.opts.Metrics.Count("groups_with_a_fixed_map", 1)
	}
	l.a.opts.Log.Info("group led", "group", ranks[0].state.Group, "epoch", l.epoch, "ranks", len(ranks), "map", ranks[0].state.Map)
}

// observe updates the highest map version and the demand from the ranks' states.
func (l *leader) observe(ranks []rank) {
	now := time.Now()
	sum := make([]float64, l.group.model.LayerSets*l.group.model.Experts)
	for i := range ranks {
		s := &ranks[i].state
		l.highestVersion = max(l.highestVersion, s.Map, s.Prepared, s.Armed, s.HighestMapReceived)
		addSelections(sum, s)
	}
	l.hearSamples(now)
	l.demand.setSteps(stepRange(ranks))
	l.demand.roundTime = max(l.roundTime, roundInterval)
	l.demand.observe(now, sum)
	if l.demand.detectShift(l.layouts, l.group.model) {
		l.logShift(ranks[0].state.Group, ranks[0].state.Step, now)
		// The pending map was planned for the earlier demand. It can be replaced by another
		// at any time before ranks are armed.
		l.pending = nil
		l.logPassReport(ranks[0].state.Group, l.passPeak.shift(now))
		l.mapFollows = false
	}
	l.sendSample(ranks[0].state.Group, now)
	if l.demand.hasEnoughData() {
		l.lag.observe(imbalance(l.layouts, l.demand.loads(), slowdowns(ranks), l.group.model), now)
	}
	if l.demand.hasEnoughData() && (l.version != 0 || l.mapFixed) {
		l.peakImbalance.observe(imbalance(l.layouts, l.demand.loads(), nil, l.group.model), now)
	}
}

// countLongPass counts passes that were longer for callers than the event-gap objective. Entries
// report the same pass in several rounds, mostly before the next pass begins.
func (l *leader) countLongPass(step uint64) {
	objective := l.group.eventGapObjective
	if objective > 0 && l.longestGap > objective && l.longPassStep != step {
		l.longPassStep = step
		l.a.opts.Metrics.Count("passes_over_objective", 1)
	}
}

// logLoad logs the group's load once per loadLogInterval.
func (l *leader) logLoad(ranks []rank) {
	if !l.passTime.observe(ranks[0].state.Step, time.Now()) {
		return
	}
	mean := l.passTime.mean
	running, waiting, busiest := 0, 0, 0
	for i := range ranks {
		running += ranks[i].state.Running
		waiting += ranks[i].state.Waiting
		busiest = max(busiest, ranks[i].state.Running)
	}
	l.a.opts.Log.Info("group load", "group", ranks[0].state.Group, "pass_ms", logging.Round2(float64(mean)/float64(time.Millisecond)),
		"running", running, "most_of_rank", busiest, "waiting", waiting,
		"imbalance", logging.Round2(imbalance(l.layouts, l.demand.loads(), slowdowns(ranks), l.group.model)), "version", l.version, "round_ms", l.roundTime.Milliseconds())
}

// syncMap sets l.layouts to the map in use, and reports whether it succeeded. After a restart of
// this agent the map in use may be unknown; syncMap then reads the map from the ranks.
func (l *leader) syncMap(ranks []rank) bool {
	inUse := ranks[0].state.Map
	for i := range ranks {
		if ranks[i].state.Map != inUse {
			return false // some ranks reported before a switch, the others after it
		}
	}
	if next := l.armed; next != nil {
		if inUse != next.version && ranks[0].state.Step < next.step {
			return false // the pass that starts with the armed map has not begun
		}
		l.armed = nil
		if inUse == next.version {
			l.layouts, l.version = next.layouts, next.version
		}
	}
	l.mixedSince = time.Time{}
	if inUse == l.version {
		return true
	}
	return l.restoreMap(inUse) || l.readMapFromRanks(ranks, inUse)
}

// restoreMap sets l.layouts to a map that this leader planned earlier.
//
// A switch may succeed unnoticed by its leader, because a response was lost or another agent
// completed the switch. Without this lookup the leader would then plan from the previous map.
func (l *leader) restoreMap(version uint64) bool {
	at := slices.IndexFunc(l.recentMaps, func(p pendingMap) bool { return p.version == version })
	if at < 0 {
		return false
	}
	l.layouts, l.version = l.recentMaps[at].layouts, version
	l.a.opts.Log.Info("map recalled", "epoch", l.epoch, "version", version)
	return true
}

// readMapFromRanks reads the map in use from all ranks through their agents.
func (l *leader) readMapFromRanks(ranks []rank, version uint64) bool {
	m := l.group.model
	layouts := make([]expert.Layout, m.LayerSets)
	for s := range layouts {
		layouts[s] = make(expert.Layout, len(ranks))
	}
	reported, _ := l.group.collect(ranks[0].state.Group, &peers.Collect{Lists: true})
	missing := len(ranks)
	for i := range reported {
		s := &reported[i].state
		if s.Rank >= len(ranks) || s.Map != version || len(s.Lists) != m.LayerSets {
			continue
		}
		for set := range layouts {
			layouts[set][s.Rank] = s.Lists[set]
		}
		missing--
	}
	if missing > 0 {
		l.a.opts.Log.Info("map not read back", "epoch", l.epoch, "version", version, "missing", missing)
		return false
	}
	l.layouts, l.version = layouts, version
	l.a.opts.Log.Info("map read back", "epoch", l.epoch, "version", version)
	return true
}

// plan looks for a better map and orders the ranks to prepare it.
func (l *leader) plan(ranks []rank) {
	m := l.group.model
	startedAt := time.Now()
	if l.mapFixed || !l.demand.hasEnoughData() {
		l.lag.cause = lagNone
		return
	}
	if !l.demand.isSettled(startedAt) {
		return
	}
	if l.refusals.isActive(startedAt) {
		l.lag.cause = lagRefused
		return
	}
	if !proxyAnswers(ranks) || ranks[0].state.Step < l.switchStep {
		l.lag.cause = lagNoSwitch
		return
	}
	pl := planner{model: m, urgency: l.urgency(), slowdown: slowdowns(ranks), switchCosts: l.switchCosts.at(startedAt), meanStreams: meanStreams(ranks)}
	pl.minGain = l.minPlanGain()
	if !l.demand.mixed {
		pl.untilShift, pl.shiftExpected = l.shiftClock.untilNext(startedAt)
	}
	p := pl.best(l.layouts, l.demand.loads())
	if p.copies == 0 {
		l.lag.cause = pl.causeToKeepMap(&p)
		return
	}
	l.highestVersion = nextVersion(l.highestVersion)
	l.pending = &pendingMap{version: l.highestVersion, layouts: p.layouts, copyTime: pl.planCopyTime(&p), plannedAt: startedAt}
	l.a.opts.Log.Info("map planned", "epoch", l.epoch, "version", l.highestVersion, "from", l.version,
		"before", logging.Round2(p.imbalanceBefore), "after", logging.Round2(p.imbalanceAfter), "copies", p.copies, "copies_of_rank", p.maxCopiesPerRank,
		"urgency", logging.Round2(pl.urgency))
	l.recordMap(*l.pending)
	l.prepare(ranks)
}

// recordMap remembers a map that is about to be prepared.
func (l *leader) recordMap(p pendingMap) {
	l.recentMaps = append(l.recentMaps, p)
	if len(l.recentMaps) > maxRecentMaps {
		l.recentMaps = slices.Delete(l.recentMaps, 0, 1)
	}
}

// minPlanGain returns the smallest decrease of the imbalance for which the map is changed.
func (l *leader) minPlanGain() float64 {
	if !l.mapFollows || l.demand.mixed {
		return 0
	}
	if l.urgency() >= criticalUrgency {
		return criticalFollowUpGain
	}
	return followUpGain
}

// stepRange returns the lowest and the highest step of the ranks.
func stepRange(ranks []rank) (lowest, highest uint64) {
	lowest = ranks[0].state.Step
	for i := range ranks {
		lowest, highest = min(lowest, ranks[i].state.Step), max(highest, ranks[i].state.Step)
	}
	return lowest, highest
}

// meanStreams returns the mean number of running streams per rank.
func meanStreams(ranks []rank) float64 {
	running := 0
	for i := range ranks {
		running += ranks[i].state.Running
	}
	return float64(running) / float64(max(len(ranks), 1))
}

// slowdowns returns the slowdown factor of each rank; 1 is normal.
func slowdowns(ranks []rank) []float64 {
	factors := make([]float64, len(ranks))
	for i := range ranks {
		factors[i] = ranks[i].state.Slowdown
	}
	return factors
}

// urgency returns the mean pass time divided by the event-gap objective, the longest gap between
// two events of a stream that is on time; 1 without an objective.
func (l *leader) urgency() float64 {
	if l.group.eventGapObjective == 0 {
		return 1
	}
	return float64(l.passTime.mean) / float64(l.group.eventGapObjective)
}
