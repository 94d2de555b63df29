package gateway

import (
	"time"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// PrepareProbe implements members.Piggyback: it tells how far this entry knows the store's
// topics, and asks for what the other one knows more.
func (m *mesh) PrepareProbe(name string, q *peers.Heartbeat) (done func()) {
	q.Topics = m.states()
	q.RequestedTopics = m.want(name)
	q.FailureReports = m.doubts()
	q.Rates = m.rates(maxRates)
	return func() { m.wanted(q.RequestedTopics) }
}

// want returns the topics to ask a peer for: those of which it knows more, and of
// which no other peer is being asked. A fleet would otherwise fill its links with
// each new configuration, sent by each to each. A topic of which nothing is known
// yet is read from the store, unless that does not answer.
func (m *mesh) want(name string) uint8 {
	m.mu.Lock()
	defer m.mu.Unlock()
	theirs := m.topics[name]
	var wants uint8
	for t := range serving.Topic(serving.NumTopics) {
		if m.wanting&(1<<t) != 0 || int(t) >= len(theirs) {
			continue
		}
		next, loaded := m.g.knowledge.position(t)
		if theirs[t].Next > next && (loaded || m.takesUnread()) {
			wants |= 1 << t
		}
	}
	m.wanting |= wants
	return wants
}

// takesUnread tells whether a topic that was never read is taken from a peer.
func (m *mesh) takesUnread() bool { return m.g.starting() || !m.g.knowledge.reachesStore() }

func (m *mesh) wanted(wants uint8) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanting &^= wants
}

// states returns how far this entry knows the store's topics.
func (m *mesh) states() []peers.TopicState {
	now := time.Now()
	k := m.g.knowledge
	var states []peers.TopicState
	for t := range serving.Topic(serving.NumTopics) {
		next, loaded := k.position(t)
		state := peers.TopicState{}
		if loaded {
			state = peers.TopicState{Next: next, AgeMS: roundUp(min(k.age(t, now), time.Hour)), Read: true}
		}
		states = append(states, state)
	}
	return states
}

// roundUp returns milliseconds. Rounded down an age would lose up to one with each entry
// that passes it on.
func roundUp(age time.Duration) uint32 {
	return uint32((age + time.Millisecond - 1) / time.Millisecond)
}

func (m *mesh) news(t serving.Topic, from uint64) peers.TopicUpdate {
	since := m.g.knowledge.since(t, from)
	n := peers.TopicUpdate{Topic: uint8(t), From: since.FromOffset, Next: since.NextOffset, Full: since.Full}
	for _, r := range since.Records {
		n.Records = append(n.Records, peers.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	if err := n.Pack(); err != nil {
		m.g.opts.Log.Error(err, "records not packed", "topic", t.String())
	}
	return n
}

// HandleAck implements members.Piggyback. What the other one knew it knew at the latest when
// the question was sent, so how fresh it was is never overstated, however many entries
// pass it on. A question tells no such thing: it may have waited for as long as this
// process stood still.
func (m *mesh) HandleAck(h *peers.Heartbeat, sent time.Time) {
	m.note(h)
	fresher := m.doubted(h.FailureReports)
	tell, _ := m.ratesTold(h.Rates, sent)
	fresher = fresher || tell
	for i := range h.Updates {
		m.adopt(h, &h.Updates[i], sent)
		fresher = true
	}
	for t := range h.Topics {
		if t < serving.NumTopics && h.Topics[t].Read {
			fresher = m.g.knowledge.confirm(serving.Topic(t), h.Topics[t].Next, asOf(&h.Topics[t], sent)) || fresher
		}
	}
	if fresher {
		m.tell()
	}
}

// asOf returns for when an answer tells a topic, by when its question was sent.
func asOf(s *peers.TopicState, sent time.Time) time.Time {
	return sent.Add(-time.Duration(s.AgeMS) * time.Millisecond)
}

// adopt takes records that a peer has sent.
func (m *mesh) adopt(h *peers.Heartbeat, news *peers.TopicUpdate, sent time.Time) {
	if int(news.Topic) >= serving.NumTopics || int(news.Topic) >= len(h.Topics) {
		return
	}
	if err := news.Unpack(); err != nil {
		m.g.opts.Log.Error(err, "news of an entry ignored", "entry", h.Entry.Name)
		return
	}
	n := serving.ReplicaUpdate{FromOffset: news.From, NextOffset: news.Next, Full: news.Full}
	for _, r := range news.Records {
		n.Records = append(n.Records, serving.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	m.g.knowledge.adopt(serving.Topic(news.Topic), n, asOf(&h.Topics[news.Topic], sent))
}

// note keeps how far a peer knows the topics.
func (m *mesh) note(h *peers.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.topics[h.Entry.Name] = h.Topics
}

// HandleProbe implements members.Piggyback.
func (m *mesh) HandleProbe(q, answer *peers.Heartbeat) (askBack bool) {
	m.note(q)
	tell, unsure := m.ratesTold(q.Rates, time.Time{})
	if m.doubted(q.FailureReports) || tell {
		m.tell()
	}
	answer.Topics, answer.FailureReports = m.states(), m.doubts()
	answer.Rates = m.rates(maxRates)
	if q.All {
		answer.Rates = m.rates(ratesAll)
	}
	for t := range serving.Topic(serving.NumTopics) {
		if q.RequestedTopics&(1<<t) != 0 && int(t) < len(q.Topics) && q.Topics[t].Next < answer.Topics[t].Next {
			answer.Updates = append(answer.Updates, m.news(t, q.Topics[t].Next))
		}
	}
	return unsure || m.lacks(q.Topics)
}

// lacks tells whether a peer knows more of a topic than this entry, or knows it for a
// moment that is later by more than the way takes.
func (m *mesh) lacks(theirs []peers.TopicState) bool {
	now := time.Now()
	for t := range theirs {
		if t >= serving.NumTopics {
			break
		}
		topic := serving.Topic(t)
		next, loaded := m.g.knowledge.position(topic)
		if !loaded && !m.takesUnread() {
			continue
		}
		if theirs[t].Next > next || theirs[t].Next == next && m.g.knowledge.age(topic, now)-age(&theirs[t]) > fresherBy {
			return true
		}
	}
	return false
}

func age(s *peers.TopicState) time.Duration { return time.Duration(s.AgeMS) * time.Millisecond }

// fresherBy is a small part of the time in which a topic is read again.
const fresherBy = 300 * time.Millisecond
