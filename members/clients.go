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
	asker   Asker
	used    time.Time
}

// client returns a client of an entry; nil if it is not known.
func (g *Group) client(name string) Asker {
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

func (g *Group) closeIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, c := range g.clients {
		if time.Since(c.used) > idleAfter {
			c.asker.Close()
			delete(g.clients, name)
		}
	}
}

// ErrUnknown: no entry of that name is known.
var ErrUnknown = errors.New("entry is not known")

// Ask asks an entry something else, on the connection for questions.
func (g *Group) Ask(ctx context.Context, name string, kind peers.Kind, question msgp.Marshaler, answer msgp.Unmarshaler, limit time.Duration) error {
	asker := g.client(name)
	if asker == nil {
		return ErrUnknown
	}
	return asker.Ask(ctx, kind, question, answer, limit)
}
