package lockstep

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/peers"
)

// lagSeeds is the number of seeds of each case of agents that end. Larger series run by hand.
var lagSeeds = flag.Uint64("lag-seeds", 2, "seeds of each case of agents that end during a map switch")

var lagFirstSeed = flag.Uint64("lag-first-seed", 1, "first seed of the cases of agents that end during a map switch")

// simReportLag is the age of the reports that simulated engines give to other VMs.
const simReportLag = 200 * time.Millisecond

// agentEnd is an agent that ends at an order of a switch, counted from the hold.
type agentEnd struct {
	rank, order int
	stopped     bool // the agent is stopped, else killed
	absent      time.Duration
}

// drawAgentEnds draws one agent that ends, or two in turn. The leader is one of them half of the time.
func drawAgentEnds(rng *rand.Rand, ranks int) []agentEnd {
	var ends []agentEnd
	at := 0
	for range 1 + rng.IntN(2) {
		at += 1 + rng.IntN(2*ranks+4)
		end := agentEnd{order: at, stopped: rng.IntN(3) == 0, absent: time.Duration(20+rng.IntN(1200)) * time.Millisecond}
		if rng.IntN(2) == 0 {
			end.rank = rng.IntN(min(4, ranks))
		}
		ends = append(ends, end)
	}
	return ends
}

// endAgents ends agents at their orders of the next switch and of its recovery.
func (f *simFleet) endAgents(ends []agentEnd) {
	var held atomic.Bool
	var seen atomic.Int64
	hook := func(o *peers.RankOrder) {
		if o.Kind == peers.OrderHold {
			held.Store(true)
		}
		if !held.Load() {
			return
		}
		n := int(seen.Add(1))
		for _, e := range ends {
			if e.order == n && !f.isDown(e.rank) {
				f.tasks.Go(func() { f.endAgent(e) })
			}
		}
	}
	f.group.mu.Lock()
	f.group.onOrder = hook
	f.group.mu.Unlock()
}

func (f *simFleet) endAgent(e agentEnd) {
	if e.stopped {
		f.stopAgent(e.rank, e.absent)
		return
	}
	f.killAgent(e.rank, e.absent)
}

// An agent ended during a map switch, its rank's report of 200 ms before was taken for its present state,
// and the rank was left armed.
func TestAgentsThatEndDuringASwitchLeaveOneMap(t *testing.T) {
	for _, ranks := range []int{1, 2, 3, 4, 12} {
		t.Run(fmt.Sprintf("%d ranks", ranks), func(t *testing.T) {
			t.Parallel()
			for seed := *lagFirstSeed; seed < *lagFirstSeed+*lagSeeds; seed++ {
				g := NewWithT(t)
				group := newSimGroup(ranks, 2, 4*ranks, seed)
				group.reportLag = simReportLag
				rng := rand.New(rand.NewPCG(seed, uint64(ranks)))
				var before uint64
				runGroup(t, group, 60*time.Second, func(f *simFleet) {
					time.Sleep(2 * time.Second)
					for range 12 {
						group.shiftDemand()
						f.endAgents(drawAgentEnds(rng, ranks))
						time.Sleep(3 * time.Second)
					}
					group.mu.Lock()
					group.onOrder = nil
					before = group.ranks[0].version
					group.mu.Unlock()
					for range 4 { // the map in use may happen to fit a demand
						group.shiftDemand()
						time.Sleep(3 * time.Second)
					}
				})
				g.Expect(group.mixedSteps).To(BeEmpty(), "seed %d", seed)
				g.Expect(group.passes).To(BeNumerically(">", 1000), "seed %d", seed)
				if ranks > 1 {
					g.Expect(group.ranks[0].version).To(BeNumerically(">", before), "seed %d: the map does not follow demand any more", seed)
				}
			}
		})
	}
}

// A leader that was stopped in the middle of a switch left the group held until another agent found it.
func TestStoppedLeaderCarriesItsSwitchThrough(t *testing.T) {
	const ranks = 4
	for order := 1; order <= ranks+2; order++ {
		g := NewWithT(t)
		group := newSimGroup(ranks, 2, 4*ranks, 3)
		group.reportLag = simReportLag
		var armed, heldAt uint64
		runGroup(t, group, 10*time.Second, func(f *simFleet) {
			time.Sleep(2 * time.Second)
			f.endAgents([]agentEnd{{order: order, stopped: true, absent: 6 * time.Second}})
			for range 3 { // the map in use may happen to fit a demand
				group.shiftDemand()
				time.Sleep(500 * time.Millisecond)
			}
			group.mu.Lock()
			defer group.mu.Unlock()
			for _, r := range group.ranks {
				armed, heldAt = max(armed, r.armed), max(heldAt, r.heldAt)
			}
		})
		g.Expect(armed).To(BeZero(), "order %d", order)
		g.Expect(heldAt).To(BeZero(), "order %d", order)
		g.Expect(group.mixedSteps).To(BeEmpty(), "order %d", order)
		g.Expect(group.longestStall).To(BeNumerically("<=", 2*simPass), "order %d", order)
	}
}

// The absence of a version from an old report was taken for proof that the rank had given the map up.
func TestOnlyProofCountsAsVoided(t *testing.T) {
	held := time.Unix(1000, 0)
	const version = 5000
	for name, c := range map[string]struct {
		state  peers.RankState
		voided bool
	}{
		"prepared":                       {peers.RankState{AsOf: held, Prepared: version}, false},
		"armed":                          {peers.RankState{AsOf: held, Armed: version, Prepared: 2 * versionStride}, false},
		"in use":                         {peers.RankState{AsOf: held, Map: version}, false},
		"in use, a later one prepared":   {peers.RankState{AsOf: held, Map: version, Prepared: 9000}, false},
		"later one prepared":             {peers.RankState{AsOf: held, Prepared: 2 * versionStride}, true},
		"later one prepared, old report": {peers.RankState{Lagged: true, Prepared: 2 * versionStride}, true},
		"later one in use, old report":   {peers.RankState{Lagged: true, Map: 9000}, true},
		"earlier one prepared":           {peers.RankState{AsOf: held, Prepared: 4097}, false},
		"armed for an earlier one":       {peers.RankState{AsOf: held, Armed: 4097}, false},
		"nothing prepared":               {peers.RankState{AsOf: held}, true},
		"nothing prepared, old report":   {peers.RankState{AsOf: held, Lagged: true}, false},
		"nothing prepared, read before":  {peers.RankState{AsOf: held.Add(-time.Millisecond)}, false},
	} {
		h := &hold{heldAt: held}
		NewWithT(t).Expect(h.isVoided(&c.state, version)).To(Equal(c.voided), name)
	}
}
