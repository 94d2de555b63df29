package lockstep

import (
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/logging"
	"github.com/heatherrail/heatherrail/peers"
)

// leader keeps the map of a group in step with demand.
type leader struct {
	a       *Agent
	group   *group
	epoch   uint64
	born    int64           // of the engine of rank 0
	version uint64          // in use, as far as our layouts go
	layouts []expert.Layout // in use, by set
	demand  *demand
	pending *pending
	armed   *armed
	fixed   bool // no map can be made of the places that ranks have
	refused refusals
	newest  uint64    // highest version seen or given
	given   []pending // the latest maps that were given

	passes passMeter
	costs  switchMeter
	worst  worstSeen
	held   heldSeen
	took   time.Duration // for the latest round

	roster    uint64 // of the loads that agents were told last
	noEngines bool   // some agent was not told which engines they are of
}

// passMeter tells how long passes take.
type passMeter struct {
	step uint64
	at   time.Time
	mean time.Duration // of the latest passes
	told time.Time
}

// passHalfLife evens out what one look tells: a look sees one or two passes begun, and
// took them for twice as long or as short in turn.
const passHalfLife = 150 * time.Millisecond

// meterEvery is how often the group's load is logged.
const meterEvery = time.Second

// take notes a state; it tells once in a while that the load is to be logged.
func (m *passMeter) take(step uint64, now time.Time) (log bool) {
	if m.at.IsZero() || step < m.step {
		m.step, m.at = step, now
		return false
	}
	if step == m.step {
		return false
	}
	since := now.Sub(m.at)
	keep := halved(since, passHalfLife)
	m.mean = time.Duration(float64(m.mean)*keep + float64(since)/float64(step-m.step)*(1-keep))
	m.step, m.at = step, now
	if now.Sub(m.told) < meterEvery {
		return false
	}
	m.told = now
	return true
}

func newLeader(a *Agent) *leader {
	return &leader{a: a, group: newGroup(a), costs: newSwitchMeter()}
}

// round is one look at the group and what follows from it.
func (l *leader) round(own peers.RankState) {
	begun := time.Now()
	defer func() { l.took = time.Since(begun) }()
	if len(l.group.members) < own.Ranks || l.group.model == nil {
		l.group.reread()
	}
	l.group.add(l.a.opts.EngineAddr)
	ranks, complete := l.group.collect(own.Group, &peers.Collect{
		Counts: l.wantsCounts(),
		Leader: l.a.opts.PeerAddr,
		Loads:  l.loadsFor(own.Ranks),
	})
	l.a.publish(l.loads(ranks, own))
	l.noEngines = slices.ContainsFunc(ranks, func(r rank) bool { return r.state.EnginesUnknown })
	if len(ranks) < own.Ranks {
		l.group.reread()
	}
	if !complete || l.group.model == nil || l.group.model.LayerSets == 0 {
		return
	}
	if ranks[0].state.Epoch != l.epoch || ranks[0].state.StartedAtMS != l.born || l.layouts == nil {
		l.reset(ranks)
	}
	l.observe(ranks)
	l.logLoad(ranks)
	for i := range ranks {
		if ranks[i].state.Held != 0 {
			resolve(l.a, l.group, ranks[i].member, own.Group, l.held.since(ranks[i].state.Held, time.Now()))
			l.pending, l.armed = nil, nil
			return
		}
	}
	holder := ranks[holderRank(len(ranks))].member
	if !l.known(ranks) {
		return
	}
	if l.pending != nil {
		l.carryOn(holder, ranks)
		return
	}
	l.plan(ranks)
}

// holderRank is the rank at which a group is held; the leader's is rank 0.
func holderRank(ranks int) int { return min(1, ranks-1) }

// reset begins anew after the group was formed: it uses the map that engines
// start with.
func (l *leader) reset(ranks []rank) {
	l.epoch, l.born = ranks[0].state.Epoch, ranks[0].state.StartedAtMS
	l.pending, l.armed = nil, nil
	l.layouts, l.given = nil, nil
	m := l.group.model
	for range m.LayerSets {
		l.layouts = append(l.layouts, expert.InitialLayout(len(ranks), m.Experts))
	}
	l.version = 0
	// What was wanted before a rank restarted is wanted after it.
	if l.demand == nil || len(l.demand.steady.loads) != m.LayerSets*m.Experts {
		l.demand = newDemand(m.LayerSets * m.Experts)
	}
	l.fixed = !holdsAll(m, len(ranks))
	if l.fixed {
		l.a.opts.Log.Info("map of the group can't be changed", "ranks", len(ranks), "places", m.ExpertsPerRank, "experts", m.Experts)
		l.a.opts.Metrics.Count("groups_with_a_fixed_map", 1)
	}
	l.a.opts.Log.Info("group led", "group", ranks[0].state.Group, "epoch", l.epoch, "ranks", len(ranks), "map", ranks[0].state.Map)
}

func (l *leader) observe(ranks []rank) {
	now := time.Now()
	sum := make([]float64, l.group.model.LayerSets*l.group.model.Experts)
	for i := range ranks {
		s := &ranks[i].state
		l.newest = max(l.newest, s.Map, s.Prepared, s.Armed, s.HighestMapReceived)
		addChoices(sum, s)
	}
	l.demand.observe(now, sum)
	if l.demand.moved(l.layouts, l.group.model) {
		l.a.opts.Log.Info("demand moved", "epoch", l.epoch, "step", ranks[0].state.Step,
			"imbalance", logging.Round2(imbalance(l.layouts, l.demand.loads(), nil, l.group.model)))
		// What is being prepared was planned for the demand of before. Another map can
		// be prepared in its place at any time before ranks are armed.
		l.pending = nil
	}
	if l.demand.enough() && (l.version != 0 || l.fixed) {
		l.worst.take(imbalance(l.layouts, l.demand.loads(), nil, l.group.model), now)
	}
}

