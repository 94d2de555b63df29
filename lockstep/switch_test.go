package lockstep

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/serving"
)

// runGroup runs a group and its agents for d and calls during in parallel.
func runGroup(t *testing.T, g *simGroup, d time.Duration, during func(f *simFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(g)
		if during != nil {
			f.tasks.Go(func() { during(f) })
		}
		time.Sleep(d)
		f.stop()
	})
}

// Demand shifts every few seconds. The group must follow with new maps, keep beginning passes, and
// never begin a pass with two maps.
func TestMapsFollowDemand(t *testing.T) {
	g := NewWithT(t)
	group := newSimGroup(12, 4, 72, 1)
	runGroup(t, group, 12*time.Second, func(*simFleet) {
		for range 3 {
			time.Sleep(4 * time.Second)
			group.shiftDemand()
		}
	})
	g.Expect(group.mixedSteps).To(BeEmpty())
	g.Expect(group.ranks[0].version).NotTo(BeZero())
	g.Expect(group.passes).To(BeNumerically(">", 250), "of 300")
}

// Engines execute a third of the orders 2 to 12 s late, without an answer and after newer orders. Late
// arms must be refused, late holds must not stall the group, and no pass may begin with two maps.
func TestLateOrdersNeverMixMaps(t *testing.T) {
	for seed := range uint64(12) {
		g := NewWithT(t)
		group := newSimGroup(9, 2, 36, seed)
		group.unansweredShare, group.lateOrders = 0.35, true
		runGroup(t, group, 20*time.Second, func(*simFleet) {
			for range 9 {
				time.Sleep(2 * time.Second)
				group.shiftDemand()
			}
		})
		g.Expect(group.mixedSteps).To(BeEmpty(), "seed %d", seed)
		g.Expect(group.longestStall).To(BeNumerically("<", 2*time.Second), "seed %d", seed)
		g.Expect(group.passes).To(BeNumerically(">", 300), "seed %d", seed)
	}
}

