package lockstep

import (
	"context"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
)

// agentClient is a client of another agent, with backoff after failures.
type agentClient struct {
	client PeerClient

	mu       sync.Mutex
	failedAt time.Time
	backoff  time.Duration // no request for this long after failedAt
}

// Bounds of the backoff after an agent has failed to answer. The backoff starts short: most agents
// answer again at once, and the expert counts of an agent's rank are missing while the agent is
// skipped.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
)

// inBackoff reports whether requests to the agent are skipped for now, after a failure.
func (c *agentClient) inBackoff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.failedAt) <= c.backoff
}

// isHealthy reports whether the latest request to the agent succeeded or none was sent. An agent
// that failed is asked directly if possible, so that no subtree depends on it.
func (c *agentClient) isHealthy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.backoff == 0
}

// ask sends a request to the agent and records whether it answers.
func (c *agentClient) ask(ctx context.Context, kind peers.Kind, q msgp.Marshaler, answer msgp.Unmarshaler, limit time.Duration) error {
	err := c.client.Ask(ctx, kind, q, answer, limit)
	if err != nil {
		c.recordFailure()
		return err
	}
	c.recordSuccess()
	return nil
}

// recordSuccess ends the backoff.
func (c *agentClient) recordSuccess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoff = 0
}

// recordFailure starts or doubles the backoff.
func (c *agentClient) recordFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt = time.Now()
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
}

// agentClients are the clients of other agents, by address.
type agentClients struct {
	mu        sync.Mutex
	byAddress map[string]*agentClient
}

func (cs *agentClients) get(address string, dial func(string) PeerClient) *agentClient {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.byAddress == nil {
		cs.byAddress = make(map[string]*agentClient)
	}
	c := cs.byAddress[address]
	if c == nil {
		c = &agentClient{client: dial(address)}
		cs.byAddress[address] = c
	}
	return c
}

// drop closes and removes the client of an agent that is gone.
func (cs *agentClients) drop(address string) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c := cs.byAddress[address]; c != nil {
		c.client.Close()
		delete(cs.byAddress, address)
	}
}

func (cs *agentClients) close() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, c := range cs.byAddress {
		c.client.Close()
	}
	cs.byAddress = nil
}