// logLoad logs now and then how the group fares.
func (l *leader) logLoad(ranks []rank) {
	if !l.passes.take(ranks[0].state.Step, time.Now()) {
		return
	}
	mean := l.passes.mean
	running, waiting, most := 0, 0, 0
	for i := range ranks {
		running += ranks[i].state.Running
		waiting += ranks[i].state.Waiting
		most = max(most, ranks[i].state.Running)
	}
	l.a.opts.Log.Info("group load", "group", ranks[0].state.Group, "pass_ms", logging.Round2(float64(mean)/float64(time.Millisecond)),
		"running", running, "most_of_rank", most, "waiting", waiting,
		"imbalance", logging.Round2(imbalance(l.layouts, l.demand.loads(), paces(ranks), l.group.model)), "version", l.version, "round_ms", l.took.Milliseconds())
}

// known tells whether the map in use is the one that we think it is. After a
// restart of this agent it may be another; then it is read back from the ranks.
func (l *leader) known(ranks []rank) bool {
	inUse := ranks[0].state.Map
	for i := range ranks {
		if ranks[i].state.Map != inUse {
			return false // a switch is on its way through the reports
		}
	}
	if next := l.armed; next != nil {
		if inUse != next.version && ranks[0].state.Step < next.step {
			return false // its pass has not begun yet
		}
		l.armed = nil
		if inUse == next.version {
			l.layouts, l.version = next.layouts, next.version
		}
	}
	if inUse == l.version {
		return true
	}
	return l.recall(inUse) || l.readBack(ranks, inUse)
}

// recall takes up a map that this agent has given itself.
//
// Failure: a switch succeeds, but its leader does not see it to the end, because an answer
// is lost or another agent finishes it. Symptom: the leader takes the map of before for the
// one in use.
func (l *leader) recall(version uint64) bool {
	at := slices.IndexFunc(l.given, func(p pending) bool { return p.version == version })
	if at < 0 {
		return false
	}
	l.layouts, l.version = l.given[at].layouts, version
	l.a.opts.Log.Info("map recalled", "epoch", l.epoch, "version", version)
	return true
}

// readBack reads the map in use from all ranks, through their agents.
func (l *leader) readBack(ranks []rank, version uint64) bool {
	m := l.group.model
	layouts := make([]expert.Layout, m.LayerSets)
	for s := range layouts {
		layouts[s] = make(expert.Layout, len(ranks))
	}
	told, _ := l.group.collect(ranks[0].state.Group, &peers.Collect{Lists: true})
	missing := len(ranks)
	for i := range told {
		s := &told[i].state
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

// plan looks for a better map and has it prepared.
func (l *leader) plan(ranks []rank) {
	m := l.group.model
	begun := time.Now()
	if l.fixed || !l.demand.enough() || l.refused.waits(begun) {
		return
	}
	pl := planner{model: m, urgency: l.urgency(), pace: paces(ranks), costs: l.costs, streams: streams(ranks)}
	p := pl.best(l.layouts, l.demand.loads())
	if p.copies == 0 {
		return
	}
	l.newest = nextVersion(l.newest)
	l.pending = &pending{version: l.newest, layouts: p.layouts, copying: pl.copying(&p), begun: begun}
	l.a.opts.Log.Info("map planned", "epoch", l.epoch, "version", l.newest, "from", l.version,
		"before", logging.Round2(p.before), "after", logging.Round2(p.after), "copies", p.copies, "copies_of_rank", p.most,
		"urgency", logging.Round2(pl.urgency))
	l.given = append(l.given, *l.pending)
	if len(l.given) > mapsKept {
		l.given = slices.Delete(l.given, 0, 1)
	}
	l.prepare(ranks)
}

// streams returns how many streams a rank runs, in the mean.
func streams(ranks []rank) float64 {
	running := 0
	for i := range ranks {
		running += ranks[i].state.Running
	}
	return float64(running) / float64(max(len(ranks), 1))
}

// paces returns how many times as long as usual each rank takes.
func paces(ranks []rank) []float64 {
	pace := make([]float64, len(ranks))
	for i := range ranks {
		pace[i] = ranks[i].state.Slowdown
	}
	return pace
}

// urgency is the time of the latest passes over the longest pause in time.
func (l *leader) urgency() float64 {
	if l.group.gapAim == 0 {
		return 1
	}
	return float64(l.passes.mean) / float64(l.group.gapAim)
}

// worstSeen remembers the most imbalance of the last while: demand that has moved
// once will move again.
type worstSeen struct {
	now, most float64
	at        time.Time
}

// worstHalfLife: a group that has seen no move for so long counts with half of it.
const worstHalfLife = 30 * time.Second

func (w *worstSeen) take(imbalance float64, now time.Time) {
	if !w.at.IsZero() {
		w.most = 1 + (w.most-1)*halved(now.Sub(w.at), worstHalfLife)
	}
	w.now, w.at = imbalance, now
	w.most = max(w.most, imbalance)
}