// VMs freeze for four seconds at random moments, the leader's VM also during a switch, and orders
// go unanswered. Agents then continue where they stopped. No pass may begin with two maps.
func TestFrozenVMsNeverMixMaps(t *testing.T) {
	for seed := range uint64(16) {
		g := NewWithT(t)
		group := newSimGroup(10, 2, 40, seed)
		group.unansweredShare, group.lateOrders = 0.1, true
		rng := rand.New(rand.NewPCG(seed, 2))
		runGroup(t, group, 30*time.Second, func(f *simFleet) {
			for range 4 {
				time.Sleep(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
				group.shiftDemand()
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
				vm := group.ranks[rng.IntN(len(group.ranks))].vm
				vm.freeze()
				time.Sleep(4 * time.Second)
				vm.unfreeze()
			}
		})
		g.Expect(group.mixedSteps).To(BeEmpty(), "seed %d", seed)
		g.Expect(group.passes).To(BeNumerically(">", 100), "seed %d", seed)
	}
}

// In a group that uses the tree, orders go unanswered or take effect late, and VMs of relaying agents
// freeze. No pass may begin with two maps, and passes must continue.
func TestLargeGroupsNeverMixMaps(t *testing.T) {
	for seed := range uint64(6) {
		g := NewWithT(t)
		group := newSimGroup(2*maxDirectRanks, 2, 4*maxDirectRanks, seed)
		group.unansweredShare, group.lateOrders = 0.15, true
		rng := rand.New(rand.NewPCG(seed, 4))
		runGroup(t, group, 24*time.Second, func(f *simFleet) {
			for range 4 {
				time.Sleep(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
				group.shiftDemand()
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				vm := group.ranks[rng.IntN(4)*maxLeafRanks+rng.IntN(3)].vm
				vm.freeze()
				time.Sleep(2 * time.Second)
				vm.unfreeze()
			}
		})
		g.Expect(group.mixedSteps).To(BeEmpty(), "seed %d", seed)
		g.Expect(group.passes).To(BeNumerically(">", 200), "seed %d", seed)
		g.Expect(group.ranks[0].version).NotTo(BeZero(), "seed %d", seed)
	}
}

// freezeLeaderInSwitch waits for a hold, then freezes the leader's VM for four seconds. It calls frozen
// once the VM is frozen.
func freezeLeaderInSwitch(group *simGroup, frozen func()) {
	held := false
	for !held {
		time.Sleep(time.Millisecond)
		group.mu.Lock()
		held = group.ranks[holderRank(len(group.ranks))].heldAt != 0
		group.mu.Unlock()
	}
	group.ranks[0].vm.freeze()
	frozen()
	time.Sleep(4 * time.Second)
	group.ranks[0].vm.unfreeze()
}

// The leader's VM is paused for 20 s while ranks copy a map, so the switch seems to take 20 s. A leader
// that took this for the time of all switches would find no plan worth its delay, make no switch that
// corrects the estimate, and keep its map until it restarts.
func TestLeaderFollowsDemandAfterAPause(t *testing.T) {
	g := NewWithT(t)
	group := newSimGroup(12, 4, 72, 3)
	var delays []time.Duration
	runGroup(t, group, 30*time.Second, func(*simFleet) {
		for prepared := false; !prepared; {
			time.Sleep(time.Millisecond)
			group.mu.Lock()
			prepared = slices.ContainsFunc(group.ranks, func(r *simRank) bool { return r.prepared != 0 })
			group.mu.Unlock()
		}
		group.ranks[0].vm.freeze()
		time.Sleep(20 * time.Second)
		group.ranks[0].vm.unfreeze()
		for range 3 {
			time.Sleep(time.Second)
			group.shiftDemand()
			delays = append(delays, timeToSwitch(group))
		}
	})
	g.Expect(group.mixedSteps).To(BeEmpty())
	g.Expect(delays).To(HaveLen(3))
	g.Expect(delays).To(HaveEach(BeNumerically("<", time.Second)))
}

// The leader's VM freezes after the hold, so the state of the leader's rank is unreachable. As that rank
// is armed last, the other agents must release the hold within about a second, before the VM is back.
func TestFrozenLeaderDoesNotStopTheGroup(t *testing.T) {
	g := NewWithT(t)
	group := newSimGroup(12, 4, 72, 3)
	frozen := false
	runGroup(t, group, 10*time.Second, func(*simFleet) {
		freezeLeaderInSwitch(group, func() { frozen = true })
	})
	g.Expect(frozen).To(BeTrue())
	g.Expect(group.mixedSteps).To(BeEmpty())
	g.Expect(group.longestStall).To(BeNumerically("<", 1500*time.Millisecond))
}

// The leader's VM freezes while the group is held, and the store is slow. All streams stall, so the
// group must continue within 0.35 s: other agents must not wait for several timeouts in sequence.
func TestGroupHeldByAFrozenLeaderResumesSoon(t *testing.T) {
	g := NewWithT(t)
	group := newSimGroup(12, 4, 72, 3)
	runGroup(t, group, 10*time.Second, func(f *simFleet) {
		freezeLeaderInSwitch(group, func() { f.storeSlow.Store(true) })
	})
	g.Expect(group.mixedSteps).To(BeEmpty())
	g.Expect(group.longestStall).To(BeNumerically("<=", 360*time.Millisecond))
}

// Random variation of expert selections under constant demand must not count as a demand shift. A
// real shift must be detected within two observations.
func TestDemandShiftIsDistinguishedFromNoise(t *testing.T) {
	g := NewWithT(t)
	m := &serving.EngineModel{LayerSets: 1, Experts: 12}
	layouts := []expert.Layout{expert.InitialLayout(4, 12)}
	rng := rand.New(rand.NewPCG(4, 4))
	d := newDemand(12)
	now := time.Now()
	shifted := func(popular int) bool {
		counts := make([]float64, 12)
		for e := range counts {
			counts[e] = 1000 * (0.9 + 0.2*rng.Float64())
		}
		counts[popular] *= 8
		now = now.Add(100 * time.Millisecond)
		d.observe(now, counts)
		return d.detectShift(layouts, m)
	}
	for range 50 {
		g.Expect(shifted(0)).To(BeFalse())
	}
	layouts[0] = expert.Balance(layouts[0], d.loads(), expert.BalanceLimits{ExpertsPerRank: 4, MaxNewPerRank: 3, MaxSteps: 50})
	for range 50 {
		g.Expect(shifted(0)).To(BeFalse())
	}
	first, second := shifted(7), shifted(7)
	g.Expect(first || second).To(BeTrue())
}

// After a power loss the agents are up before the store. The group must have a leader and a map for
// its demand soon after the store is back, not only after the usual read interval.
func TestGroupIsLedSoonAfterStoreRecovery(t *testing.T) {
	g := NewWithT(t)
	group := newSimGroup(12, 4, 72, 5)
	var version uint64
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(group)
		f.storeDown.Store(true)
		f.start()
		time.Sleep(800 * time.Millisecond)
		f.storeDown.Store(false)
		time.Sleep(time.Second)
		group.mu.Lock()
		version = group.ranks[0].version
		group.mu.Unlock()
		f.stop()
	})
	g.Expect(version).NotTo(BeZero())
}

// A read of the store may be stale or lack most targets right after an outage. The group must keep
// its members until they have been missing for LapsedGrace.
func TestSingleStoreReadDoesNotEmptyAGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(newSimGroup(4, 1, 8, 1))
		a := f.agents[0]
		group := newGroup(a)
		group.refresh()
		g.Expect(group.members).To(HaveLen(4))
		a.opts.Store = simStore{ranks: 1}
		time.Sleep(maxReadInterval)
		group.refresh()
		g.Expect(group.members).To(HaveLen(4))
		time.Sleep(maxReadInterval)
		group.refresh()
		g.Expect(group.members).To(HaveLen(1))
	})
}

// A frozen leader holds a large group. The agent that recovers the group must leave the leader out
// of its tree: ranks below the leader would respond late while every stream is stalled.
func TestLargeGroupHeldByAFrozenLeaderResumesSoon(t *testing.T) {
	for seed := range uint64(4) {
		g := NewWithT(t)
		group := newSimGroup(48, 2, 96, seed)
		runGroup(t, group, 10*time.Second, func(f *simFleet) {
			time.Sleep(time.Second)
			group.shiftDemand()
			freezeLeaderInSwitch(group, func() { f.storeSlow.Store(true) })
		})
		g.Expect(group.mixedSteps).To(BeEmpty(), "seed %d", seed)
		g.Expect(group.longestStall).To(BeNumerically("<=", 360*time.Millisecond), "seed %d", seed)
	}
}
