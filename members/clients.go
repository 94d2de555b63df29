package members

import (
	"context"
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
)

type client struct {
	address string
	asker   PeerClient
	used    time.Time
}

// client returns a client of an entry; nil if it is not known.
func (g *Membership) client(name string) PeerClient {
	address, ok := g.table.Address(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.clients[name]
	if c != nil && (!ok || c.address != address) {
		c.asker.Close()
		delete(g.clients, name)
		c = nil
	}
	if !ok {
		return nil
	}
	if c == nil {
		c = &client{address: address, asker: g.opts.Dial(address)}
		g.clients[name] = c
	}
	c.used = time.Now()
	return c.asker
}

func (g *Membership) closeIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, c := range g.clients {
		if time.Since(c.used) > idleAfter {
			c.asker.Close()
			delete(g.clients, name)
		}
	}
}

// ErrUnknownEntry: no entry of that name is known.
var ErrUnknownEntry = errors.New("entry is not known")

// Ask asks an entry something else, on the connection for questions.
func (g *Membership) Ask(ctx context.Context, name string, kind peers.Kind, question msgp.Marshaler, answer msgp.Unmarshaler, limit time.Duration) error {
	asker := g.client(name)
	if asker == nil {
		return ErrUnknownEntry
	}
	return asker.Ask(ctx, kind, question, answer, limit)
}
