package expert

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hash digests a state; ranks are sorted first, since the protocol treats them
// alike. 64 bits over some millions of states: a clash, which would hide a
// state, has a chance below one in a million.
func (s *search) hash(w *world) uint64 {
	for r := range w.engine {
		s.parts[r] = w.rankKey(s.parts[r][:0], r, len(s.at))
	}
	key := s.sortedParts(s.key[:0])
	for _, f := range w.finished {
		key = append(key, byte(f))
	}
	key = append(key, byte(w.agentRestarts), byte(w.engineRestarts))
	for b := range s.at {
		a := &w.attempt[b]
		key = append(key, bit(a.withdrawn), bit(a.complete), bit(a.decided != nil))
		if a.decided != nil {
			key = appendSchedule(append(key, byte(a.decided.JoinStep)), a.decided.Schedule)
		}
	}
	s.key = key
	return xxhash.Sum64(key)
}

func (s *search) sortedParts(key []byte) []byte {
	slices.SortFunc(s.parts[:], slices.Compare)
	for _, p := range s.parts {
		key = append(key, p...)
	}
	return key
}

func (w *world) rankKey(key []byte, r, ballots int) []byte {
	p, g := &w.engine[r], &w.agent[r]
	key = append(key, byte(p.Start), bit(p.Joined), byte(p.Next), bit(p.Inside), byte(p.Map), bit(p.Held))
	if p.Held {
		key = binary.AppendUvarint(key, p.HoldAt)
	}
	key = appendSchedule(key, p.Plan)
	key = append(key, byte(g.Incarnation), byte(g.Promised.Round), byte(g.HeldBy.Round), bit(g.WasRunning))
	if n := int(g.HeldBy.Round); n > 0 && !w.attempt[n-1].complete {
		key = appendReply(key, &g.reply) // it may be sent again
	}
	for b := range ballots {
		key = w.attempt[b].replyKey(key, r)
	}
	return w.stepsKey(key, r)
}

// replyKey leaves out what no later action reads.
func (a *modelAttempt) replyKey(key []byte, r int) []byte {
	reply := a.replies[r]
	if a.dead {
		return append(key, 3)
	}
	key = append(key, bit(a.confirmed[r] && a.decided == nil))
	if a.decided == nil || reply == nil {
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

// engineKey covers what finish depends on: its ballot beats all others, so the
// agents' memory plays no part.
func (s *search) engineKey(w *world) []byte {
	for r := range w.engine {
		p := &w.engine[r]
		part := append(s.parts[r][:0], bit(p.Joined), byte(p.Next), bit(p.Inside), byte(p.Map), bit(p.Held), byte(p.HoldAt))
		s.parts[r] = w.stepsKey(appendSchedule(part, p.Plan), r)
	}
	key := s.sortedParts(s.key[:0])
	for _, f := range w.finished {
		key = append(key, byte(f))
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
