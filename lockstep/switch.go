package lockstep

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherrail/heatherrail/peers"
)

// A switch of the map goes like this. The map is prepared at all ranks. Then one
// rank holds the group before a pass, all ranks are armed to switch as that pass
// begins, and the group is let go.
//
// What must never happen is a pass that begins while two ranks use different
// maps. The hold excludes it: between the hold and the release no rank can begin
// the pass, so an arm that is late, lost or refused is seen in time.
//
// Who dies or freezes in the middle leaves the group held. So the hold is placed
// at another rank than the leader's, by the leader itself and not through that
// rank's agent: of the leader and that agent one is left to release it.
//
//   - Arms are given only once all ranks have the map prepared and the hold is
//     confirmed. From then on there is only one way: forward. An arm without an
//     answer may take effect seconds later, so nothing is called off; it is given
//     again until each rank is seen to be armed. A late copy finds the pass begun
//     and is refused.
//   - Whoever finds the group held for longer than a switch takes first tells all
//     agents to arm no more for that pass: the fence. What is armed then stays so.
//     If any rank is armed it arms the others and lets the group go; if none is, it
//     lets the group go with the map in use. Two who do so at once see the same and
//     give the same orders, and a leader that wakes up in the middle is refused.
//   - The leader's rank is armed last, once all others are, and by the agent of
//     another one. So if the leader's VM can't be reached it is still known whether
//     its rank is armed. If it is, so are all, and the group is let go with the new
//     map. If not, the other agents are told to arm no more for that pass, which
//     stops the leader should it wake up; the arms that were given are taken back,
//     and the group goes on with the map in use.
//   - Each order names the epoch. After a rank has restarted, the group has
//     another one, and whatever was on its way is refused.

// Limits of a switch.
const (
	// stepsAhead is how many passes ahead the hold is placed. The arms take ten
	// milliseconds, less than most passes; if they take longer the group waits.
	stepsAhead = 1
	holdTries  = 6
	// retryPause lets a small engine answer; orders within a VM take a millisecond.
	retryPause = 10 * time.Millisecond
)

// switchTo carries out a switch to a version that all ranks have prepared. It returns the
// pass with which they switch, and for how long that was held.
func switchTo(a *Agent, holder *member, ranks []rank, version uint64) (at uint64, stall time.Duration, ok bool) {
	epoch := ranks[0].state.Epoch
	at, held := hold(a, holder, epoch)
	if !held {
		return 0, 0, false
	}
	begun := time.Now()
	ok = finish(a, holder, ranks, version, at, false)
	return at, time.Since(begun), ok
}

// hold holds the group before a pass to come, and returns the pass.
//
// Which pass that is this VM's own engine tells, since all ranks run each pass together:
// the holder's agent may be slow to answer, as right after a start of the whole fleet, and
// the map would wait for it.
func hold(a *Agent, holder *member, epoch uint64) (uint64, bool) {
	unanswered := uint64(0) // pass of a hold that may have been taken
	for range holdTries {
		state, err := a.opts.Engine.State(a.ctx)
		if err != nil || !state.Known || state.Epoch != epoch || !state.Complete {
			return 0, false
		}
		if unanswered != 0 {
			// One that is not ours may be let go by whoever resolves it at any moment.
			if held := holder.collect(a, plain); !held.Known || held.Held != 0 {
				return held.Held, held.Known && held.Held == unanswered
			}
		}
		at := state.Step + stepsAhead
		result, err := holder.direct.Order(a.ctx, &peers.RankOrder{Kind: peers.OrderHold, Epoch: epoch, Step: at})
		if err == nil && result.Accepted {
			return at, true
		}
		if err != nil {
			unanswered = at
		}
		a.pause(retryPause)
	}
	return 0, false
}

