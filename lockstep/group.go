package lockstep

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// member reaches one engine of the service: through its agent, or directly if
// the agent does not answer.
type member struct {
	engine  string // address
	client  Asker
	direct  Engine
	own     *Agent    // if it is this agent's own
	missing time.Time // since when readings of the store lack it; zero: the latest has it
	lostAt  time.Time
	rest    time.Duration // after lostAt, without asking its agent
	peers   string        // address of its agent
	// counts tells that the member is asked for counts: its own, and those that it
	// gathers from others.
	counts bool
	gather []string
}

// Gathering of counts.
//
// Counts of 64 ranks fill the leader's link for longer than a pass takes, and those
// of a quarter of the ranks show which requests these happen to run: maps for them
// leave the group at 1.4 times the mean where 1.15 was planned. So in a large group
// some agents add up the counts of their neighbours, and the leader gets sums.
const (
	directRanks = 16 // smaller groups tell the leader each for itself
	gatherRanks = 8  // whose counts are added up by one of them
	// gathererPlace is the place of that one among them; the first of all is the leader.
	gathererPlace = 1
	// gatherLimit is for questions to neighbours; it leaves their leader's own limit
	// time for the answer.
	gatherLimit = 120 * time.Millisecond
)

// assignCounts decides which of the ranks are asked for counts.
func assignCounts(ranks []rank) {
	if len(ranks) <= directRanks {
		for i := range ranks {
			ranks[i].counts, ranks[i].gather = true, nil
		}
		return
	}
	for some := range slices.Chunk(ranks, gatherRanks) {
		one := gatherer(some)
		for i := range some {
			some[i].counts, some[i].gather = false, nil
		}
		if one < 0 {
			continue
		}
		some[one].counts = true
		for i := range some {
			if i != one && some[i].peers != "" {
				some[one].gather = append(some[one].gather, some[i].peers)
			}
		}
	}
}

// gatherer returns the place of the rank that adds up the counts of some; -1 if
// none can.
func gatherer(some []rank) int {
	for i := range some {
		at := (i + gathererPlace) % len(some)
		if some[at].hasAgent() {
			return at
		}
	}
	return -1
}

// Limits of questions to other agents.
const (
	// askLimit leaves an agent with a small part of a core time to ask its engine.
	askLimit = 250 * time.Millisecond
	// askSoon is several times the way to an agent and back, and to its engine.
	askSoon = 40 * time.Millisecond
	// An agent that did not answer is passed over for a while, at first a short one:
	// most are back at once, and until then its rank's counts are missing.
	restFirst = 200 * time.Millisecond
	restMost  = 1600 * time.Millisecond
)

// group are the engines among which the ranks are.
type group struct {
	a        *Agent
	members  map[string]*member // by engine address
	readNext time.Time          // no sooner
	model    *serving.EngineModel
	gapAim   time.Duration // for the pauses in the service's streams
}

func newGroup(a *Agent) *group { return &group{a: a, members: make(map[string]*member)} }

// reread reads the engines of the service from the store, but not more often than
// every rereadEvery: calls are paid for. A read that failed is made again sooner.
//
// Failure: an agent starts while the store is away. Symptom: the group is led three
// seconds after the store's return, and until then all streams run on the map that
// engines start with, each pass two to three times as long.
func (g *group) reread() {
	now := time.Now()
	if now.Before(g.readNext) {
		return
	}
	g.readNext = now.Add(rereadEvery)
	if err := g.readTargets(now); err != nil {
		g.readNext = now.Add(rereadFailed)
		g.a.opts.Log.Info("engines of the group not read", "error", err.Error())
	}
	if g.model != nil {
		return
	}
	if err := g.readModel(); err != nil {
		g.readNext = now.Add(rereadFailed)
		g.a.opts.Log.Info("cost model not read", "error", err.Error())
	}
}

// Paces of reading the store.
const (
	rereadEvery  = 3 * time.Second
	rereadFailed = 250 * time.Millisecond // a few calls a second, of one agent of a group
)

