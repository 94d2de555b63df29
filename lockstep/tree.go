package lockstep

import (
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/peers"
)

// Requests and orders to a large group go along a tree of its agents.
//
// If the leader itself sent a request to each of a hundred ranks, a round would occupy its fraction
// of a core for longer than the timeout, so many agents would seem lost at once. Sending each rank
// a map would fill the leader's link for several passes while the group stays on a map that no
// longer fits. In the tree no agent asks more than a few others, however large the group is.
//
// The tree is built anew for each request from the agents whose latest request succeeded. Agents that
// the tree does not reach are asked directly, so a lost agent inside the tree delays the ranks below
// it once. The safety of a switch does not depend on the tree: each agent checks fences and epochs
// itself, whichever way and however late an order arrives.
const (
	maxDirectRanks = 16 // groups up to this size are asked without a tree
	maxLeafRanks   = 8  // an agent with at most this many agents below it asks each of them directly
	treeFanOut     = 4  // maximum number of branches of an agent with more agents below it
	// hopReserve is the part of its timeout that each agent keeps for its own answer.
	hopReserve = 50 * time.Millisecond
)

// span is a half-open range of a list.
type span struct{ from, to int }

// branchSpans divides n agents into branches.
func branchSpans(n int) []span {
	count := n
	if n > maxLeafRanks {
		count = min(treeFanOut, (n+maxLeafRanks-1)/maxLeafRanks)
	}
	spans := make([]span, count)
	for i := range spans {
		spans[i] = span{from: n * i / count, to: n * (i + 1) / count}
	}
	return spans
}

// branchFunc sends a request to the head of a branch, which relays the request to its subtree.
// branchFunc returns the head's own answer and those of the subtree.
type branchFunc[A any] func(head *agentClient, subtree []string, timeout time.Duration) (own A, others []A, err error)

// askAlongTree asks agents along a tree and returns their answers in the order of the addresses. A
// branch head that failed gets the answer unreachable, as do all agents of a branch in which every
// agent is in backoff. An agent that its branch head did not reach gets the zero answer.
func askAlongTree[A any](a *Agent, addresses []string, timeout time.Duration, unreachable A, ask branchFunc[A]) []A {
	answers := make([]A, len(addresses))
	var wait sync.WaitGroup
	for _, s := range branchSpans(len(addresses)) {
		wait.Go(func() {
			askBranchHead(a, addresses[s.from:s.to], answers[s.from:s.to], timeout, unreachable, ask)
		})
	}
	wait.Wait()
	return answers
}

// askBranchHead asks the agents of one branch through the branch head, one of these agents.
func askBranchHead[A any](a *Agent, addresses []string, answers []A, timeout time.Duration, unreachable A, ask branchFunc[A]) {
	head, headIndex := a.branchHead(addresses)
	if headIndex < 0 {
		for i := range answers {
			answers[i] = unreachable
		}
		return
	}
	subtree := slices.Concat(addresses[:headIndex], addresses[headIndex+1:])
	own, others, err := ask(head, subtree, timeout)
	if err != nil {
		a.opts.Log.Info("agent lost", "agent", addresses[headIndex], "below", len(subtree), "error", err.Error())
		answers[headIndex] = unreachable
		return
	}
	answers[headIndex] = own
	if len(others) == len(subtree) {
		copy(answers[:headIndex], others[:headIndex])
		copy(answers[headIndex+1:], others[headIndex:])
	}
}

// branchHead returns the first healthy agent, else the first that is not in backoff, and its index;
// index -1: none.
func (a *Agent) branchHead(addresses []string) (head *agentClient, index int) {
	index = -1
	for i, address := range addresses {
		c := a.agentClients.get(address, a.opts.Dial)
		if c.isHealthy() {
			return c, i
		}
		if index < 0 && !c.inBackoff() {
			head, index = c, i
		}
	}
	return head, index
}

// collectAlongTree collects the states of agents' ranks along a tree. The selections of a whole
// branch come summed in the state of one of its ranks.
func (a *Agent) collectAlongTree(addresses []string, q *peers.Collect, timeout time.Duration) []peers.RankState {
	return askAlongTree(a, addresses, timeout, peers.RankState{Unreachable: true}, func(head *agentClient, subtree []string, timeout time.Duration) (peers.RankState, []peers.RankState, error) {
		forwarded := *q
		forwarded.Subtree, forwarded.LimitMS = subtree, uint32(timeout.Milliseconds())
		var state peers.RankState
		err := head.ask(a.ctx, peers.KindCollect, &forwarded, &state, timeout)
		others := state.Subtree
		state.Subtree = nil
		return state, others, err
	})
}

// orderAlongTree sends an order to agents along a tree and returns the results.
func (a *Agent) orderAlongTree(addresses []string, o *peers.RankOrder, timeout time.Duration) []peers.OrderResult {
	return askAlongTree(a, addresses, timeout, peers.OrderResult{}, func(head *agentClient, subtree []string, timeout time.Duration) (peers.OrderResult, []peers.OrderResult, error) {
		forwarded := *o
		forwarded.Subtree, forwarded.LimitMS = subtree, uint32(timeout.Milliseconds())
		var result peers.OrderResult
		err := head.ask(a.ctx, peers.KindOrder, &forwarded, &result, timeout)
		others := result.Subtree
		result.Subtree = nil
		return result, others, err
	})
}

// subtreeTimeout returns the timeout for the subtree of an agent that must answer within limitMS
// milliseconds.
func subtreeTimeout(limitMS uint32) time.Duration {
	return time.Duration(limitMS)*time.Millisecond - hopReserve
}

// orderRanks sends one order to ranks, along the tree if there are many. A rank that the order may
// not have reached has the zero result, like a rank that did not answer.
func orderRanks(a *Agent, ranks []rank, o *peers.RankOrder) []peers.OrderResult {
	if len(ranks) <= maxDirectRanks {
		return orderEach(a, ranks, o)
	}
	results := make([]peers.OrderResult, len(ranks))
	var viaTree, direct []int
	var addresses []string
	for i := range ranks {
		if ranks[i].localAgent == nil && ranks[i].canAskAgent() {
			viaTree = append(viaTree, i)
			addresses = append(addresses, ranks[i].agentAddr)
		} else {
			direct = append(direct, i)
		}
	}
	var wait sync.WaitGroup
	for _, i := range direct {
		wait.Go(func() { results[i] = ranks[i].order(a, o) })
	}
	for k, result := range a.orderAlongTree(addresses, o, askTimeout) {
		results[viaTree[k]] = result
	}
	wait.Wait()
	return results
}
