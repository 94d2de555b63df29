package gateway

import (
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/members"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// PrepareProbe implements members.Piggyback. It adds the state of this entry's topic replicas,
// failure reports and rate limits to a probe, and requests topics of which the peer has later
// records. The caller calls done at the end of the probe, which also ends these requests.
func (c *cluster) PrepareProbe(name string, probe *peers.Heartbeat) (done func()) {
	probe.Topics = c.topicStates()
	probe.RequestedTopics = c.requestTopics(name)
	probe.FailureReports = c.failureReports()
	probe.Rates = c.rateMessages(maxGossipStatements)
	probe.Leavings = c.leavingMessages(maxGossipStatements, maxGossipOldLeavings)
	probe.Suspects = c.suspectMessages()
	return func() { c.clearRequestedTopics(probe.RequestedTopics) }
}

// requestTopics returns the topics to request from a peer, as a bit set: topics of which the peer
// has later records and that are not being requested from another peer. If entries requested a new
// configuration from every peer at once, the copies would fill the links. A topic that this entry
// has never read is requested only if acceptsUnreadTopics allows it.
func (c *cluster) requestTopics(name string) uint8 {
	c.mu.Lock()
	defer c.mu.Unlock()
	peerTopics := c.peerTopics[name]
	var requested uint8
	for t := range serving.Topic(serving.NumTopics) {
		if c.requestedTopics&(1<<t) != 0 || int(t) >= len(peerTopics) {
			continue
		}
		own := c.g.state.topicState(t, time.Now())
		if hasMore(&peerTopics[t], &own) && !c.hasMerged(t, &peerTopics[t], &own) && (own.Read || c.acceptsUnreadTopics()) {
			requested |= 1 << t
		}
	}
	c.requestedTopics |= requested
	return requested
}

// acceptsUnreadTopics reports whether a topic that this entry has never read may be taken from a
// peer: during startup, and while the store is unreachable. Otherwise it is read from the store.
func (c *cluster) acceptsUnreadTopics() bool {
	return c.g.isStarting() || !c.g.state.isStoreReachable()
}

func (c *cluster) clearRequestedTopics(topics uint8) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestedTopics &^= topics
}

// hasMore reports whether one entry has records of a topic that another one lacks.
func hasMore(one, other *peers.TopicState) bool {
	return serving.HasMore(one.Next, one.Kept, other.Next, other.Kept)
}

// hasMerged reports whether this entry differs from a peer only in kept records that it has merged
// before, and of which it knows newer ones. The lock must be held.
func (c *cluster) hasMerged(t serving.Topic, peer, own *peers.TopicState) bool {
	return peer.Next == own.Next && peer.Kept == c.mergedKept[t]
}

// topicStates returns what this entry announces of each topic.
func (c *cluster) topicStates() []peers.TopicState {
	now := time.Now()
	var states []peers.TopicState
	for t := range serving.Topic(serving.NumTopics) {
		states = append(states, c.g.state.topicState(t, now))
	}
	return states
}

// ceilMS converts an age to milliseconds, rounded up. Rounding down would understate the age by up
// to 1 ms at each entry that passes it on.
func ceilMS(age time.Duration) uint32 {
	return uint32((age + time.Millisecond - 1) / time.Millisecond)
}

// topicUpdate returns the records of a topic that a peer lacks.
func (c *cluster) topicUpdate(t serving.Topic, peer *peers.TopicState) peers.TopicUpdate {
	update := c.g.state.updateSince(t, peer.Next, peer.Kept)
	msg := peers.TopicUpdate{Topic: uint8(t), FromOffset: update.FromOffset, NextOffset: update.NextOffset, LiveFrom: update.LiveFrom, Full: update.Full}
	for _, rec := range update.Records {
		msg.Records = append(msg.Records, peers.Record{Key: rec.Key, Value: rec.Value, Offset: rec.Offset})
	}
	if err := msg.Pack(); err != nil {
		c.g.opts.Log.Error(err, "packing records for a peer failed", "topic", t.String())
	}
	return msg
}

// HandleAck implements members.Piggyback. The age of the peer's data counts from the time when the
// probe was sent, so the freshness of the data is never overstated, however many entries pass it
// on. Data in a probe has no such bound: the probe may have been delivered late if this process was
// paused.
func (c *cluster) HandleAck(ack *peers.Heartbeat, sent time.Time) {
	c.recordPeerTopics(ack)
	c.applyLeavingMessages(ack.Leavings)
	changed := c.applySuspectMessages(ack.Suspects)
	changed = c.applyFailureReports(ack.FailureReports) || changed
	ratesChanged, _ := c.applyRateMessages(ack.Rates, sent)
	changed = changed || ratesChanged
	for i := range min(len(ack.Updates), serving.NumTopics) {
		c.applyTopicUpdate(ack, &ack.Updates[i], sent)
		changed = true
	}
	for t := range ack.Topics {
		if t < serving.NumTopics && ack.Topics[t].Read {
			changed = c.g.state.confirmComplete(serving.Topic(t), ack.Topics[t].Next, completeAsOf(&ack.Topics[t], sent)) || changed
		}
	}
	if changed {
		c.notify()
	}
}

