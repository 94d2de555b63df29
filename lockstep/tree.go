package lockstep

import (
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/peers"
)

// Questions and orders to a large group go along a tree of its agents.
//
// Failure: the leader asks and orders each of a hundred ranks itself. Symptom: the
// questions of one round take its small part of a core for longer than their limit, so
// many agents seem lost at once, and a map for each rank fills its link for several
// passes while the group stays on a map that fits no more. In the tree no agent asks
// more than a few others, however large the group is.
//
// The tree is made anew for each question, from the agents that answered lately. Who can't
// be reached in it is asked directly, so a lost agent in its middle delays the ranks below
// it once. What keeps a switch safe are the fences and epochs that each agent checks itself,
// whichever way an order came to it and however late.
const (
	directRanks = 16 // smaller groups are asked one by one
	leafRanks   = 8  // so many are asked without another one between
	treeDegree  = 4  // agents that one asks at most, where others are between
	// hopLimit is what each agent keeps of its limit for its own answer.
	hopLimit = 50 * time.Millisecond
)

// span is a part of a list, without its end.
type span struct{ from, to int }

// branches divides n agents among those that are asked directly: each is the first of
// its branch.
func branches(n int) []span {
	count := n
	if n > leafRanks {
		count = min(treeDegree, (n+leafRanks-1)/leafRanks)
	}
	spans := make([]span, count)
	for i := range spans {
		spans[i] = span{from: n * i / count, to: n * (i + 1) / count}
	}
	return spans
}

// askBranch asks one agent, which asks those below it, and returns all their answers.
type askBranch[A any] func(head *contact, below []string, limit time.Duration) (own A, others []A, err error)

// spread asks agents along a tree and returns their answers in the order of the addresses.
// An agent that gave none has the zero answer, or lost if it was asked itself.
func spread[A any](a *Agent, addresses []string, limit time.Duration, lost A, ask askBranch[A]) []A {
	answers := make([]A, len(addresses))
	var wait sync.WaitGroup
	for _, s := range branches(len(addresses)) {
		wait.Go(func() {
			spreadBranch(a, addresses[s.from:s.to], answers[s.from:s.to], limit, lost, ask)
		})
	}
	wait.Wait()
	return answers
}

// spreadBranch asks one branch through one of its agents.
func spreadBranch[A any](a *Agent, addresses []string, answers []A, limit time.Duration, lost A, ask askBranch[A]) {
	head, found := a.headOf(addresses)
	if found < 0 {
		for i := range answers {
			answers[i] = lost
		}
		return
	}
	below := slices.Concat(addresses[:found], addresses[found+1:])
	own, others, err := ask(head, below, limit)
	if err != nil {
		a.opts.Log.Info("agent lost", "agent", addresses[found], "below", len(below), "error", err.Error())
		answers[found] = lost
		return
	}
	answers[found] = own
	if len(others) == len(below) {
		copy(answers[:found], others[:found])
		copy(answers[found+1:], others[found:])
	}
}

// headOf returns the first agent that answered when last asked, else the first that may be
// asked again; -1: none.
func (a *Agent) headOf(addresses []string) (head *contact, found int) {
	found = -1
	for i, address := range addresses {
		c := a.contacts.get(address, a.opts.Dial)
		if c.steady() {
			return c, i
		}
		if found < 0 && !c.resting() {
			head, found = c, i
		}
	}
	return head, found
}

// collectBelow asks agents along a tree for the states of their ranks. The choices of a
// whole branch come with the state of one of its ranks.
func (a *Agent) collectBelow(addresses []string, q *peers.Collect, limit time.Duration) []peers.RankState {
	return spread(a, addresses, limit, peers.RankState{Unreachable: true}, func(head *contact, below []string, limit time.Duration) (peers.RankState, []peers.RankState, error) {
		ask := *q
		ask.Subtree, ask.LimitMS = below, uint32(limit.Milliseconds())
		var state peers.RankState
		err := head.ask(a.ctx, peers.KindCollect, &ask, &state, limit)
		others := state.Subtree
		state.Subtree = nil
		return state, others, err
	})
}

// orderBelow gives an order to agents along a tree and returns what became of it.
func (a *Agent) orderBelow(addresses []string, o *peers.RankOrder, limit time.Duration) []peers.OrderResult {
	return spread(a, addresses, limit, peers.OrderResult{}, func(head *contact, below []string, limit time.Duration) (peers.OrderResult, []peers.OrderResult, error) {
		order := *o
		order.Subtree, order.LimitMS = below, uint32(limit.Milliseconds())
		var result peers.OrderResult
		err := head.ask(a.ctx, peers.KindOrder, &order, &result, limit)
		others := result.Subtree
		result.Subtree = nil
		return result, others, err
	})
}

// limitBelow is the limit for those below an agent that has a limit itself.
func limitBelow(limitMS uint32) time.Duration {
	return time.Duration(limitMS)*time.Millisecond - hopLimit
}

// relayEach gives one order to ranks, along the tree if they are many. A rank that the
// order may not have reached counts as without an answer.
func relayEach(a *Agent, ranks []rank, o *peers.RankOrder) []peers.OrderResult {
	if len(ranks) <= directRanks {
		return orderEach(a, ranks, o)
	}
	results := make([]peers.OrderResult, len(ranks))
	var through, alone []int
	var addresses []string
	for i := range ranks {
		if ranks[i].own == nil && ranks[i].hasAgent() {
			through = append(through, i)
			addresses = append(addresses, ranks[i].peers)
		} else {
			alone = append(alone, i)
		}
	}
	var wait sync.WaitGroup
	for _, i := range alone {
		wait.Go(func() { results[i] = ranks[i].order(a, o) })
	}
	for k, result := range a.orderBelow(addresses, o, askLimit) {
		results[through[k]] = result
	}
	wait.Wait()
	return results
}
