package lockstep

import (
	"cmp"
	"math"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/peers"
)

// member is one engine of the service. It is reached through its agent, or directly if the agent
// does not answer.
type member struct {
	engineAddr   string       // address of the engine
	agent        *agentClient // client of the engine's agent; nil: its address is unknown, or it is this agent
	engine       Engine       // client of the engine itself
	localAgent   *Agent       // this agent, if the engine is on its VM
	missingSince time.Time    // time of the first read of the store that did not list the engine; zero: the latest read listed it
	agentAddr    string       // peer address of the engine's agent
	rank         int          // rank that the engine last reported; unknownRank: none yet
	groupName    string       // group that the engine last reported; "": none yet
}

// unknownRank is the rank of members that have reported none. It sorts them last.
const unknownRank = math.MaxInt

// rank is a member with the state that its agent or engine reported.
type rank struct {
	*member
	state peers.RankState
}

// Timeouts of requests to other agents.
const (
	// askTimeout is the timeout of a request to an agent. It leaves time for an agent with a
	// fraction of a core to ask its engine in turn.
	askTimeout = 250 * time.Millisecond
	// hedgeDelay is the time after which collectHedged asks the engine too. It is several times as
	// long as a round trip to an agent and its engine.
	hedgeDelay = 40 * time.Millisecond
)

// maxReportLag bounds the age of engines' reports to other VMs where the configuration does not give it.
const maxReportLag = time.Second

// remoteReportLag returns the age of the reports that engines give to other VMs.
func (a *Agent) remoteReportLag() time.Duration {
	return cmp.Or(time.Duration(a.reportLag.Load()), maxReportLag)
}

// canAskAgent reports whether the member has an agent that is not in backoff.
func (m *member) canAskAgent() bool { return m.agent != nil && !m.agent.inBackoff() }

// stateOnly requests a rank's state and nothing else.
var stateOnly = &peers.Collect{}

// collect asks the member's agent for the state of its rank, or asks the engine itself if the agent
// does not answer.
func (m *member) collect(a *Agent, q *peers.Collect) peers.RankState {
	askedAt := time.Now()
	if m.localAgent != nil {
		fenced := q.Fence != 0 && a.setFence(fence{epoch: q.Epoch, step: q.Fence})
		state := a.collect(q)
		state.Fenced, state.AsOf = fenced, askedAt
		return state
	}
	var state peers.RankState
	if m.canAskAgent() {
		err := m.agent.ask(a.ctx, peers.KindCollect, q, &state, askTimeout)
		if err == nil && state.Known {
			state.AsOf = askedAt // agents read their own engines, whose reports are up to date there
			return state
		}
		if err != nil {
			a.opts.Log.Info("agent lost", "engine", m.engineAddr, "error", err.Error())
		}
	}
	return m.collectFromEngine(a, q)
}

// collectFromEngine asks the member's engine for the state of its rank. This is only a fallback
// while the engine's agent is down, since an engine's reports to another VM are billed. Counts are
// left out because reading them would delay the group.
func (m *member) collectFromEngine(a *Agent, q *peers.Collect) peers.RankState {
	state, err := m.engineState(a)
	if err != nil {
		a.opts.Log.Info("engine lost", "engine", m.engineAddr, "error", err.Error())
		return peers.RankState{}
	}
	if q.Lists {
		m.readExpertsFromEngine(a, &state)
	}
	return state
}

// engineState asks the engine for the state of its rank. From another VM this is a state that the rank
// had remoteReportLag before.
func (m *member) engineState(a *Agent) (peers.RankState, error) {
	asOf := time.Now()
	if m.localAgent == nil {
		asOf = asOf.Add(-a.remoteReportLag())
	}
	state, err := m.engine.State(a.ctx)
	state.AsOf, state.Lagged = asOf, m.localAgent == nil
	return state, err
}

