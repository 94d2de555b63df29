package gateway

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

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
	since := m.g.knowledge.since(t, from)
	n := peers.TopicNews{Topic: uint8(t), From: since.From, Next: since.Next, Whole: since.Whole}
	for _, r := range since.Records {
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
		n := serving.News{From: news.From, Next: news.Next, Whole: news.Whole}
		for _, r := range news.Records {
			n.Records = append(n.Records, serving.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
		}
		asOf := now.Add(-time.Duration(h.Topics[news.Topic].AgeMS) * time.Millisecond)
		m.g.knowledge.adopt(serving.Topic(news.Topic), n, asOf)
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
