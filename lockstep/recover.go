package lockstep

import (
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/peers"
)

// recoverGroup recovers a held group whose switch no agent is completing. seenAt is when the hold was
// first seen.
func recoverGroup(a *Agent, g *group, holder *member, name string, seenAt time.Time) {
	first := holder.collect(a, stateOnly)
	if !first.Known || first.Held == 0 || !first.Complete {
		return
	}
	q := &peers.Collect{Fence: first.Held, Epoch: first.Epoch, Lists: true}
	ranks, complete := g.collectUsing(name, q, (*member).collectHedged)
	if len(ranks) < first.Ranks-1 {
		g.refresh()
		ranks, complete = g.collectUsing(name, q, (*member).collectHedged)
	}
	t := &takeBack{a: a, group: g, held: first, version: versionInDoubt(ranks),
		hold: hold{holder: holder, epoch: first.Epoch, step: first.Held, heldAt: first.AsOf}}
	if !complete || ranks[0].state.Epoch != first.Epoch {
		recoverWithoutLeader(t, ranks)
		return
	}
	version := armedVersion(ranks)
	if version == 0 && !allFenced(ranks) && time.Since(seenAt) < fenceTimeout {
		a.opts.Log.Info("group held, not all agents have fenced the pass", "group", name, "step", first.Held)
		return
	}
	a.opts.Log.Info("group held by nobody", "group", name, "step", first.Held, "version", version)
	if version == t.version && t.hold.canComplete(ranks, version) && completeSwitch(a, &t.hold, ranks, version, true) {
		return
	}
	if ranks[0].state = ranks[0].collect(a, stateOnlyWithLists); !ranks[0].state.Known {
		return
	}
	released := t.run(ranks)
	a.opts.Log.Info("switch taken back", "group", name, "step", first.Held, "released", released)
}

// canComplete reports whether a switch to a version may be completed: some rank is armed for it, and
// rank 0 is, or can be.
func (h *hold) canComplete(ranks []rank, version uint64) bool {
	if version == 0 {
		return false
	}
	return ranks[0].state.Armed == version || !h.isVoided(&ranks[0].state, version) && canDecide(ranks, version)
}

// stateOnlyWithLists requests a rank's state and the experts that it has in the map in use.
var stateOnlyWithLists = &peers.Collect{Lists: true}

// fenceTimeout is how long recovery waits for every agent to confirm the fence when no rank is armed
// yet. An agent that has not confirmed is likely to be still carrying out an order.
const fenceTimeout = 500 * time.Millisecond

// allFenced reports whether all agents have confirmed the fence.
func allFenced(ranks []rank) bool {
	return !slices.ContainsFunc(ranks, func(r rank) bool { return !r.state.Fenced })
}

// armedVersion returns the highest version that some rank is armed for; 0: none.
func armedVersion(ranks []rank) uint64 {
	version := uint64(0)
	for i := range ranks {
		version = max(version, ranks[i].state.Armed)
	}
	return version
}

// recoverWithoutLeader recovers a group whose leader's VM is unreachable. ranks are those that
// answered.
func recoverWithoutLeader(t *takeBack, ranks []rank) {
	log, group, step := t.a.opts.Log, t.held.Group, t.held.Held
	if !allFollowersKnown(ranks, &t.held) {
		log.Info("group held, followers not known", "group", group, "step", step, "ranks", len(ranks))
		return
	}
	proxy := &ranks[proxyRank(t.held.Ranks)-1]
	proxyArm := proxy.state.ProxyArm
	switched := proxyArm.Epoch == t.held.Epoch && proxyArm.Step == step
	released := false
	switch {
	case switched && !proxyArm.Accepted:
		log.Info("group held, leader's rank may be armed", "group", group, "step", step)
		return
	case switched:
		released = releaseGroup(t.a, &t.hold)
	case t.abandon(proxy):
		released = t.run(ranks)
	default:
		log.Info("group held, switch not abandoned", "group", group, "step", step)
		return
	}
	log.Info("group let go without its leader", "group", group, "step", step, "switched", switched, "released", released)
}