// collectSince is collect for a decision on what has happened since a time: it asks again until the
// state is of that time or a later one.
func (m *member) collectSince(a *Agent, q *peers.Collect, since time.Time) peers.RankState {
	for {
		state := m.collect(a, q)
		if !state.Known || !state.AsOf.Before(since) || a.ctx.Err() != nil {
			return state
		}
		a.sleep(since.Sub(state.AsOf))
	}
}

// readExpertsFromEngine asks the engine for the experts of its rank and adds them to s, if they are
// of the map version in s.
func (m *member) readExpertsFromEngine(a *Agent, s *peers.RankState) {
	lists, version, err := m.engine.RankExperts(a.ctx)
	switch {
	case err != nil:
		a.opts.Log.Info("reading the experts of an engine failed", "engine", m.engineAddr, "error", err.Error())
	case version == s.Map:
		s.Lists = lists
	}
}

// collectHedged is collect for a stalled group: it asks the engine too if the agent has not
// answered within hedgeDelay.
//
// If the leader freezes while the group is held, no pass begins until the other agents find that
// the leader's VM is unreachable. The timeouts of agent and engine in sequence are longer than a
// pass may take.
func (m *member) collectHedged(a *Agent, q *peers.Collect) peers.RankState {
	if m.localAgent != nil || !m.canAskAgent() || ablate.Off(ablate.FastHoldRecovery) {
		return m.collect(a, q)
	}
	answer := make(chan peers.RankState, 1)
	askedAt := time.Now()
	go func() {
		var state peers.RankState
		if err := m.agent.client.Ask(a.ctx, peers.KindCollect, q, &state, askTimeout); err != nil {
			state = peers.RankState{}
		}
		state.AsOf = askedAt
		answer <- state
	}()
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	select {
	case state := <-answer:
		if state.Known {
			return state
		}
	case <-timer.C:
	}
	directState, err := m.engineState(a)
	select {
	case state := <-answer:
		if state.Known {
			return state // unlike the engine's answer, the agent's includes the fence state
		}
	default:
	}
	if err != nil {
		a.opts.Log.Info("engine lost", "engine", m.engineAddr, "error", err.Error())
		return peers.RankState{}
	}
	return directState
}

// order sends an order to the member's engine, through its agent if possible.
func (m *member) order(a *Agent, o *peers.RankOrder) peers.OrderResult {
	if m.localAgent != nil {
		result, err := a.order(o)
		if err != nil {
			a.opts.Log.Info("order unanswered", "order", o.Kind.String(), "engine", m.engineAddr, "error", err.Error())
		}
		return result
	}
	if result, answered := m.orderAgent(a, o); answered {
		return result
	}
	if len(o.Changes) > 0 {
		return peers.OrderResult{UnknownBase: true} // engines accept full maps only
	}
	result, err := m.engine.Order(a.ctx, o)
	if err != nil {
		a.opts.Log.Info("order unanswered", "order", o.Kind.String(), "engine", m.engineAddr, "error", err.Error())
	}
	return result
}

// orderAgent sends an order to the member's agent. answered is false if the agent did not answer; it may
// still carry the order out.
func (m *member) orderAgent(a *Agent, o *peers.RankOrder) (result peers.OrderResult, answered bool) {
	if m.localAgent != nil {
		return m.order(a, o), true
	}
	if !m.canAskAgent() {
		return result, false
	}
	if err := m.agent.ask(a.ctx, peers.KindOrder, o, &result, askTimeout); err != nil {
		return peers.OrderResult{}, false
	}
	return result, true
}

// orderEach sends an order to all ranks in parallel.
func orderEach(a *Agent, ranks []rank, o *peers.RankOrder) []peers.OrderResult {
	results := make([]peers.OrderResult, len(ranks))
	var wait sync.WaitGroup
	for i := range ranks {
		wait.Go(func() { results[i] = ranks[i].order(a, o) })
	}
	wait.Wait()
	return results
}