// finish arms all ranks for a pass that is held, and lets the group go. resolving
// tells that the pass has been fenced, by this agent.
func finish(a *Agent, holder *member, ranks []rank, version, at uint64, resolving bool) bool {
	epoch := ranks[0].state.Epoch
	begun := time.Now()
	name := ranks[0].state.Group
	order := &peers.RankOrder{Kind: peers.OrderArm, Epoch: epoch, Version: version, Step: at, Recovery: resolving}
	if !armAll(a, holder, ranks[1:], order) || !armLeader(a, holder, ranks, order) {
		return false
	}
	ok := release(a, holder, epoch, at)
	a.opts.Log.Info("map switched", "group", name, "version", version, "step", at, "released", ok, "ms", time.Since(begun).Milliseconds())
	return ok
}

// proxyRank is the rank whose agent arms the leader's.
const proxyRank = 2

// armLeader arms rank 0 through the agent of another rank, or directly in a group
// that is too small for that.
func armLeader(a *Agent, holder *member, ranks []rank, o *peers.RankOrder) bool {
	if len(ranks) <= proxyRank || !ranks[proxyRank].hasAgent() {
		return armAll(a, holder, ranks[:1], o)
	}
	byProxy := *o
	byProxy.Engine = ranks[0].engine
	ranks[proxyRank].order(a, &byProxy)
	// Whatever came of it, the arm is seen or given again.
	return len(a.notArmed(ranks[:1], make([]peers.OrderResult, 1), o.Version)) == 0 || armAll(a, holder, ranks[:1], o)
}

// armAll arms ranks until each is seen to be armed; false if the switch is over.
func armAll(a *Agent, holder *member, ranks []rank, o *peers.RankOrder) bool {
	left := ranks
	for len(left) > 0 {
		if a.ctx.Err() != nil || a.fenced(o) {
			return false
		}
		results := relayEach(a, left, o)
		left = a.notArmed(left, results, o.Version)
		if len(left) == 0 {
			return true
		}
		if over, changed := a.abandoned(holder, o.Epoch, o.Step); over {
			a.opts.Log.Info("switch over", "version", o.Version, "step", o.Step, "changed", changed)
			return false
		}
		a.pause(retryPause)
	}
	return true
}

// notArmed returns those of the ranks that neither took the arm nor show it. A
// refusal alone proves nothing: the rank may have been armed by another order.
func (a *Agent) notArmed(ranks []rank, results []peers.OrderResult, version uint64) []rank {
	var left []rank
	for i, r := range ranks {
		if results[i].Accepted {
			continue
		}
		state := r.collect(a, plain)
		if state.Known && (state.Armed == version || state.Map == version) {
			continue
		}
		left = append(left, r)
	}
	return left
}

// abandoned tells whether a switch is over without us: the group has another
// epoch, or the pass has begun.
func (a *Agent) abandoned(holder *member, epoch, at uint64) (over, changed bool) {
	state := holder.collect(a, plain)
	if !state.Known {
		return false, false
	}
	if state.Epoch != epoch || !state.Complete {
		return true, true
	}
	return state.Step >= at, false
}

// release lets the group go before a pass and sees to it that it does: an order
// may be lost, and a late copy of the hold may strike again.
func release(a *Agent, holder *member, epoch, at uint64) bool {
	for a.ctx.Err() == nil {
		letGo(a, holder, &peers.RankOrder{Kind: peers.OrderRelease, Epoch: epoch, Step: at})
		state := holder.collect(a, plain)
		switch {
		case !state.Known:
		case state.Epoch != epoch || !state.Complete:
			return false
		case state.Held != at || state.Step >= at:
			return true
		}
		a.pause(retryPause)
	}
	return false
}

// letGo orders an engine to end a hold, itself and not through its agent: while that is
// slow to answer every stream of the group stands still.
func letGo(a *Agent, holder *member, o *peers.RankOrder) {
	if holder.own == nil {
		if _, err := holder.direct.Order(a.ctx, o); err == nil {
			return
		}
	}
	holder.order(a, o)
}