// allFollowersKnown reports whether the states are those of all ranks but the leader's.
func allFollowersKnown(ranks []rank, held *peers.RankState) bool {
	if len(ranks) == 0 || len(ranks) != held.Ranks-1 {
		return false
	}
	for i := range ranks {
		s := &ranks[i].state
		if s.Rank != i+1 || s.Epoch != held.Epoch || !s.Complete {
			return false
		}
	}
	return true
}

// takeBack takes a switch back: it voids the map of the switch at all ranks and releases the hold. It may
// be delayed until a later switch has begun, so its orders have no effect on other maps.
type takeBack struct {
	a       *Agent
	group   *group
	hold    hold
	held    peers.RankState // state of the holder's rank
	version uint64          // result of versionInDoubt
}

// versionInDoubt returns the highest version that a rank may be armed for; 0: none. The state of this
// agent's own rank is among the states and up to date, and all ranks have prepared a map before the group
// is held, so no rank has prepared a later one.
func versionInDoubt(ranks []rank) uint64 {
	version := uint64(0)
	for i := range ranks {
		version = max(version, ranks[i].state.Prepared, ranks[i].state.Armed)
	}
	if version != 0 && isVoidVersion(version) {
		return version - 1 // the switch to an earlier version is being taken back
	}
	return version
}

// abandon asks the proxy to abandon the switch in place of rank 0.
func (t *takeBack) abandon(proxy *rank) bool {
	if t.version == 0 || isVoidVersion(t.version+1) {
		return true // no rank can be armed, or some rank is voided already, which comes after this decision
	}
	result, _ := proxy.orderAgent(t.a, &peers.RankOrder{Kind: peers.OrderAbandon, Epoch: t.held.Epoch, Step: t.held.Held, Version: t.version})
	return result.Accepted
}

// run voids the map of the switch at the ranks, at rank 0 first if it is among them, and releases the
// hold. It returns false if the switch has been completed meanwhile, or if some rank may still be armed.
func (t *takeBack) run(ranks []rank) bool {
	if t.version == 0 {
		return releaseGroup(t.a, &t.hold)
	}
	void := t.newVoidMap(ranks)
	if ranks[0].state.Rank == 0 {
		if !t.voidRanks(ranks[:1], void) {
			return false
		}
		ranks = ranks[1:]
	}
	return t.voidRanks(ranks, void) && releaseGroup(t.a, &t.hold)
}

// voidMap is a map with a void version, as the two forms of a prepare order.
type voidMap struct{ full, delta *peers.RankOrder }

// newVoidMap returns the map that the ranks use, under a void version above all that the ranks have
// had. No rank has to copy experts for it.
func (t *takeBack) newVoidMap(ranks []rank) voidMap {
	highest := uint64(0)
	lists := make([][][]uint16, t.held.Ranks) // by rank and layer set
	for i := range ranks {
		s := &ranks[i].state
		highest = max(highest, s.Map, s.Prepared, s.Armed, s.HighestMapReceived)
		if len(s.Lists) == 0 {
			ranks[i].readExpertsFromEngine(t.a, s)
		}
		lists[s.Rank] = s.Lists
	}
	full := &peers.RankOrder{Kind: peers.OrderPrepare, Epoch: t.held.Epoch, Version: nextVoidVersion(highest)}
	sets := 0
	for _, l := range lists {
		sets = max(sets, len(l))
	}
	experts := t.expertsPerSet(sets)
	for set := range sets {
		layout := make(expert.Layout, len(lists))
		for r := range lists {
			if set < len(lists[r]) {
				layout[r] = lists[r][set]
			}
		}
		full.Map = append(full.Map, expert.Complete(layout, experts, t.placesPerRank(layout)))
	}
	delta := *full
	if sets > 0 {
		// The change changes nothing: agents that have the map in use need no copy of it.
		delta.Map, delta.Base = nil, t.held.Map
		if t.held.Map == 0 {
			delta.InitialMap = peers.InitialMap{Sets: uint16(sets), Ranks: uint16(t.held.Ranks), Experts: uint16(experts)}
		}
		delta.Changes = packChanges([]listChange{{set: 0, rank: t.held.Rank, experts: full.Map[0][t.held.Rank]}})
	}
	return voidMap{full: full, delta: &delta}
}

