package lockstep

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherrail/heatherrail/peers"
)

// A map switch works as follows. All ranks prepare the map. Then one rank, the holder, holds the
// group before a pass: no rank can begin that pass until the hold is released. All ranks are armed
// to switch when the pass begins, and the hold is released.
//
// A pass must never begin while two ranks use different maps. The hold ensures this: between hold
// and release an arm order that is late, lost or refused is noticed in time.
//
// An agent that dies or freezes during the switch leaves the group held. So the holder is not the
// leader's rank, and the leader sends the hold to the holder's engine directly and not through its
// agent. If either the leader or the holder's agent fails, the other can release the hold.
//
//   - Arm orders are sent only after all ranks have prepared the map and the hold is confirmed.
//     From then on the switch only goes forward. An unanswered arm order may take effect seconds
//     later, so nothing is rolled back: the order is repeated until each rank is seen to be
//     armed. A late copy of it finds that the pass has begun and is refused.
//   - An agent that finds the group held for longer than a switch takes recovers it. It first
//     sends all agents a fence: an order not to arm for that pass any more. The ranks that are
//     armed stay armed. If any rank is armed, the recovering agent arms the others and releases
//     the hold; if none is, it releases the hold and the map in use stays. Two agents that recover
//     the group at the same time see the same state and send the same orders. A leader that wakes
//     up in the meantime is refused.
//   - The leader's rank is armed last, by the agent of another rank, the proxy. So even if the
//     leader's VM is unreachable, the proxy knows whether the leader's rank is armed. If it is, all
//     ranks are, and the group goes on with the new map. If it is not, the map in use stays: all
//     other agents are fenced, which stops the leader if it wakes up, the armed ranks are disarmed,
//     and the hold is released.
//   - Each order carries the epoch. After a rank has restarted the group has another epoch, and
//     orders in flight from before are refused.

// Limits of a switch.
const (
	// holdStepsAhead is how many passes ahead the hold is placed. Arming takes ten milliseconds,
	// less than most passes; if it takes longer, the group waits.
	holdStepsAhead = 1
	holdAttempts   = 6
	// retryInterval gives a slow engine time to answer. An order within a VM takes a millisecond.
	retryInterval = 10 * time.Millisecond
)

// switchMap switches to a version that all ranks have prepared. It returns the step of the first pass
// with that version, and how long the group was held.
func switchMap(a *Agent, holder *member, ranks []rank, version uint64) (step uint64, stall time.Duration, ok bool) {
	epoch := ranks[0].state.Epoch
	step, held := holdGroup(a, holder, epoch)
	if !held {
		return 0, 0, false
	}
	start := time.Now()
	ok = completeSwitch(a, holder, ranks, version, step, false)
	return step, time.Since(start), ok
}

// holdGroup holds the group before a coming pass and returns the pass's step.
//
// The step is read from this VM's own engine, since all ranks run each pass together. The holder's
// agent may answer slowly, as after a restart of the whole fleet, and would delay the switch.
func holdGroup(a *Agent, holder *member, epoch uint64) (uint64, bool) {
	unanswered := uint64(0) // step of the latest hold order without an answer, which may have been accepted
	for range holdAttempts {
		state, err := a.opts.Engine.State(a.ctx)
		if err != nil || !state.Known || state.Epoch != epoch || !state.Complete {
			return 0, false
		}
		if unanswered != 0 {
			// A hold that another agent has placed may be released by a recovering agent at any moment.
			if held := holder.collect(a, stateOnly); !held.Known || held.Held != 0 {
				return held.Held, held.Known && held.Held == unanswered
			}
		}
		step := state.Step + holdStepsAhead
		result, err := holder.engine.Order(a.ctx, &peers.RankOrder{Kind: peers.OrderHold, Epoch: epoch, Step: step})
		if err == nil && result.Accepted {
			return step, true
		}
		if err != nil {
			unanswered = step
		}
		a.sleep(retryInterval)
	}
	return 0, false
}

// completeSwitch arms all ranks for the held pass and releases the hold. recovery states that this
// agent has fenced the pass to recover the group.
func completeSwitch(a *Agent, holder *member, ranks []rank, version, step uint64, recovery bool) bool {
	epoch := ranks[0].state.Epoch
	start := time.Now()
	name := ranks[0].state.Group
	order := &peers.RankOrder{Kind: peers.OrderArm, Epoch: epoch, Version: version, Step: step, Recovery: recovery}
	if !armAll(a, holder, ranks[1:], order) || !armLeader(a, holder, ranks, order) {
		return false
	}
	ok := releaseGroup(a, holder, epoch, step)
	a.opts.Log.Info("map switched", "group", name, "version", version, "step", step, "released", ok, "ms", time.Since(start).Milliseconds())
	return ok
}

