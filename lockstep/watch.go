package lockstep

import (
	"time"

	"github.com/heatherrail/heatherrail/peers"
)

// watch looks after a group from a rank that does not lead it.
//
// Failure: the agent of rank 0 dies or freezes between the hold and the release.
// Symptom: no pass begins any more, and every stream of the group stalls. Any
// other agent sees that passes stand still and brings the group on; the ranks
// begin at different times, so that mostly one does it.
type watch struct {
	a     *Agent
	group *group
	step  uint64
	epoch uint64
	since time.Time // it has stood still, or was looked into
	still time.Time // when the pass was seen first that it stands at

	held      uint64 // pass that this rank is held at
	heldSince time.Time
}

// Patience with a group that stands still: far longer than any pass, plus a part
// for each rank.
const (
	stillAfter   = 700 * time.Millisecond
	stillPerRank = 50 * time.Millisecond
	// heldAfter is several times what the arms take while the leader lives.
	heldAfter = 150 * time.Millisecond
)

func newWatch(a *Agent) *watch { return &watch{a: a, group: newGroup(a)} }

// look takes a state of this rank.
func (w *watch) look(s peers.RankState) {
	now := time.Now()
	if w.leftHeld(s, now) {
		w.a.opts.Log.Info("this rank is left held", "group", s.Group, "step", s.Held)
		w.group.reread()
		w.group.add(w.a.opts.Address)
		resolve(w.a, w.group, w.group.members[w.a.opts.Address], s.Group, w.heldSince)
		return
	}
	busy := s.Open && s.Running+s.Waiting > 0
	if !busy || s.Step != w.step || s.Epoch != w.epoch {
		w.step, w.epoch, w.since = s.Step, s.Epoch, now
		return
	}
	if now.Sub(w.since) < stillAfter+time.Duration(s.Rank)*stillPerRank {
		return
	}
	w.still, w.since = w.since, now
	w.group.reread()
	ranks, _ := w.group.collect(s.Group, plain)
	for _, r := range ranks {
		if r.state.Held != 0 {
			w.a.opts.Log.Info("group stands still", "group", s.Group, "step", s.Step, "held", r.state.Held, "at_rank", r.state.Rank)
			resolve(w.a, w.group, r.member, s.Group, w.still)
			return
		}
	}
}

// leftHeld tells whether this rank is held for longer than a switch takes.
func (w *watch) leftHeld(s peers.RankState, now time.Time) bool {
	if s.Held == 0 || s.Held != w.held {
		w.held, w.heldSince = s.Held, now
		return false
	}
	return now.Sub(w.heldSince) > heldAfter
}
