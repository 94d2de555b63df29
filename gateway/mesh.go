package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
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

func (m *mesh) ask(ctx context.Context, n *peer) error {
	question := m.heartbeat()
	question.Wants = m.want(n)
	defer m.wanted(question.Wants)
	var answer peers.Heartbeat
	if err := n.client.Ask(ctx, peers.KindHeartbeat, question, &answer, heartbeatLimit); err != nil {
		return err
	}
	m.take(&answer)
	return nil
}

// want returns the topics to ask a peer for: those of which it knows more, and of
// which no other peer is being asked. A fleet would otherwise fill its links with
// each new configuration, sent by each to each. A topic of which nothing is known
// yet is read from the store, unless that does not answer.
func (m *mesh) want(n *peer) uint8 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var wants uint8
	for t := range serving.Topic(serving.Topics) {
		if m.wanting&(1<<t) != 0 || int(t) >= len(n.topics) {
			continue
		}
		next, loaded := m.g.knowledge.position(t)
		if n.topics[t].Next > next && (loaded || !m.g.knowledge.reachesStore()) {
			wants |= 1 << t
		}
	}
	m.wanting |= wants
	return wants
}

func (m *mesh) wanted(wants uint8) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanting &^= wants
}

// heartbeat returns a sign of life.
func (m *mesh) heartbeat() *peers.Heartbeat {
	now := time.Now()
	k := m.g.knowledge
	h := &peers.Heartbeat{Entry: m.presence()}
	for t := range serving.Topic(serving.Topics) {
		next, loaded := k.position(t)
		state := peers.TopicState{}
		if loaded {
			state = peers.TopicState{Next: next, AgeMS: uint32(min(k.readAge(t, now), time.Hour).Milliseconds())}
		}
		h.Topics = append(h.Topics, state)
	}
	return h
}

func (m *mesh) news(t serving.Topic, from uint64) peers.TopicNews {
	records, next := m.g.knowledge.since(t, from)
	n := peers.TopicNews{Topic: uint8(t), From: from, Next: next}
	for _, r := range records {
		n.Records = append(n.Records, peers.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	if err := n.Pack(); err != nil {
		m.g.opts.Log.Error(err, "records not packed", "topic", t.String())
	}
	return n
}

// take works in a heartbeat, a question or an answer.
func (m *mesh) take(h *peers.Heartbeat) {
	now := time.Now()
	m.mu.Lock()
	if n := m.meet(h.Entry); n != nil {
		n.heard, n.topics = now, h.Topics
	}
	m.mu.Unlock()
	for i := range h.News {
		news := &h.News[i]
		if int(news.Topic) >= serving.Topics || int(news.Topic) >= len(h.Topics) {
			continue
		}
		if err := news.Unpack(); err != nil {
			m.g.opts.Log.Error(err, "news of an entry ignored", "entry", h.Entry.Name)
			continue
		}
		records := make([]serving.Record, 0, len(news.Records))
		for _, r := range news.Records {
			records = append(records, serving.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
		}
		asOf := now.Add(-time.Duration(h.Topics[news.Topic].AgeMS) * time.Millisecond)
		m.g.knowledge.adopt(serving.Topic(news.Topic), records, news.From, news.Next, asOf)
	}
	// A peer that knows no more than we do may know it for a later moment.
	for t := range h.Topics {
		if t < serving.Topics && h.Topics[t].Next > 0 {
			asOf := now.Add(-time.Duration(h.Topics[t].AgeMS) * time.Millisecond)
			m.g.knowledge.confirm(serving.Topic(t), h.Topics[t].Next, asOf)
		}
	}
}

// answer answers a peer's heartbeat.
func (m *mesh) answer(payload []byte) (msgp.Marshaler, error) {
	var h peers.Heartbeat
	if _, err := h.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	m.take(&h)
	if n := m.known(h.Entry.Name); n != nil && m.lacks(n) {
		kick(n) // it knows more: ask it now
	}
	answer := m.heartbeat()
	for t := range serving.Topic(serving.Topics) {
		if h.Wants&(1<<t) != 0 && int(t) < len(h.Topics) && h.Topics[t].Next < answer.Topics[t].Next {
			answer.News = append(answer.News, m.news(t, h.Topics[t].Next))
		}
	}
	return answer, nil
}

func (m *mesh) known(name string) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byName[name]
}

// lacks tells whether a peer knows more of a topic than this entry.
func (m *mesh) lacks(n *peer) bool {
	m.mu.Lock()
	topics := n.topics
	m.mu.Unlock()
	for t := range topics {
		if next, loaded := m.g.knowledge.position(serving.Topic(t)); loaded && topics[t].Next > next {
			return true
		}
	}
	return false
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