// resolve brings on a group that is held, as was seen first at a time, and whose
// switch nobody carries out.
func resolve(a *Agent, g *group, holder *member, name string, seen time.Time) {
	first := holder.collect(a, plain)
	if !first.Known || first.Held == 0 || !first.Complete {
		return
	}
	q := &peers.Collect{Fence: first.Held, Epoch: first.Epoch}
	ranks, complete := g.collectWith(name, q, (*member).collectSoon)
	if len(ranks) < first.Ranks-1 {
		g.reread()
		ranks, complete = g.collectWith(name, q, (*member).collectSoon)
	}
	if !complete || ranks[0].state.Epoch != first.Epoch {
		resolveWithoutLeader(a, holder, name, ranks, first, seen)
		return
	}
	version := armedVersion(ranks)
	if version == 0 && !allFenced(ranks) && time.Since(seen) < fencePatience {
		a.opts.Log.Info("group held, not all agents have fenced the pass", "group", name, "step", first.Held)
		return
	}
	a.opts.Log.Info("group held by nobody", "group", name, "step", first.Held, "version", version)
	if version == 0 {
		release(a, holder, first.Epoch, first.Held)
		return
	}
	finish(a, holder, ranks, version, first.Held, true)
}

// fencePatience is how long an agent may take to tell that it has fenced a pass. A slow
// one that has not may still arm its rank after it was seen unarmed, and the group would
// go on with two maps; one that has ended arms nothing.
const fencePatience = 500 * time.Millisecond

func allFenced(ranks []rank) bool {
	return !slices.ContainsFunc(ranks, func(r rank) bool { return !r.state.Fenced })
}

// armedVersion returns the version for which some rank is armed; 0 if none is.
func armedVersion(ranks []rank) uint64 {
	for i := range ranks {
		if v := ranks[i].state.Armed; v != 0 {
			return v
		}
	}
	return 0
}

// lateArm is how long after it was given an arm without an answer may take effect
// at the earliest, with a margin. Source: the platform's statement of two to
// twelve seconds. A group that is let go sooner has begun the pass by then, and the
// arm is refused.
const lateArm = 1500 * time.Millisecond

// resolveWithoutLeader brings on a group whose leader's VM can't be reached.
func resolveWithoutLeader(a *Agent, holder *member, name string, ranks []rank, first peers.RankState, seen time.Time) {
	if !allButLeader(ranks, first) || time.Since(seen) > lateArm {
		a.opts.Log.Info("group held, not all ranks seen", "group", name, "step", first.Held, "ranks", len(ranks))
		return
	}
	other := ranks[proxyRank-1].state.ProxyArm
	given := other.Epoch == first.Epoch && other.Step == first.Held
	switch {
	case given && !other.Accepted:
		a.opts.Log.Info("group held, leader's rank may be armed", "group", name, "step", first.Held)
		return
	case !given && !disarmAll(a, ranks):
		a.opts.Log.Info("group held, arms not taken back", "group", name, "step", first.Held)
		return
	}
	ok := release(a, holder, first.Epoch, first.Held)
	a.opts.Log.Info("group let go without its leader", "group", name, "step", first.Held, "switched", given, "released", ok)
}

// allButLeader tells whether all ranks but the leader's have answered, and fenced
// the pass that the group is held at.
func allButLeader(ranks []rank, first peers.RankState) bool {
	if len(ranks) != first.Ranks-1 || len(ranks) < proxyRank {
		return false
	}
	for i := range ranks {
		s := &ranks[i].state
		if s.Rank != i+1 || s.Epoch != first.Epoch || !s.Complete || !s.Fenced {
			return false
		}
	}
	return true
}

// disarmAll takes back the arms of ranks that are armed, of all at once, since the group
// stands still meanwhile; false if that is not known to have been done.
func disarmAll(a *Agent, ranks []rank) bool {
	for range holdTries {
		var wait sync.WaitGroup
		var open atomic.Int32
		for _, r := range ranks {
			if r.state.Armed == 0 {
				continue
			}
			wait.Go(func() {
				r.order(a, &peers.RankOrder{Kind: peers.OrderDisarm, Epoch: r.state.Epoch, Version: r.state.Armed})
				state := r.collect(a, plain)
				if !state.Known || state.Armed != 0 {
					open.Add(1)
				}
			})
		}
		wait.Wait()
		if open.Load() == 0 {
			return true
		}
	}
	return false
}
