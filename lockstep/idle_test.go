package lockstep

import (
	"flag"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/peers"
)

// idleSeeds is the number of seeds of each kind of trouble. Larger series run by hand.
var idleSeeds = flag.Uint64("idle-seeds", 2, "seeds of each case of idle groups")

var idleFirstSeed = flag.Uint64("idle-first-seed", 1, "first seed of the cases of idle groups")

// setIdle lets the group have requests or none.
func (g *simGroup) setIdle(idle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle = idle
}

// idleCase is a kind of trouble that meets map switches of idle groups.
type idleCase struct {
	name    string
	ranks   int
	late    float64 // share of orders that are carried out 2 to 12 s later
	freezes bool    // VMs freeze
	cuts    bool    // VMs are cut off, with or without their engines
	kills   bool    // agents end and start again
	busy    bool    // the group always has requests
}

var idleCases = []idleCase{
	{name: "one rank", ranks: 1, late: 0.35, freezes: true, cuts: true},
	{name: "two ranks, late orders", ranks: 2, late: 0.35},
	{name: "two ranks, cuts and freezes", ranks: 2, late: 0.2, freezes: true, cuts: true},
	{name: "three ranks, late orders", ranks: 3, late: 0.35},
	{name: "three ranks, cuts and freezes", ranks: 3, late: 0.2, freezes: true, cuts: true},
	{name: "four ranks, cuts", ranks: 4, cuts: true},
	{name: "cuts", ranks: 12, cuts: true},
	{name: "freezes", ranks: 12, freezes: true},
	{name: "late orders", ranks: 12, late: 0.35},
	{name: "late orders and freezes", ranks: 12, late: 0.35, freezes: true},
	{name: "late orders and cuts", ranks: 12, late: 0.35, cuts: true},
	{name: "late orders and kills", ranks: 12, late: 0.35, kills: true},
	{name: "cuts and kills", ranks: 12, cuts: true, kills: true},
	{name: "three ranks, all", ranks: 3, late: 0.2, cuts: true, freezes: true, kills: true},
	{name: "all", ranks: 12, late: 0.2, cuts: true, freezes: true, kills: true},
	{name: "all, with requests", ranks: 12, late: 0.2, cuts: true, freezes: true, kills: true, busy: true},
	{name: "all, along a tree", ranks: maxDirectRanks + 4, late: 0.1, cuts: true, freezes: true, kills: true},
}

// troubleAtOrder makes trouble at the n-th order of a switch from now on, n counted from the hold.
func (c *idleCase) troubleAtOrder(f *simFleet, rng *rand.Rand, n int) {
	var held atomic.Bool
	left := int64(n)
	group := f.group
	vms := []*simVM{group.ranks[0].vm}
	for range rng.IntN(3) {
		vms = append(vms, group.ranks[rng.IntN(len(group.ranks))].vm)
	}
	var killed []int
	for range 2 {
		if c.kills && rng.IntN(2) == 0 {
			killed = append(killed, rng.IntN(min(3, c.ranks)))
		}
	}
	durations := []time.Duration{}
	for range vms {
		durations = append(durations, time.Duration(300+rng.IntN(5700))*time.Millisecond)
	}
	cut, reachable := c.cuts && (!c.freezes || rng.IntN(2) == 0), rng.IntN(2) == 0
	hook := func(o *peers.RankOrder) {
		if o.Kind == peers.OrderHold {
			held.Store(true)
		}
		if !held.Load() || o.Kind == peers.OrderPrepare || atomic.AddInt64(&left, -1) != 0 {
			return
		}
		for i, vm := range vms {
			switch {
			case cut:
				go vm.cut(durations[i], reachable)
			case c.freezes:
				vm.freeze()
				time.AfterFunc(durations[i], vm.unfreeze)
			}
		}
		for _, r := range killed {
			f.tasks.Go(func() {
				group.ranks[r].vm.waitUntilThawed()
				f.restartAgent(r)
			})
		}
	}
	group.mu.Lock()
	group.onOrder = hook
	group.mu.Unlock()
}

// run lets a group be busy and idle by turns. It then ends the trouble and shifts the
// demand, and returns the version of the map before these shifts.
func (c *idleCase) run(t *testing.T, seed uint64) (group *simGroup, before uint64) {
	group = newSimGroup(c.ranks, 2, 4*c.ranks, seed)
	group.unansweredShare, group.lateOrders = c.late, true
	rng := rand.New(rand.NewPCG(seed, 99))
	group.holdReplaces = rng.IntN(2) == 0
	runGroup(t, group, 120*time.Second, func(f *simFleet) {
		for range 10 {
			group.setIdle(false)
			time.Sleep(time.Duration(300+rng.IntN(700)) * time.Millisecond)
			group.shiftDemand()
			c.troubleAtOrder(f, rng, 1+rng.IntN(3*c.ranks+6))
			time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			group.setIdle(!c.busy)
			time.Sleep(time.Duration(300+rng.IntN(5000)) * time.Millisecond)
		}
		group.setIdle(false)
		group.mu.Lock()
		group.unansweredShare, group.onOrder = 0, nil
		group.mu.Unlock()
		time.Sleep(20 * time.Second) // the last late orders and cuts have ended
		group.mu.Lock()
		before = group.ranks[0].version
		group.mu.Unlock()
		for range 3 { // the map in use may happen to fit a demand
			group.shiftDemand()
			time.Sleep(3 * time.Second)
		}
	})
	return group, before
}

