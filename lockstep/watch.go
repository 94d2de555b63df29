package lockstep

import (
	"time"

	"github.com/heatherrail/heatherrail/peers"
)

// watcher watches a group from a rank that does not lead it.
//
// If the agent of rank 0 dies or freezes between hold and release, no pass begins any more, and every
// stream of the group stalls. Any other agent that sees no new pass recovers the group. The timeouts
// differ by rank, so that mostly a single agent does so.
type watcher struct {
	a           *Agent
	group       *group
	step        uint64 // number of the latest pass seen
	epoch       uint64
	checkedAt   time.Time // time of the group's latest progress, or of the latest check if the group is stalled
	stallSeenAt time.Time // start of the stall, as assumed at the latest check of a stalled group
	probedRun   EngineRun // engine run in which probeMembers last asked all members for their ranks

	hold holdTracker
}

// holdTracker remembers when the current hold of a group was first seen.
type holdTracker struct {
	step        uint64 // number of the held pass; 0: none
	firstSeenAt time.Time
}

// firstSeen returns when this agent first saw that the group is held at the pass with number step.
func (h *holdTracker) firstSeen(step uint64, now time.Time) time.Time {
	if step != h.step {
		h.step, h.firstSeenAt = step, now
	}
	return h.firstSeenAt
}

// Timeouts of a stalled or held group. An agent checks the group for a stall after a time without a
// new pass that is far longer than any pass, plus a part per rank.
const (
	stallTimeout        = 700 * time.Millisecond
	stallTimeoutPerRank = 50 * time.Millisecond
	// holdTimeout is how long a hold may last before the agent of the held rank recovers the group.
	// It is twice the time that arming a large group takes with a live leader, including some
	// repeated orders. An agent that recovers too early does no harm: it fences the pass and
	// completes the switch.
	holdTimeout = 90 * time.Millisecond
)

func newWatcher(a *Agent) *watcher { return &watcher{a: a, group: newGroup(a)} }

// check examines a state of this agent's rank and recovers the group if it is stalled.
func (w *watcher) check(s peers.RankState) {
	now := time.Now()
	if s.Rank == holderRank(s.Ranks) && len(w.group.members) < s.Ranks {
		// Read the group from the store now: the store may be slow, and while the group is held
		// there is no time to wait for it.
		w.group.refresh()
	}
	w.probeMembers(s)
	if w.isLeftHeld(s, now) {
		w.a.opts.Log.Info("this rank is left held", "group", s.Group, "step", s.Held)
		w.group.addMember(w.a.opts.EngineAddr)
		recoverGroup(w.a, w.group, w.group.members[w.a.opts.EngineAddr], s.Group, w.hold.firstSeenAt)
		return
	}
	busy := s.Complete && s.Running+s.Waiting > 0
	if !busy || s.Step != w.step || s.Epoch != w.epoch {
		w.step, w.epoch, w.checkedAt = s.Step, s.Epoch, now
		return
	}
	if now.Sub(w.checkedAt) < stallTimeout+time.Duration(s.Rank)*stallTimeoutPerRank {
		return
	}
	w.stallSeenAt, w.checkedAt = w.checkedAt, now
	if len(w.group.members) < s.Ranks {
		w.group.refresh()
	}
	ranks, _ := w.group.collect(s.Group, stateOnly)
	for _, r := range ranks {
		if r.state.Held != 0 {
			w.a.opts.Log.Info("group stands still", "group", s.Group, "step", s.Step, "held", r.state.Held, "at_rank", r.state.Rank)
			recoverGroup(w.a, w.group, r.member, s.Group, w.stallSeenAt)
			return
		}
	}
}

// probeMembers asks the members of a large group for their ranks, once in each engine run and before
// the group is first held. When the group is held, the agent must already know which member leads,
// to leave the leader out of the tree.
func (w *watcher) probeMembers(s peers.RankState) {
	run := EngineRun{StartedAtMS: s.StartedAtMS, Epoch: s.Epoch}
	if s.Rank != holderRank(s.Ranks) || s.Held != 0 || w.probedRun == run || s.Ranks <= maxDirectRanks || len(w.group.members) < s.Ranks {
		return
	}
	w.probedRun = run
	w.group.addMember(w.a.opts.EngineAddr)
	w.group.collect(s.Group, stateOnly)
}

// isLeftHeld reports whether this rank has been held for longer than a switch takes.
func (w *watcher) isLeftHeld(s peers.RankState, now time.Time) bool {
	firstSeen := w.hold.firstSeen(s.Held, now)
	return s.Held != 0 && now.Sub(firstSeen) > holdTimeout
}

// checkDelay returns the delay until the next check.
func (w *watcher) checkDelay(s peers.RankState) time.Duration {
	switch {
	case s.Rank != holderRank(s.Ranks):
		return watchInterval
	case s.Held != 0:
		return heldInterval
	}
	return holderInterval
}