func (g *group) readTargets(now time.Time) error {
	records, _, err := g.a.opts.Store.Newest(g.a.ctx, serving.TopicTargets)
	if err != nil {
		return err
	}
	listed := make(map[string]bool)
	for _, rec := range records {
		if len(rec.Value) == 0 {
			continue
		}
		t, err := g.a.opts.DecodeTarget(rec.Key, rec.Value)
		if err != nil {
			g.a.opts.Metrics.Count("target_records_ignored", 1)
			g.a.opts.Log.Info("record of a target ignored", "target", rec.Key, "error", err.Error())
			continue
		}
		if t.Service == g.a.opts.Service {
			listed[t.Address] = true
			g.add(t.Address)
		}
	}
	g.forget(listed, now)
	return nil
}

// forget drops members that readings have lacked for as long as records may take to
// come back after an outage of the store: one reading may be of just after it, or stale,
// and a group without its members has no leader.
func (g *group) forget(listed map[string]bool, now time.Time) {
	for address, m := range g.members {
		switch {
		case listed[address] || m.own != nil:
			m.missing = time.Time{}
		case m.missing.IsZero():
			m.missing = now
		case now.Sub(m.missing) > serving.ReturnWait:
			m.client.Close()
			delete(g.members, address)
		}
	}
}

func (g *group) add(address string) {
	if g.members[address] != nil {
		return
	}
	m := &member{engine: address, direct: g.a.opts.Remote(address)}
	if host, _, err := net.SplitHostPort(address); err == nil {
		m.peers = net.JoinHostPort(host, g.a.opts.Port)
	}
	if address == g.a.opts.Address {
		m.own, m.direct = g.a, g.a.opts.Engine
	} else if m.peers != "" {
		m.client = g.a.opts.Dial(m.peers)
	}
	g.members[address] = m
}

func (g *group) readModel() error {
	records, _, err := g.a.opts.Store.Newest(g.a.ctx, serving.TopicConfig)
	if err != nil {
		return err
	}
	for _, rec := range records {
		c, ok, err := g.a.opts.DecodeConfig(rec.Key, rec.Value)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		index := serving.NewIndex(c)
		if s := index.Service(g.a.opts.Service); s != nil {
			g.model, g.gapAim = s.Engine, index.GapAim(g.a.opts.Service)
		}
	}
	return nil
}

// rank is a member with the state that it told.
type rank struct {
	*member
	state peers.RankState
}

// collect asks all members at once and returns those that are ranks of the group,
// ordered by rank. complete tells whether all ranks of one epoch are there.
func (g *group) collect(name string, q *peers.Collect) (ranks []rank, complete bool) {
	return g.collectWith(name, q, (*member).collect)
}

// collectWith is collect with a way to ask one member.
func (g *group) collectWith(name string, q *peers.Collect, askOne func(*member, *Agent, *peers.Collect) peers.RankState) (ranks []rank, complete bool) {
	plainly := *q
	plainly.Counts = false
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, m := range g.members {
		wait.Go(func() {
			ask := plainly
			if m.counts && q.Counts {
				ask.Counts, ask.Gather = true, m.gather
			}
			state := askOne(m, g.a, &ask)
			mu.Lock()
			defer mu.Unlock()
			if state.Known && state.Group == name {
				ranks = append(ranks, rank{member: m, state: state})
			}
		})
	}
	wait.Wait()
	slices.SortFunc(ranks, func(x, y rank) int { return x.state.Rank - y.state.Rank })
	assignCounts(ranks)
	return ranks, isComplete(ranks)
}

func isComplete(ranks []rank) bool {
	for i := range ranks {
		s, first := &ranks[i].state, &ranks[0].state
		if s.Rank != i || s.Epoch != first.Epoch || s.Ranks != len(ranks) || !s.Open {
			return false
		}
	}
	return len(ranks) > 0
}

