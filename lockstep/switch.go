package lockstep

import (
	"time"

	"github.com/heatherrail/heatherrail/peers"
)

// A map switch works as follows. All ranks prepare the map. Then one rank, the holder, holds the
// group before a pass: no rank can begin that pass until the hold is released. All ranks are armed
// to switch when the pass begins, and the hold is released.
//
// A pass must never begin while two ranks use different maps. Engines know nothing of switches, and
// each order may be carried out seconds after it was sent: by a network that was cut, by an agent
// that was stopped, or by an engine that left it unanswered. A group without requests begins no
// passes, so nothing voids such an order by itself. Two properties of engines do: an engine refuses
// to arm a map that is not the last one that it has prepared, and to prepare a map while it is armed
// or if the map's version is not its highest.
//
//   - Rank 0 decides. It is armed last, after all other ranks were seen armed. Once it is armed,
//     the switch is complete: nobody disarms a rank any more, and the hold may be released by anyone,
//     at any time and repeatedly. Until then the switch may be taken back.
//   - A switch is taken back by voiding its map, first at rank 0: the rank prepares a void map,
//     which is the map in use under a higher version and is never armed. If rank 0 has been armed
//     before, it refuses, and the switch is completed instead. The other ranks are then disarmed and
//     prepare the void map too. No order of the switch can take effect after that, so the hold is
//     released and stays so.
//   - While rank 0's VM is unreachable, the agent of another rank, the proxy, decides in its place.
//     Rank 0 is armed only after the proxy has recorded that it may be, by the proxy itself first.
//     An agent that takes a switch back without rank 0 asks the proxy to abandon it, which the
//     proxy refuses after it has recorded the arming. An agent that has not seen the map being
//     prepared has restarted since, and neither records nor abandons: the group then waits for rank 0.
//   - A release is valid for its pass only, and no two switches use one pass: after a switch, no
//     other begins before the group has begun the pass of the earlier one. So a late release or hold
//     of the earlier switch has no effect.
//   - An agent that finds the group held for longer than a switch takes recovers it: it completes
//     the switch if some rank is armed and rank 0 can be, and otherwise takes it back. Agents that
//     do so at the same time, the leader among them, get the same decision.
//   - An engine's report to another VM is old, so what an agent reads while the engine's own agent is
//     down may precede the switch. Each state carries the time that it is of. A rank counts as voided
//     only when it shows a later map, which no old state can show wrongly, or when its own agent has read
//     since the hold that nothing is prepared. The rank may be armed otherwise.
//   - Each order carries the epoch. After a rank has restarted the group has another epoch, and
//     orders in flight from before are refused.
//
// The holder is not the leader's rank, and the leader sends the hold to the holder's engine directly
// and not through its agent: if either the leader or the holder's agent fails, the other can release
// the hold. Agents also fence the pass when a group is recovered, so that a leader that wakes up stops
// sending orders; the fence saves time, and safety does not rest on it.

// Limits of a switch.
const (
	// holdStepsAhead is how many passes ahead the hold is placed. Arming takes ten milliseconds,
	// less than most passes; if it takes longer, the group waits.
	holdStepsAhead = 1
	holdAttempts   = 6
	// retryInterval gives a slow engine time to answer. An order within a VM takes a millisecond.
	retryInterval = 10 * time.Millisecond
)

// switchMap switches to a version that all ranks have prepared. It returns the step of the pass that
// the group was held at, which is the first pass with that version if the switch succeeds, and how long
// the group was held.
func switchMap(a *Agent, holder *member, ranks []rank, version uint64) (step uint64, stall time.Duration, ok bool) {
	epoch := ranks[0].state.Epoch
	step, held := holdGroup(a, holder, epoch)
	if !held {
		return step, 0, false
	}
	start := time.Now()
	ok = completeSwitch(a, &hold{holder: holder, epoch: epoch, step: step, heldAt: start}, ranks, version, false)
	return step, time.Since(start), ok
}

// holdGroup holds the group before a coming pass and returns the pass's step. Without a hold it returns
// the highest step for which a hold order was sent, which may still take effect; 0: none.
//
// The step is read from this VM's own engine, since all ranks run each pass together. The holder's
// agent may answer slowly, as after a restart of the whole fleet, and would delay the switch.
func holdGroup(a *Agent, holder *member, epoch uint64) (step uint64, held bool) {
	unanswered := uint64(0) // step of the latest hold order without an answer, which may have been accepted
	var orderedAt time.Time // time of that order
	for range holdAttempts {
		state, err := a.opts.Engine.State(a.ctx)
		if err != nil || !state.Known || state.Epoch != epoch || !state.Complete {
			return step, false
		}
		if unanswered != 0 {
			// A hold that another agent has placed may be released by a recovering agent at any moment.
			if s := holder.collectSince(a, stateOnly, orderedAt); !s.Known || s.Held != 0 {
				return step, s.Known && s.Held == unanswered
			}
		}
		step = state.Step + holdStepsAhead
		result, err := holder.engine.Order(a.ctx, &peers.RankOrder{Kind: peers.OrderHold, Epoch: epoch, Step: step})
		if err == nil && result.Accepted {
			return step, true
		}
		if err != nil {
			unanswered, orderedAt = step, time.Now()
		}
		a.sleep(retryInterval)
	}
	return step, false
}