// expertsPerSet returns the number of experts of a layer set; 0: unknown.
func (t *takeBack) expertsPerSet(sets int) int {
	if m := t.group.model; m != nil {
		return m.Experts
	}
	counts, err := t.a.opts.Engine.ExpertCounts(t.a.ctx)
	if err != nil || sets == 0 {
		return 0
	}
	return len(counts.Counts) / sets
}

// placesPerRank returns the number of experts that a rank may hold, or does hold if the limit is
// unknown.
func (t *takeBack) placesPerRank(layout expert.Layout) int {
	if m := t.group.model; m != nil {
		return m.ExpertsPerRank
	}
	places := 0
	for _, list := range layout {
		places = max(places, len(list))
	}
	return places
}

// voidRanks disarms ranks and has them prepare the void map, in parallel because the group is stalled
// meanwhile. It never disarms rank 0. It returns false if some rank may still be armed.
func (t *takeBack) voidRanks(ranks []rank, void voidMap) bool {
	remaining := slices.Clone(ranks)
	for range holdAttempts {
		if len(remaining) == 0 {
			return true
		}
		if !disarmAll(t.a, remaining, t.version) {
			continue
		}
		var live []rank
		for _, r := range remaining {
			if !t.hold.isVoided(&r.state, t.version) {
				live = append(live, r)
			}
		}
		prepareAll(t.a, live, void.full, void.delta)
		if remaining = t.notVoided(live); len(remaining) > 0 {
			t.a.sleep(retryInterval)
		}
	}
	return len(remaining) == 0
}

// notVoided returns the ranks whose state does not show that their map is void, with that state.
func (t *takeBack) notVoided(ranks []rank) []rank {
	var mu sync.Mutex
	var remaining []rank
	var wait sync.WaitGroup
	for _, r := range ranks {
		wait.Go(func() {
			state := r.collect(t.a, stateOnly)
			if state.Known && state.Epoch == t.hold.epoch && t.hold.isVoided(&state, t.version) {
				return
			}
			if state.Known {
				r.state = state
			}
			mu.Lock()
			defer mu.Unlock()
			remaining = append(remaining, r)
		})
	}
	wait.Wait()
	return remaining
}

// disarmAll disarms the ranks that are armed for a version or an earlier one but rank 0, whose arming
// completes a switch. It updates the states of the ranks, and returns false if some rank reports that it is
// still armed.
func disarmAll(a *Agent, ranks []rank, version uint64) bool {
	for range holdAttempts {
		var wait sync.WaitGroup
		for i := range ranks {
			r := &ranks[i]
			if !isArmed(&r.state, version) {
				continue
			}
			wait.Go(func() {
				if r.state.Rank != 0 {
					r.order(a, &peers.RankOrder{Kind: peers.OrderDisarm, Epoch: r.state.Epoch, Version: r.state.Armed})
				}
				if state := r.collect(a, stateOnly); state.Known {
					r.state = state
				}
			})
		}
		wait.Wait()
		if !slices.ContainsFunc(ranks, func(r rank) bool { return isArmed(&r.state, version) }) {
			return true
		}
		a.sleep(retryInterval)
	}
	return false
}

// isArmed reports whether a rank is armed for a version or an earlier one.
func isArmed(s *peers.RankState, version uint64) bool { return s.Armed != 0 && s.Armed <= version }

// isVoidVersion reports whether a version is that of a void map, or 0.
func isVoidVersion(version uint64) bool { return version%versionStride == 0 }

// nextVoidVersion returns a version of a void map above highest. Versions of other maps are not
// multiples of versionStride.
func nextVoidVersion(highest uint64) uint64 { return (highest/versionStride + 1) * versionStride }

// isVoided reports whether a rank can never switch to a version, or an earlier one, that all ranks had
// prepared when the group was held.
//
// A rank that has prepared or uses a later map is voided. Versions of a rank only rise, so an old state that
// shows this is as good as a new one. A rank that has prepared nothing is copying a later map, but an old
// state may be older than the preparation, so this counts only in one read at the engine's own VM since.
func (h *hold) isVoided(s *peers.RankState, version uint64) bool {
	if isArmed(s, version) || s.Map == version {
		return false
	}
	readSince := !s.Lagged && !s.AsOf.Before(h.heldAt)
	return max(s.Prepared, s.Armed, s.Map) > version || readSince && s.Prepared == 0
}