// hasAgent tells whether the member's agent is worth asking.
func (m *member) hasAgent() bool {
	return m.client != nil && time.Since(m.lostAt) > m.rest
}

func (m *member) lost() {
	m.lostAt = time.Now()
	m.rest = min(max(2*m.rest, restFirst), restMost)
}

// plain asks for nothing but the state.
var plain = &peers.Collect{}

func (m *member) collect(a *Agent, q *peers.Collect) peers.RankState {
	if m.own != nil {
		fenced := q.Fence != 0 && a.setFence(fence{epoch: q.Epoch, step: q.Fence})
		state := a.collect(q)
		state.Fenced = fenced
		return state
	}
	var state peers.RankState
	if m.hasAgent() {
		err := m.client.Ask(a.ctx, peers.KindCollect, q, &state, askLimit)
		if err == nil {
			m.rest = 0
		}
		if err == nil && state.Known {
			return state
		}
		if err != nil {
			m.lost()
			a.opts.Log.Info("agent lost", "engine", m.engine, "error", err.Error())
		}
	}
	// Reports from another VM are paid for, so this way is for the time that an
	// agent is away; the counts, which would hold up the group, are left out.
	state, err := m.direct.State(a.ctx)
	if err != nil {
		a.opts.Log.Info("engine lost", "engine", m.engine, "error", err.Error())
		return peers.RankState{}
	}
	return state
}

// collectSoon is collect for a group that stands still: the engine itself is asked if the
// agent does not answer at once, and not only after the agent's whole time.
//
// Failure: the leader freezes while the group is held. Symptom: no pass begins until the
// others know that the leader's VM can't be reached; its two time limits one after the
// other kept a group of 12 standing for 0.3 s longer.
func (m *member) collectSoon(a *Agent, q *peers.Collect) peers.RankState {
	if m.own != nil || !m.hasAgent() || ablate.Off(ablate.HeldSoon) {
		return m.collect(a, q)
	}
	answer := make(chan peers.RankState, 1)
	go func() {
		var state peers.RankState
		if err := m.client.Ask(a.ctx, peers.KindCollect, q, &state, askLimit); err != nil {
			state = peers.RankState{}
		}
		answer <- state
	}()
	timer := time.NewTimer(askSoon)
	defer timer.Stop()
	select {
	case state := <-answer:
		if state.Known {
			return state
		}
	case <-timer.C:
	}
	direct, err := m.direct.State(a.ctx)
	select {
	case state := <-answer:
		if state.Known {
			return state // it tells of its fence too
		}
	default:
	}
	if err != nil {
		a.opts.Log.Info("engine lost", "engine", m.engine, "error", err.Error())
		return peers.RankState{}
	}
	return direct
}

// order gives an order to a member's engine.
func (m *member) order(a *Agent, o *peers.RankOrder) peers.OrderResult {
	if m.own != nil {
		result, err := a.order(o)
		if err != nil {
			a.opts.Log.Info("order unanswered", "order", o.Kind.String(), "engine", m.engine, "error", err.Error())
		}
		return result
	}
	if m.hasAgent() {
		var result peers.OrderResult
		if err := m.client.Ask(a.ctx, peers.KindOrder, o, &result, askLimit); err == nil {
			return result
		}
		m.lost()
	}
	if o.Base != 0 {
		return peers.OrderResult{NoBase: true} // the engine itself takes whole maps only
	}
	result, err := m.direct.Order(a.ctx, o)
	if err != nil {
		a.opts.Log.Info("order unanswered", "order", o.Kind.String(), "engine", m.engine, "error", err.Error())
	}
	return result
}

// orderEach gives an order to all ranks at once.
func orderEach(a *Agent, ranks []rank, o *peers.RankOrder) []peers.OrderResult {
	results := make([]peers.OrderResult, len(ranks))
	var wait sync.WaitGroup
	for i := range ranks {
		wait.Go(func() { results[i] = ranks[i].order(a, o) })
	}
	wait.Wait()
	return results
}