// proxyRank is the rank whose agent arms the leader's rank, so that another VM knows the outcome if
// the leader's VM fails.
const proxyRank = 2

// armLeader arms rank 0, the rank of the leader: it orders the engine of rank 0 to switch maps when
// the held pass begins. The agent of proxyRank sends the order first. This agent sends the order
// itself if the group has no rank proxyRank, if the agent of proxyRank is in backoff, or if rank 0
// is not armed after the order of that agent.
func armLeader(a *Agent, holder *member, ranks []rank, o *peers.RankOrder) bool {
	if len(ranks) <= proxyRank || !ranks[proxyRank].canAskAgent() {
		return armAll(a, holder, ranks[:1], o)
	}
	byProxy := *o
	byProxy.Engine = ranks[0].engineAddr
	ranks[proxyRank].order(a, &byProxy)
	// Whether or not the order was answered, the rank is checked, and armed again if needed.
	return len(a.unarmedRanks(ranks[:1], make([]peers.OrderResult, 1), o.Version)) == 0 || armAll(a, holder, ranks[:1], o)
}

// armAll repeats the arm order until each rank is seen to be armed. It returns false if the switch
// has ended elsewhere, or if this agent is fenced or stops.
func armAll(a *Agent, holder *member, ranks []rank, o *peers.RankOrder) bool {
	remaining := ranks
	for len(remaining) > 0 {
		if a.ctx.Err() != nil || a.isFenced(o) {
			return false
		}
		results := orderRanks(a, remaining, o)
		remaining = a.unarmedRanks(remaining, results, o.Version)
		if len(remaining) == 0 {
			return true
		}
		if ended, epochChanged := a.switchEnded(holder, o.Epoch, o.Step); ended {
			a.opts.Log.Info("switch ended before all ranks were armed", "version", o.Version, "step", o.Step, "changed", epochChanged)
			return false
		}
		a.sleep(retryInterval)
	}
	return true
}

// unarmedRanks returns the ranks that neither accepted the arm order nor show it in their state. A
// refusal alone proves nothing: another order may have armed the rank.
func (a *Agent) unarmedRanks(ranks []rank, results []peers.OrderResult, version uint64) []rank {
	var unarmed []rank
	for i, r := range ranks {
		if results[i].Accepted {
			continue
		}
		state := r.collect(a, stateOnly)
		if state.Known && (state.Armed == version || state.Map == version) {
			continue
		}
		unarmed = append(unarmed, r)
	}
	return unarmed
}

// switchEnded reports whether the switch has ended elsewhere: the group has another epoch or is
// incomplete (epochChanged), or the pass has begun.
func (a *Agent) switchEnded(holder *member, epoch, step uint64) (ended, epochChanged bool) {
	state := holder.collect(a, stateOnly)
	if !state.Known {
		return false, false
	}
	if state.Epoch != epoch || !state.Complete {
		return true, true
	}
	return state.Step >= step, false
}

// releaseGroup releases the hold and repeats the order until the holder's state shows the release: an
// order may be lost, and a late copy of the hold may take effect again.
func releaseGroup(a *Agent, holder *member, epoch, step uint64) bool {
	for a.ctx.Err() == nil {
		sendRelease(a, holder, &peers.RankOrder{Kind: peers.OrderRelease, Epoch: epoch, Step: step})
		state := holder.collect(a, stateOnly)
		switch {
		case !state.Known:
		case state.Epoch != epoch || !state.Complete:
			return false
		case state.Held != step || state.Step >= step:
			return true
		}
		a.sleep(retryInterval)
	}
	return false
}

// sendRelease sends a release to the holder's engine, directly and not through its agent: while a
// slow agent delays the release, every stream of the group is stalled.
func sendRelease(a *Agent, holder *member, o *peers.RankOrder) {
	if holder.localAgent == nil {
		if _, err := holder.engine.Order(a.ctx, o); err == nil {
			return
		}
	}
	holder.order(a, o)
}

