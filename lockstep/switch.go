package lockstep

import (
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
//   - Arms are given only once all ranks have the map prepared and the hold is
//     confirmed. From then on there is only one way: forward. An arm without an
//     answer may take effect seconds later, so nothing is called off; it is given
//     again until each rank is seen to be armed. A late copy finds the pass begun
//     and is refused.
//   - Whoever finds the group held by nobody he knows of does the same: if all
//     ranks have one map prepared that is newer than the one in use, it arms them
//     and lets the group go; else no arm can have been given, and it lets the group
//     go with the map in use. Two who do so at once, or one who wakes up in the
//     middle, give the same orders.
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
	// switchLimit ends a switch that does not come about, as when a rank is gone;
	// the group is left held then only if some rank may be armed.
	switchLimit = 8 * time.Second
)

// switchTo carries out a switch to a version that all ranks have prepared, and
// returns the pass with which they switch.
func switchTo(a *Agent, g *group, holder *member, ranks []rank, version uint64) (at uint64, ok bool) {
	epoch := ranks[0].state.Epoch
	at, held := hold(a, holder, epoch)
	if !held {
		return 0, false
	}
	return at, finish(a, g, holder, ranks, epoch, version, at)
}

// hold holds the group before a pass to come, and returns the pass.
func hold(a *Agent, holder *member, epoch uint64) (uint64, bool) {
	for range holdTries {
		state := holder.collect(a, false, "")
		switch {
		case !state.Known || state.Epoch != epoch || !state.Open:
			return 0, false
		case state.Held != 0:
			return state.Held, true
		}
		at := state.Step + stepsAhead
		result := holder.order(a, &peers.RankOrder{Kind: peers.OrderHold, Epoch: epoch, Step: at})
		if result.Taken {
			return at, true
		}
		a.pause(retryPause)
	}
	return 0, false
}

// finish arms all ranks for a pass that is held, and lets the group go.
func finish(a *Agent, g *group, holder *member, ranks []rank, epoch, version, at uint64) bool {
	begun := time.Now()
	name := ranks[0].state.Group
	left := ranks
	order := &peers.RankOrder{Kind: peers.OrderArm, Epoch: epoch, Version: version, Step: at}
	for len(left) > 0 && a.ctx.Err() == nil {
		results := orderEach(a, left, order)
		left = a.notArmed(left, results, version)
		if over, changed := a.abandoned(holder, epoch, at); over {
			a.opts.Log.Info("switch over", "group", name, "version", version, "step", at, "changed", changed)
			return false
		}
		if len(left) > 0 {
			a.pause(retryPause)
		}
	}
	ok := release(a, holder, epoch, at)
	a.opts.Log.Info("map switched", "group", name, "version", version, "step", at, "released", ok, "ms", time.Since(begun).Milliseconds())
	return ok
}

// notArmed returns those of the ranks that neither took the arm nor show it. A
// refusal alone proves nothing: the rank may have been armed by another order.
func (a *Agent) notArmed(ranks []rank, results []peers.OrderResult, version uint64) []rank {
	var left []rank
	for i, r := range ranks {
		if results[i].Taken {
			continue
		}
		state := r.collect(a, false, "")
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
	state := holder.collect(a, false, "")
	if !state.Known {
		return false, false
	}
	if state.Epoch != epoch || !state.Open {
		return true, true
	}
	return state.Step >= at, false
}

// release lets the group go before a pass and sees to it that it does: an order
// may be lost, and a late copy of the hold may strike again.
func release(a *Agent, holder *member, epoch, at uint64) bool {
	for a.ctx.Err() == nil {
		holder.order(a, &peers.RankOrder{Kind: peers.OrderGo, Epoch: epoch, Step: at})
		state := holder.collect(a, false, "")
		switch {
		case !state.Known:
		case state.Epoch != epoch || !state.Open:
			return false
		case state.Held != at || state.Step >= at:
			return true
		}
		a.pause(retryPause)
	}
	return false
}

// resolve brings on a group that is held and whose switch nobody carries out.
func resolve(a *Agent, g *group, holder *member, name string) {
	first := holder.collect(a, false, "")
	if !first.Known || first.Held == 0 || !first.Open {
		return
	}
	g.reread()
	// The hold was seen before the ranks are asked: whoever placed it to switch had
	// seen all of them prepared before.
	ranks, complete := g.collect(name, false, "")
	if !complete || ranks[0].state.Epoch != first.Epoch {
		a.opts.Log.Info("group held, not all ranks seen", "group", name, "step", first.Held, "ranks", len(ranks))
		return
	}
	version := commonPrepared(ranks)
	a.opts.Log.Info("group held by nobody", "group", name, "step", first.Held, "version", version)
	if version == 0 {
		release(a, holder, first.Epoch, first.Held)
		return
	}
	finish(a, g, holder, ranks, first.Epoch, version, first.Held)
}

// commonPrepared returns the version that all ranks have prepared and do not use
// yet; 0 if there is none. A rank that is armed has it prepared.
func commonPrepared(ranks []rank) uint64 {
	version := uint64(0)
	for i := range ranks {
		s := &ranks[i].state
		v := max(s.Prepared, s.Armed)
		if v <= s.Map || (i > 0 && v != version) {
			return 0
		}
		version = v
	}
	return version
}