// completeAsOf returns the latest time at which a peer's replica of a topic was surely complete.
// sent is when the probe that the peer acknowledged was sent.
func completeAsOf(state *peers.TopicState, sent time.Time) time.Time {
	return sent.Add(-time.Duration(state.AgeMS) * time.Millisecond)
}

// applyTopicUpdate applies the records of a topic from a peer.
func (c *cluster) applyTopicUpdate(h *peers.Heartbeat, msg *peers.TopicUpdate, sent time.Time) {
	if int(msg.Topic) >= serving.NumTopics || int(msg.Topic) >= len(h.Topics) {
		return
	}
	if err := msg.Unpack(); err != nil {
		c.g.opts.Log.Error(err, "news of an entry ignored", "entry", h.Entry.Name)
		return
	}
	update := serving.ReplicaUpdate{FromOffset: msg.FromOffset, NextOffset: msg.NextOffset, LiveFrom: msg.LiveFrom, Full: msg.Full}
	for _, rec := range msg.Records {
		update.Records = append(update.Records, serving.Record{Key: rec.Key, Value: rec.Value, Offset: rec.Offset})
	}
	c.g.state.applyPeerUpdate(serving.Topic(msg.Topic), update, completeAsOf(&h.Topics[msg.Topic], sent))
	if msg.Full {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.mergedKept[msg.Topic] = h.Topics[msg.Topic].Kept
	}
}

// recordPeerTopics stores the topic states of a peer.
func (c *cluster) recordPeerTopics(h *peers.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.peerTopics[h.Entry.Name]; !known && len(c.peerTopics) >= members.MaxMembers {
		clear(c.peerTopics) // live peers tell theirs again
	}
	if peers.IsName(h.Entry.Name) {
		c.peerTopics[h.Entry.Name] = slices.Clone(h.Topics[:min(len(h.Topics), serving.NumTopics)])
	}
}

// HandleProbe implements members.Piggyback.
func (c *cluster) HandleProbe(probe, ack *peers.Heartbeat) (probeBack bool) {
	c.recordPeerTopics(probe)
	c.applyLeavingMessages(probe.Leavings)
	ratesChanged, orderUnknown := c.applyRateMessages(probe.Rates, time.Time{})
	suspectsChanged := c.applySuspectMessages(probe.Suspects)
	if c.applyFailureReports(probe.FailureReports) || ratesChanged || suspectsChanged {
		c.notify()
	}
	ack.Topics, ack.FailureReports = c.topicStates(), c.failureReports()
	if probe.All {
		ack.Rates, ack.Leavings = c.rateMessages(maxFullStateStatements), c.leavingMessages(maxFullStateStatements, maxFullStateStatements)
		ack.Suspects = c.allSuspectMessages()
	} else {
		ack.Rates, ack.Leavings = c.rateMessages(maxGossipStatements), c.leavingMessages(maxGossipStatements, maxGossipOldLeavings)
		ack.Suspects = c.suspectMessages()
	}
	for t := range serving.Topic(serving.NumTopics) {
		if probe.RequestedTopics&(1<<t) != 0 && int(t) < len(probe.Topics) && hasMore(&ack.Topics[t], &probe.Topics[t]) {
			ack.Updates = append(ack.Updates, c.topicUpdate(t, &probe.Topics[t]))
		}
	}
	return orderUnknown || c.isBehind(probe.Topics)
}

// isBehind reports whether a peer has later records of a topic than this entry, or the same
// records in a replica that is fresher by more than minFreshnessGain.
func (c *cluster) isBehind(peerTopics []peers.TopicState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for t := range peerTopics {
		if t >= serving.NumTopics {
			break
		}
		topic := serving.Topic(t)
		own := c.g.state.topicState(topic, now)
		if !own.Read && !c.acceptsUnreadTopics() {
			continue
		}
		if hasMore(&peerTopics[t], &own) && !c.hasMerged(topic, &peerTopics[t], &own) || peerTopics[t].Next == own.Next && c.g.state.age(topic, now)-topicAge(&peerTopics[t]) > minFreshnessGain {
			return true
		}
	}
	return false
}

func topicAge(state *peers.TopicState) time.Duration {
	return time.Duration(state.AgeMS) * time.Millisecond
}

// minFreshnessGain is how much fresher a peer's replica must be to count as an update. It is well
// above the network delay between two entries, and a small part of the interval between two reads
// of a topic.
const minFreshnessGain = 300 * time.Millisecond