// recoverGroup recovers a held group whose switch no agent is completing. seenAt is when the hold was
// first seen.
func recoverGroup(a *Agent, g *group, holder *member, name string, seenAt time.Time) {
	first := holder.collect(a, stateOnly)
	if !first.Known || first.Held == 0 || !first.Complete {
		return
	}
	q := &peers.Collect{Fence: first.Held, Epoch: first.Epoch}
	ranks, complete := g.collectUsing(name, q, (*member).collectHedged)
	if len(ranks) < first.Ranks-1 {
		g.refresh()
		ranks, complete = g.collectUsing(name, q, (*member).collectHedged)
	}
	if !complete || ranks[0].state.Epoch != first.Epoch {
		recoverWithoutLeader(a, holder, name, ranks, first, seenAt)
		return
	}
	version := armedVersion(ranks)
	if version == 0 && !allFenced(ranks) && time.Since(seenAt) < fenceTimeout {
		a.opts.Log.Info("group held, not all agents have fenced the pass", "group", name, "step", first.Held)
		return
	}
	a.opts.Log.Info("group held by nobody", "group", name, "step", first.Held, "version", version)
	if version == 0 {
		releaseGroup(a, holder, first.Epoch, first.Held)
		return
	}
	completeSwitch(a, holder, ranks, version, first.Held, true)
}

// fenceTimeout is how long recovery waits for every agent to confirm the fence. A slow agent that
// has not confirmed may still arm its rank after that rank was seen unarmed, and the group would go
// on with two maps. An agent that has ended arms nothing, so the wait is bounded.
const fenceTimeout = 500 * time.Millisecond

// allFenced reports whether all agents have confirmed the fence.
func allFenced(ranks []rank) bool {
	return !slices.ContainsFunc(ranks, func(r rank) bool { return !r.state.Fenced })
}

// armedVersion returns the version that some rank is armed for; 0: none.
func armedVersion(ranks []rank) uint64 {
	for i := range ranks {
		if v := ranks[i].state.Armed; v != 0 {
			return v
		}
	}
	return 0
}

// lateArmDelay is the earliest delay after which an unanswered arm order may take effect, less a
// margin. Source: the platform's statement of two to twelve seconds. If the hold is released sooner,
// the pass has begun by the time the order takes effect, and the engine refuses the order.
const lateArmDelay = 1500 * time.Millisecond

// recoverWithoutLeader recovers a group whose leader's VM is unreachable.
func recoverWithoutLeader(a *Agent, holder *member, name string, ranks []rank, first peers.RankState, seenAt time.Time) {
	if !allFollowersFenced(ranks, first) || time.Since(seenAt) > lateArmDelay {
		a.opts.Log.Info("group held, followers not fenced in time", "group", name, "step", first.Held, "ranks", len(ranks))
		return
	}
	proxyArm := ranks[proxyRank-1].state.ProxyArm
	proxyOrdered := proxyArm.Epoch == first.Epoch && proxyArm.Step == first.Held
	switch {
	case proxyOrdered && !proxyArm.Accepted:
		a.opts.Log.Info("group held, leader's rank may be armed", "group", name, "step", first.Held)
		return
	case !proxyOrdered && !disarmAll(a, ranks):
		a.opts.Log.Info("group held, armed ranks not disarmed", "group", name, "step", first.Held)
		return
	}
	ok := releaseGroup(a, holder, first.Epoch, first.Held)
	a.opts.Log.Info("group let go without its leader", "group", name, "step", first.Held, "switched", proxyOrdered, "released", ok)
}

// allFollowersFenced reports whether all ranks but the leader's have answered and confirmed the
// fence.
func allFollowersFenced(ranks []rank, first peers.RankState) bool {
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

// disarmAll disarms the armed ranks, in parallel because the group is stalled meanwhile. It returns
// false if some rank may still be armed.
func disarmAll(a *Agent, ranks []rank) bool {
	for range holdAttempts {
		var wait sync.WaitGroup
		var failed atomic.Int32
		for _, r := range ranks {
			if r.state.Armed == 0 {
				continue
			}
			wait.Go(func() {
				r.order(a, &peers.RankOrder{Kind: peers.OrderDisarm, Epoch: r.state.Epoch, Version: r.state.Armed})
				state := r.collect(a, stateOnly)
				if !state.Known || state.Armed != 0 {
					failed.Add(1)
				}
			})
		}
		wait.Wait()
		if failed.Load() == 0 {
			return true
		}
	}
	return false
}
