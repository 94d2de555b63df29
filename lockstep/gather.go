package lockstep

import (
	"sync"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
)

// neighbours are the agents that one agent gathers counts from.
type neighbours struct {
	mu      sync.Mutex
	clients map[string]Asker // by address
}

func (n *neighbours) client(address string, dial func(string) Asker) Asker {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.clients == nil {
		n.clients = make(map[string]Asker)
	}
	c := n.clients[address]
	if c == nil {
		c = dial(address)
		n.clients[address] = c
	}
	return c
}

func (n *neighbours) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.clients {
		c.Close()
	}
	n.clients = nil
}

// Agents of large groups pass on what the leader sends to all ranks alike. A map
// with changes for a hundred ranks and sets would else fill the leader's link 63
// times over, for longer than a pass takes, while every pass is a long one.

// relayEach gives one order to all ranks, through some of their agents. A rank that
// the order may not have reached counts as without an answer.
func relayEach(a *Agent, ranks []rank, o *peers.RankOrder) []peers.OrderResult {
	if len(ranks) <= directRanks {
		return orderEach(a, ranks, o)
	}
	results := make([]peers.OrderResult, len(ranks))
	var wait sync.WaitGroup
	for at := 0; at < len(ranks); at += gatherRanks {
		end := min(at+gatherRanks, len(ranks))
		wait.Go(func() { relaySome(a, ranks[at:end], results[at:end], o) })
	}
	wait.Wait()
	return results
}

// relaySome gives an order to ranks through the agent of one of them.
func relaySome(a *Agent, some []rank, results []peers.OrderResult, o *peers.RankOrder) {
	one := gatherer(some)
	if one < 0 {
		copy(results, orderEach(a, some, o))
		return
	}
	passOn := *o
	var at []int // places of the ranks that it is passed on to
	for i := range some {
		if i != one {
			at = append(at, i)
			passOn.Relay = append(passOn.Relay, some[i].peers)
		}
	}
	result := some[one].order(a, &passOn)
	others := result.Others
	result.Others = nil
	results[one] = result
	if len(others) != len(at) {
		return
	}
	for i, place := range at {
		results[place] = others[i]
	}
}

// passOn gives an order to other agents at once and returns what became of it.
func (a *Agent) passOn(o *peers.RankOrder, addresses []string) []peers.OrderResult {
	results := make([]peers.OrderResult, len(addresses))
	a.askEach(addresses, peers.KindOrder, o, func(i int) msgp.Unmarshaler { return &results[i] }, func(i int, err error) {
		a.opts.Log.Info("order not passed on", "order", o.Kind.String(), "agent", addresses[i], "error", err.Error())
		results[i] = peers.OrderResult{}
	})
	return results
}

// gather asks other agents for their counts at once. Those that do not answer in
// time are left out: what is missing is a small part of a sum, and is told by them
// the next time.
func (a *Agent) gather(addresses []string) []peers.RankState {
	states := make([]peers.RankState, len(addresses))
	q := &peers.Collect{Counts: true}
	a.askEach(addresses, peers.KindCollect, q, func(i int) msgp.Unmarshaler { return &states[i] }, func(i int, err error) {
		a.opts.Metrics.Count("counts_missing", 1)
		a.opts.Log.Info("counts of a neighbour missing", "agent", addresses[i], "error", err.Error())
		states[i] = peers.RankState{}
	})
	return states
}

// askEach asks other agents the same at once. answer returns where the answer of one
// of them goes; failed is called for each that gave none.
func (a *Agent) askEach(addresses []string, kind peers.Kind, q msgp.Marshaler, answer func(i int) msgp.Unmarshaler, failed func(i int, err error)) {
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() {
			client := a.neighbours.client(address, a.opts.Dial)
			if err := client.Ask(a.ctx, kind, q, answer(i), gatherLimit); err != nil {
				failed(i, err)
			}
		})
	}
	wait.Wait()
}