// A switch that was taken back, or its late orders, went on in a group that began no passes meanwhile.
func TestIdleGroupsNeverMixMaps(t *testing.T) {
	for _, c := range idleCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := *idleFirstSeed; seed < *idleFirstSeed+*idleSeeds; seed++ {
				g := NewWithT(t)
				group, before := c.run(t, seed)
				g.Expect(group.mixedSteps).To(BeEmpty(), "seed %d", seed)
				g.Expect(group.passes).To(BeNumerically(">", 1000), "seed %d", seed)
				if c.ranks > 1 {
					g.Expect(group.ranks[0].version).To(BeNumerically(">", before), "seed %d: the map does not follow demand any more", seed)
				}
			}
		})
	}
}

// A group that used two maps went on so for good, as its leader planned nothing while ranks differed.
func TestGroupWithTwoMapsIsRepaired(t *testing.T) {
	for _, idle := range []bool{false, true} {
		g := NewWithT(t)
		group := newSimGroup(12, 2, 48, 3)
		var mixedAfter, passesAfter int
		runGroup(t, group, 20*time.Second, func(*simFleet) {
			time.Sleep(5 * time.Second)
			group.mixRanks(3)
			group.setIdle(idle)
			time.Sleep(time.Second)
			group.setIdle(false)
			time.Sleep(500 * time.Millisecond)
			group.mu.Lock()
			mixedAfter, passesAfter = len(group.mixedSteps), group.passes
			group.mu.Unlock()
		})
		g.Expect(group.mixedSteps).To(HaveLen(mixedAfter), "mixed passes later than 1.5 s")
		g.Expect(group.passes).To(BeNumerically(">", passesAfter+200))
		g.Expect(group.hasAllExperts()).To(BeTrue())
	}
}

// mixRanks gives some ranks another map, in which two experts of each have changed places.
func (g *simGroup) mixRanks(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for r := 1; r <= n; r++ {
		a, b := g.ranks[r], g.ranks[r+n]
		for set := range a.lists {
			a.lists[set], b.lists[set] = slices.Clone(a.lists[set]), slices.Clone(b.lists[set])
			a.lists[set][0] = b.lists[set][0]
		}
		a.version, a.highest, a.prepared, a.armed = a.highest+7, a.highest+7, 0, 0
	}
}

// hasAllExperts reports whether all ranks use one map, in which each expert has a rank.
func (g *simGroup) hasAllExperts() bool {
	for set := range g.sets {
		held := make(map[uint16]bool)
		for _, r := range g.ranks {
			for _, e := range r.lists[set] {
				held[e] = true
			}
		}
		if len(held) != g.experts {
			return false
		}
	}
	return !slices.ContainsFunc(g.ranks, func(r *simRank) bool { return r.version != g.ranks[0].version })
}

// The leader's VM was cut off with its first arm order, the others took the switch back, and it went on with it when it was back.
func TestLeaderThatWasCutOffDoesNotGoOnWithItsSwitch(t *testing.T) {
	for seed := range uint64(8) {
		g := NewWithT(t)
		group := newSimGroup(12, 4, 72, seed)
		var wasCut atomic.Bool
		runGroup(t, group, 12*time.Second, func(f *simFleet) {
			time.Sleep(2 * time.Second)
			group.mu.Lock()
			group.onOrder = func(o *peers.RankOrder) {
				switch {
				case o.Kind == peers.OrderHold:
					group.setIdle(true)
				case o.Kind == peers.OrderArm && wasCut.CompareAndSwap(false, true):
					f.tasks.Go(func() { group.ranks[0].vm.cut(1200*time.Millisecond, false) })
				}
			}
			group.mu.Unlock()
			group.shiftDemand()
			time.Sleep(4 * time.Second)
			group.mu.Lock()
			group.onOrder = nil
			group.mu.Unlock()
			group.setIdle(false)
		})
		g.Expect(wasCut.Load()).To(BeTrue(), "seed %d", seed)
		g.Expect(group.mixedSteps).To(BeEmpty(), "seed %d", seed)
	}
}
