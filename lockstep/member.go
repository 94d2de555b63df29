package lockstep

import (
	"math"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/peers"
)

// member reaches one engine of the service: through its agent, or directly if
// the agent does not answer.
type member struct {
	engine  string   // address
	agent   *contact // nil: none, or this agent itself
	direct  Engine
	own     *Agent    // if it is this agent's own
	missing time.Time // since when readings of the store lack it; zero: the latest has it
	peers   string    // address of its agent
	rank    int       // that it told last; noRank: none yet
	group   string    // that it told last; "": none yet
}

// noRank sorts a member that has not told its rank behind all others.
const noRank = math.MaxInt

// rank is a member with the state that it told.
type rank struct {
	*member
	state peers.RankState
}

// Limits of questions to other agents.
const (
	// askLimit leaves an agent with a small part of a core time to ask its engine.
	askLimit = 250 * time.Millisecond
	// askSoon is several times the way to an agent and back, and to its engine.
	askSoon = 40 * time.Millisecond
)

// hasAgent tells whether the member's agent is worth asking.
func (m *member) hasAgent() bool { return m.agent != nil && !m.agent.resting() }

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
		err := m.agent.ask(a.ctx, peers.KindCollect, q, &state, askLimit)
		if err == nil && state.Known {
			return state
		}
		if err != nil {
			a.opts.Log.Info("agent lost", "engine", m.engine, "error", err.Error())
		}
	}
	return m.collectDirectly(a, q)
}

// collectDirectly asks the engine itself. Its reports to another VM are paid for, so this
// way is for the time that an agent is away; the counts, which would hold up the group,
// are left out.
func (m *member) collectDirectly(a *Agent, q *peers.Collect) peers.RankState {
	state, err := m.direct.State(a.ctx)
	if err != nil {
		a.opts.Log.Info("engine lost", "engine", m.engine, "error", err.Error())
		return peers.RankState{}
	}
	if q.Lists {
		m.listDirectly(a, &state)
	}
	return state
}

// listDirectly asks the engine itself for its experts.
func (m *member) listDirectly(a *Agent, s *peers.RankState) {
	lists, version, err := m.direct.RankExperts(a.ctx)
	switch {
	case err != nil:
		a.opts.Log.Info("experts of an engine not read", "engine", m.engine, "error", err.Error())
	case version == s.Map:
		s.Lists = lists
	}
}

// collectSoon is collect for a group that stands still: the engine itself is asked if the
// agent does not answer at once, and not only after the agent's whole time.
//
// Failure: the leader freezes while the group is held. Symptom: no pass begins until the
// others know that the leader's VM can't be reached, and its two time limits one after the
// other are longer than a pass may take.
func (m *member) collectSoon(a *Agent, q *peers.Collect) peers.RankState {
	if m.own != nil || !m.hasAgent() || ablate.Off(ablate.HeldSoon) {
		return m.collect(a, q)
	}
	answer := make(chan peers.RankState, 1)
	go func() {
		var state peers.RankState
		if err := m.agent.client.Ask(a.ctx, peers.KindCollect, q, &state, askLimit); err != nil {
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
		if err := m.agent.ask(a.ctx, peers.KindOrder, o, &result, askLimit); err == nil {
			return result
		}
	}
	if len(o.Changes) > 0 {
		return peers.OrderResult{UnknownBase: true} // the engine itself takes whole maps only
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
