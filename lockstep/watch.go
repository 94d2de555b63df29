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
	met   EngineRun // in which all members have been asked for their ranks

	held heldSeen
}

// heldSeen tells since when a group is seen to be held at one pass.
type heldSeen struct {
	pass  uint64
	first time.Time
}

func (h *heldSeen) since(pass uint64, now time.Time) time.Time {
	if pass != h.pass {
		h.pass, h.first = pass, now
	}
	return h.first
}

// Patience with a group that stands still: far longer than any pass, plus a part
// for each rank.
const (
	stillAfter   = 700 * time.Millisecond
	stillPerRank = 50 * time.Millisecond
	// heldAfter is twice what the arms of a large group take while the leader lives, some
	// of them given again. Who steps in too early does no harm: it fences the pass, and
	// finishes what was begun.
	heldAfter = 90 * time.Millisecond
)

func newWatch(a *Agent) *watch { return &watch{a: a, group: newGroup(a)} }

// look takes a state of this rank.
func (w *watch) look(s peers.RankState) {
	now := time.Now()
	if s.Rank == holderRank(s.Ranks) && len(w.group.members) < s.Ranks {
		// While the group is held there is no time to ask the store, which may be slow.
		w.group.reread()
	}
	w.meet(s)
	if w.leftHeld(s, now) {
		w.a.opts.Log.Info("this rank is left held", "group", s.Group, "step", s.Held)
		w.group.add(w.a.opts.EngineAddr)
		resolve(w.a, w.group, w.group.members[w.a.opts.EngineAddr], s.Group, w.held.first)
		return
	}
	busy := s.Complete && s.Running+s.Waiting > 0
	if !busy || s.Step != w.step || s.Epoch != w.epoch {
		w.step, w.epoch, w.since = s.Step, s.Epoch, now
		return
	}
	if now.Sub(w.since) < stillAfter+time.Duration(s.Rank)*stillPerRank {
		return
	}
	w.still, w.since = w.since, now
	if len(w.group.members) < s.Ranks {
		w.group.reread()
	}
	ranks, _ := w.group.collect(s.Group, plain)
	for _, r := range ranks {
		if r.state.Held != 0 {
			w.a.opts.Log.Info("group stands still", "group", s.Group, "step", s.Step, "held", r.state.Held, "at_rank", r.state.Rank)
			resolve(w.a, w.group, r.member, s.Group, w.still)
			return
		}
	}
}

// meet asks the members of a large group once for their ranks, before it is ever held. Which
// of them leads decides how the group is asked then.
func (w *watch) meet(s peers.RankState) {
	run := EngineRun{StartedAtMS: s.StartedAtMS, Epoch: s.Epoch}
	if s.Rank != holderRank(s.Ranks) || s.Held != 0 || w.met == run || s.Ranks <= directRanks || len(w.group.members) < s.Ranks {
		return
	}
	w.met = run
	w.group.add(w.a.opts.EngineAddr)
	w.group.collect(s.Group, plain)
}

// leftHeld tells whether this rank is held for longer than a switch takes.
func (w *watch) leftHeld(s peers.RankState, now time.Time) bool {
	since := w.held.since(s.Held, now)
	return s.Held != 0 && now.Sub(since) > heldAfter
}

// pause returns how long to wait until the next look at a state of this rank.
func (w *watch) pause(s peers.RankState) time.Duration {
	switch {
	case s.Rank != holderRank(s.Ranks):
		return watchEvery
	case s.Held != 0:
		return heldEvery
	}
	return holderEvery
}
