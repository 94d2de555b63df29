package lockstep

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// largeGroupRanks is the size of the largest group in use. Tests of this size use small VMs with a
// quarter of a core and a link of 6 Mbit/s.
const largeGroupRanks = 129

// Parameters of the large group.
const (
	largeGroupSets    = 16
	largeGroupExperts = 258
	// maxSwitchDelay bounds the time from a shift in demand to the switch. Until the switch all
	// passes take three times as long, and after half a second responses are late.
	maxSwitchDelay = 500 * time.Millisecond
)

// timeToSwitch waits until a group switches to another map and returns the time from the call to
// the switch.
func timeToSwitch(g *simGroup) time.Duration {
	version := func() uint64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.ranks[0].version
	}
	before, start := version(), time.Now()
	for version() == before && time.Since(start) < 5*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// Guards against a leader that polls each rank itself and sends full maps. On small VMs its link and CPU
// are then saturated, agents seem lost, and maps follow a shift in demand after a second or never.
func TestAVeryLargeGroupFollowsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := newSimGroup(largeGroupRanks, largeGroupSets, largeGroupExperts, 5)
		f := newFleet(group)
		f.smallVMs = true
		f.start()
		time.Sleep(2 * time.Second)
		var delays []time.Duration
		for range 3 {
			group.shiftDemand()
			delays = append(delays, timeToSwitch(group))
			time.Sleep(time.Second)
		}
		f.stop()
		g.Expect(group.mixedSteps).To(BeEmpty())
		t.Log(delays)
		g.Expect(delays).To(HaveEach(BeNumerically("<", maxSwitchDelay)))
	})
}

// Agents inside a tree of three levels freeze during switches, so relayed orders arrive late or never,
// and engines execute some orders late. No pass may begin with two maps, and passes must continue.
func TestFrozenTreeAgentsNeverMixMaps(t *testing.T) {
	const ranks = 60
	for seed := range uint64(4) {
		g := NewWithT(t)
		group := newSimGroup(ranks, 1, 2*ranks, seed)
		group.unansweredShare, group.lateOrders = 0.1, true
		rng := rand.New(rand.NewPCG(seed, 9))
		runGroup(t, group, 16*time.Second, func(*simFleet) {
			for range 4 {
				group.shiftDemand()
				time.Sleep(time.Duration(300+rng.IntN(400)) * time.Millisecond)
				for range 3 {
					group.ranks[rng.IntN(ranks)].vm.freeze()
					time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
				}
				time.Sleep(2 * time.Second)
				for _, r := range group.ranks {
					r.vm.unfreeze()
				}
				time.Sleep(time.Second)
			}
		})
		g.Expect(group.mixedSteps).To(BeEmpty(), "seed %d", seed)
		g.Expect(group.passes).To(BeNumerically(">", 150), "seed %d", seed)
		g.Expect(group.ranks[0].version).NotTo(BeZero(), "seed %d", seed)
	}
}
