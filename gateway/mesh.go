package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/peers"
)

// mesh are the entries that this one knows. Each asks each other one now and
// then, and at once when there is news; both sides of a question learn what they
// lack of the store's topics.
type mesh struct {
	g    *Gateway
	self peers.Presence

	mu     sync.Mutex
	byName map[string]*peer

	wanting uint8 // topics of which some peer is being asked
}

// peer is another entry.
type peer struct {
	name     string
	presence peers.Presence
	client   *peers.Client
	kick     chan struct{}
	cancel   context.CancelFunc
	heard    time.Time
	topics   []peers.TopicState // what it knew when last heard
}

const (
	heartbeatLimit = 500 * time.Millisecond // many times the longest way
	// heartbeatPerEntry keeps the heartbeats that one entry handles at some forty a
	// second however many entries there are; news come between.
	heartbeatPerEntry = 50 * time.Millisecond
	heartbeatLeast    = 800 * time.Millisecond
	heartbeatMost     = 3 * time.Second
	// An entry counts as dead after two heartbeats that did not come in either
	// direction, and a margin.
	deadBeats  = 2
	deadMargin = 400 * time.Millisecond
	// forgetAfter ends the questions to an entry that is gone for good.
	forgetAfter = 30 * time.Second
)

func newMesh(g *Gateway) *mesh {
	o := g.opts
	return &mesh{
		g: g,
		self: peers.Presence{
			Name:        o.Name,
			Incarnation: o.Incarnation,
			DataCentre:  o.DataCentre,
			Callers:     o.Callers,
			Peers:       o.Peers,
		},
		byName: make(map[string]*peer),
	}
}

// every returns the pause between two heartbeats to one entry.
func (m *mesh) every() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.everyLocked()
}

func (m *mesh) everyLocked() time.Duration {
	return min(max(time.Duration(len(m.byName))*heartbeatPerEntry, heartbeatLeast), heartbeatMost)
}

// alive tells whether an entry has been heard lately; the lock must be held.
func (m *mesh) alive(n *peer) bool {
	return time.Since(n.heard) < deadBeats*m.everyLocked()+deadMargin
}

// presence returns what is told of this entry.
func (m *mesh) presence() peers.Presence {
	p := m.self
	p.Ready = m.g.Ready()
	p.Store = m.g.knowledge.reachesStore()
	return p
}

// read takes note of an entry by its record in the store. A record may be older
// than what the entry said itself, and says nothing of whether it takes requests.
func (m *mesh) read(p peers.Presence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.byName[p.Name]
	if known != nil && (known.presence.Peers == p.Peers || known.presence.Incarnation > p.Incarnation) {
		return
	}
	p.Ready = false
	m.meet(p)
}

// meet takes note of an entry by its record or its own word; the lock must be held.
//
// An entry's own word always counts, whatever its incarnation: that comes from the
// time of day, which may have been set back before the process started again, and
// its peers would take it for dead.
func (m *mesh) meet(p peers.Presence) *peer {
	if p.Name == m.self.Name || p.Name == "" {
		return nil
	}
	known := m.byName[p.Name]
	if known != nil && known.presence.Peers == p.Peers {
		known.presence = p
		return known
	}
	if known != nil {
		known.cancel()
	}
	ctx, cancel := context.WithCancel(m.g.ctx)
	n := &peer{
		name:     p.Name,
		presence: p,
		client:   peers.NewClient(p.Peers),
		kick:     make(chan struct{}, 1),
		cancel:   cancel,
		heard:    time.Now(),
	}
	m.byName[p.Name] = n
	m.g.opts.Log.Info("entry known", "entry", p.Name, "address", p.Peers)
	m.g.tasks.Go(func() { m.talk(ctx, n) })
	return n
}

// talk asks one entry until it is forgotten.
func (m *mesh) talk(ctx context.Context, n *peer) {
	defer n.client.Close()
	lost := false
	for ctx.Err() == nil {
		err := m.ask(ctx, n)
		if (err != nil) != lost {
			lost = err != nil
			m.logLink(n, err)
		}
		if m.forget(n) {
			return
		}
		timer := time.NewTimer(m.every())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-n.kick:
		}
		timer.Stop()
	}
}

func (m *mesh) logLink(n *peer, err error) {
	if err == nil {
		m.g.opts.Log.Info("entry regained", "entry", n.name)
		return
	}
	m.g.opts.Log.Info("entry lost", "entry", n.name, "error", err.Error())
}

func (m *mesh) forget(n *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(n.heard) < forgetAfter {
		return false
	}
	if m.byName[n.name] == n {
		delete(m.byName, n.name)
	}
	return true
}

func (m *mesh) known(name string) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byName[name]
}

// kick makes the next heartbeat to an entry go out now.
func kick(n *peer) {
	select {
	case n.kick <- struct{}{}:
	default: // one is due already
	}
}

// tell makes the heartbeats to all entries go out now.
func (m *mesh) tell() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.byName {
		kick(n)
	}
}

// position returns this entry's place among those that may read the store, and
// how many there are. Those that do not reach the store come last.
func (m *mesh) position() (place, of int) {
	reaches := m.g.knowledge.reachesStore()
	m.mu.Lock()
	defer m.mu.Unlock()
	of = 1
	for name, n := range m.byName {
		if !m.alive(n) {
			continue
		}
		of++
		if n.presence.Store && (!reaches || name < m.self.Name) || !n.presence.Store && !reaches && name < m.self.Name {
			place++
		}
	}
	return place, of
}

// entries returns how many entries are heard, this one among them.
func (m *mesh) entries() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 1
	for _, n := range m.byName {
		if m.alive(n) {
			count++
		}
	}
	return count
}

// usable returns the entries that take requests.
func (m *mesh) usable() []peers.Presence {
	var list []peers.Presence
	if m.g.Ready() {
		list = append(list, m.presence())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.byName {
		if n.presence.Ready && m.alive(n) {
			list = append(list, n.presence)
		}
	}
	slices.SortFunc(list, func(a, b peers.Presence) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}