// hold is a hold of a group, at one of its ranks.
type hold struct {
	holder *member
	epoch  uint64
	step   uint64    // number of the held pass
	heldAt time.Time // the group was held at this time; an older state of the rank says nothing of the hold
}

// completeSwitch arms all ranks for the held pass and releases the hold. recovery states that this
// agent has fenced the pass to recover the group.
func completeSwitch(a *Agent, h *hold, ranks []rank, version uint64, recovery bool) bool {
	start := time.Now()
	name := ranks[0].state.Group
	order := &peers.RankOrder{Kind: peers.OrderArm, Epoch: h.epoch, Version: version, Step: h.step, Recovery: recovery}
	if !armAll(a, h, ranks[1:], order) || !armLeader(a, h, ranks, order) {
		return false
	}
	ok := releaseGroup(a, h)
	a.opts.Log.Info("map switched", "group", name, "version", version, "step", h.step, "released", ok, "ms", time.Since(start).Milliseconds())
	return ok
}

// proxyRank returns the rank whose agent decides for rank 0 while the leader's VM is unreachable. It
// is not the holder, unless the group has only two ranks.
func proxyRank(ranks int) int { return min(2, ranks-1) }

// proxyAnswers reports whether the proxy's agent can be asked.
func proxyAnswers(ranks []rank) bool {
	proxy := &ranks[proxyRank(len(ranks))]
	return proxy.localAgent != nil || proxy.canAskAgent()
}

// canDecide reports whether the proxy can record that rank 0 may be armed with a version: its agent
// answers and has received the map.
func canDecide(ranks []rank, version uint64) bool {
	return len(ranks) == 1 || proxyAnswers(ranks) && ranks[proxyRank(len(ranks))].state.HighestMapReceived >= version
}

// armLeader arms rank 0, the rank of the leader, which completes the switch: it orders the engine of
// rank 0 to switch maps when the held pass begins. The agent of the proxy records and sends the order
// first. This agent repeats it only once the proxy has recorded it.
func armLeader(a *Agent, h *hold, ranks []rank, o *peers.RankOrder) bool {
	if len(ranks) == 1 {
		return armAll(a, h, ranks, o)
	}
	byProxy := *o
	byProxy.Engine = ranks[0].engineAddr
	for range holdAttempts {
		result, answered := ranks[proxyRank(len(ranks))].orderAgent(a, &byProxy)
		switch {
		case result.Accepted:
			return true
		case answered && !result.Refused: // recorded, but rank 0 left the order unanswered
			return armAll(a, h, ranks[:1], o)
		}
		state := ranks[0].collect(a, stateOnly) // an old state serves too: rank 0 is never disarmed
		if state.Known && state.Armed == o.Version {
			return true
		}
		if answered {
			return false // abandoned, or rank 0 has prepared another map
		}
		a.sleep(retryInterval)
	}
	return false
}

// armAll repeats the arm order until each rank is seen to be armed. It returns false if the switch
// has ended elsewhere or is being taken back, or if this agent is fenced or stops.
func armAll(a *Agent, h *hold, ranks []rank, o *peers.RankOrder) bool {
	remaining := ranks
	for len(remaining) > 0 {
		if a.ctx.Err() != nil || a.isFenced(o) {
			return false
		}
		results := orderRanks(a, remaining, o)
		unarmed := a.unarmedRanks(remaining, results, o.Version)
		if len(unarmed) == 0 {
			return true
		}
		remaining = remaining[:0:0]
		for _, r := range unarmed {
			if h.isVoided(&r.state, o.Version) {
				a.opts.Log.Info("switch is being taken back", "version", o.Version, "step", o.Step, "rank", r.state.Rank)
				return false
			}
			remaining = append(remaining, r)
		}
		if ended, epochChanged := a.switchEnded(h); ended {
			a.opts.Log.Info("switch ended before all ranks were armed", "version", o.Version, "step", o.Step, "changed", epochChanged)
			return false
		}
		a.sleep(retryInterval)
	}
	return true
}

// unarmedRanks returns the ranks that neither accepted the arm order nor show it in their state, with
// their state where it is known. A refusal alone proves nothing: another order may have armed the rank.
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
		if state.Known {
			r.state = state
		}
		unarmed = append(unarmed, r)
	}
	return unarmed
}

// switchEnded reports whether the switch has ended elsewhere: the group has another epoch or is
// incomplete (epochChanged), the pass has begun, or the group is not held at it any more.
func (a *Agent) switchEnded(h *hold) (ended, epochChanged bool) {
	state := h.holder.collect(a, stateOnly)
	if !state.Known || state.AsOf.Before(h.heldAt) {
		return false, false
	}
	if state.Epoch != h.epoch || !state.Complete {
		return true, true
	}
	return state.Step >= h.step || state.Held != h.step, false
}

// releaseGroup releases the hold and repeats the order until a state of the holder since then shows the
// release: an order may be lost, and a late copy of the hold may take effect again.
func releaseGroup(a *Agent, h *hold) bool {
	for a.ctx.Err() == nil {
		sendRelease(a, h.holder, &peers.RankOrder{Kind: peers.OrderRelease, Epoch: h.epoch, Step: h.step})
		state := h.holder.collectSince(a, stateOnly, time.Now())
		switch {
		case !state.Known:
		case state.Epoch != h.epoch || !state.Complete:
			return false
		case state.Held != h.step || state.Step >= h.step:
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
