package members

import (
	"context"
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
)

type pooledClient struct {
	address  string
	peer     PeerClient
	lastUsed time.Time
}

// clientFor returns a client for an entry, or nil if the entry is unknown. It replaces the
// client if the entry's address has changed.
func (m *Membership) clientFor(name string) PeerClient {
	address, ok := m.table.Address(name)
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.clients[name]
	if c != nil && (!ok || c.address != address) {
		c.peer.Close()
		delete(m.clients, name)
		c = nil
	}
	if !ok {
		return nil
	}
	if c == nil {
		m.makeRoom()
		c = &pooledClient{address: address, peer: m.opts.Dial(address)}
		m.clients[name] = c
	}
	c.lastUsed = time.Now()
	return c.peer
}

// makeRoom closes the connection that has not been used for longest if there are as many as there may be. m.mu must be held.
func (m *Membership) makeRoom() {
	if m.opts.MaxConnections <= 0 || len(m.clients) < m.opts.MaxConnections {
		return
	}
	oldest := ""
	for name, c := range m.clients {
		if oldest == "" || c.lastUsed.Before(m.clients[oldest].lastUsed) {
			oldest = name
		}
	}
	go m.clients[oldest].peer.Close() // waits for the end of a request
	delete(m.clients, oldest)
}

func (m *Membership) closeIdleClients() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, c := range m.clients {
		if time.Since(c.lastUsed) > clientIdleTimeout {
			c.peer.Close()
			delete(m.clients, name)
		}
	}
}

// ErrUnknownEntry is returned by Ask for an entry that is not in the table.
var ErrUnknownEntry = errors.New("unknown entry")

// Ask sends a request that is not a probe to an entry, on the connection that probes use.
func (m *Membership) Ask(ctx context.Context, name string, kind peers.Kind, request msgp.Marshaler, response msgp.Unmarshaler, limit time.Duration) error {
	client := m.clientFor(name)
	if client == nil {
		return ErrUnknownEntry
	}
	return client.Ask(ctx, kind, request, response, limit)
}
