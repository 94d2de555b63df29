package lockstep

import (
	"context"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
)

// contact is another agent as this one reaches it.
type contact struct {
	client PeerClient

	mu     sync.Mutex
	lostAt time.Time
	rest   time.Duration // after lostAt, without asking it
}

// An agent that did not answer is passed over for a while, at first a short one:
// most are back at once, and until then its rank's counts are missing.
const (
	restFirst = 200 * time.Millisecond
	maxRest   = 1600 * time.Millisecond
)

// resting tells whether the agent is passed over.
func (c *contact) resting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lostAt) <= c.rest
}

// steady tells whether the agent answered when it was last asked. One that did not is
// tried again by itself, and not with others behind it.
func (c *contact) steady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rest == 0
}

// ask asks the agent, and notes whether it answers.
func (c *contact) ask(ctx context.Context, kind peers.Kind, q msgp.Marshaler, answer msgp.Unmarshaler, limit time.Duration) error {
	err := c.client.Ask(ctx, kind, q, answer, limit)
	if err != nil {
		c.lost()
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rest = 0
	return nil
}

// lost notes that the agent did not answer.
func (c *contact) lost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostAt = time.Now()
	c.rest = min(max(2*c.rest, restFirst), maxRest)
}

// contacts are the agents that one agent asks, by address.
type contacts struct {
	mu        sync.Mutex
	byAddress map[string]*contact
}

func (n *contacts) get(address string, dial func(string) PeerClient) *contact {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byAddress == nil {
		n.byAddress = make(map[string]*contact)
	}
	c := n.byAddress[address]
	if c == nil {
		c = &contact{client: dial(address)}
		n.byAddress[address] = c
	}
	return c
}

// drop ends the connection to an agent that is gone.
func (n *contacts) drop(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.byAddress[address]; c != nil {
		c.client.Close()
		delete(n.byAddress, address)
	}
}

func (n *contacts) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.byAddress {
		c.client.Close()
	}
	n.byAddress = nil
}
