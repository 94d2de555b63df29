package lockstep

import (
	"sync"

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

// gather asks other agents for their counts at once. Those that do not answer in
// time are left out: what is missing is a small part of a sum, and is told by them
// the next time.
func (a *Agent) gather(addresses []string) []peers.RankState {
	states := make([]peers.RankState, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() {
			client := a.neighbours.client(address, a.opts.Dial)
			if err := client.Ask(a.ctx, peers.KindCollect, &peers.Collect{Counts: true}, &states[i], gatherLimit); err != nil {
				a.opts.Metrics.Count("counts_missing", 1)
				a.opts.Log.Info("counts of a neighbour missing", "agent", address, "error", err.Error())
				states[i] = peers.RankState{}
			}
		})
	}
	wait.Wait()
	return states
}
