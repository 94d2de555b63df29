package expert

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hash returns a 64-bit hash of a state. Ranks are sorted first, since the protocol treats them alike.
// A collision would hide a state; with some millions of states its probability is below one in a
// million.
func (s *search) hash(w *world) uint64 {
	for r := range w.engine {
		s.rankKeys[r] = w.rankKey(s.rankKeys[r][:0], r, len(s.holdAt))
	}
	key := s.sortedRankKeys(s.key[:0])
	for _, mapID := range w.finished {
		key = append(key, byte(mapID))
	}
	key = append(key, byte(w.agentRestarts), byte(w.engineRestarts))
	for b := range s.holdAt {
		a := &w.attempt[b]
		key = append(key, bit(a.withdrawn), bit(a.repliesComplete), bit(a.decision != nil))
		if a.decision != nil {
			key = appendSchedule(append(key, byte(a.decision.JoinStep)), a.decision.Schedule)
		}
	}
	s.key = key
	return xxhash.Sum64(key)
}

// sortedRankKeys appends the keys of all ranks in sorted order.
func (s *search) sortedRankKeys(key []byte) []byte {
	slices.SortFunc(s.rankKeys[:], slices.Compare)
	for _, rankKey := range s.rankKeys {
		key = append(key, rankKey...)
	}
	return key
}

func (w *world) rankKey(key []byte, r, ballots int) []byte {
	pos, agent := &w.engine[r], &w.agent[r]
	key = append(key, byte(pos.Start), bit(pos.Joined), byte(pos.Next), bit(pos.Inside), byte(pos.Map), bit(pos.Held))
	if pos.Held {
		key = binary.AppendUvarint(key, pos.HoldAt)
	}
	key = appendSchedule(key, pos.Plan)
	key = append(key, byte(agent.Incarnation), byte(agent.Promised.Round), byte(agent.HeldBy.Round), bit(agent.WasRunning))
	if n := int(agent.HeldBy.Round); n > 0 && !w.attempt[n-1].repliesComplete {
		key = appendReply(key, &agent.lastReply) // the rank may send this reply again
	}
	for b := range ballots {
		key = w.attempt[b].replyKey(key, r)
	}
	return w.stepsKey(key, r)
}

// replyKey appends the parts of a reply that later actions read.
func (a *modelAttempt) replyKey(key []byte, r int) []byte {
	reply := a.replies[r]
	if a.cannotDecide {
		return append(key, 3)
	}
	key = append(key, bit(a.confirmed[r] && a.decision == nil))
	if a.decision == nil || reply == nil {
		return appendReply(key, reply)
	}
	return append(key, 2, byte(reply.Incarnation), byte(reply.EngineRun))
}

func (w *world) stepsKey(key []byte, r int) []byte {
	for step := range modelSteps {
		key = append(key, byte(w.used[r][step])<<1|bit(w.sent[r][step]))
	}
	return key
}

// engineKey covers the state that checkProgress depends on. The state of the agents is not part of
// it, as the ballot of checkProgress supersedes all others.
func (s *search) engineKey(w *world) []byte {
	for r := range w.engine {
		pos := &w.engine[r]
		rankKey := append(s.rankKeys[r][:0], bit(pos.Joined), byte(pos.Next), bit(pos.Inside), byte(pos.Map), bit(pos.Held), byte(pos.HoldAt))
		s.rankKeys[r] = w.stepsKey(appendSchedule(rankKey, pos.Plan), r)
	}
	key := s.sortedRankKeys(s.key[:0])
	for _, mapID := range w.finished {
		key = append(key, byte(mapID))
	}
	return key
}

func appendReply(key []byte, r *HoldReply) []byte {
	if r == nil {
		return append(key, 0)
	}
	key = append(key, 1, byte(r.Incarnation), byte(r.EngineRun), bit(r.Joined), byte(r.NextStep), bit(r.InStep), byte(r.Map))
	return binary.AppendUvarint(key, r.HoldAt)
}

func appendSchedule(key []byte, s Schedule) []byte {
	key = append(key, byte(len(s)))
	for _, seg := range s {
		key = append(key, byte(seg.From), byte(seg.Map))
	}
	return key
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}
