package lockstep

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/serving"
)

// busyStreams is the number of streams per rank at the usual load.
const busyStreams = 8

func planModel() *serving.EngineModel {
	return &serving.EngineModel{LayerSets: 4, Experts: 72, ExpertsPerRank: 8, SpareExperts: 3, ExpertBytes: 3.2e8, CopyRate: 2.25e10}
}

// randomLoads returns random expert loads and the initial map of 12 ranks.
func randomLoads(m *serving.EngineModel, rng *rand.Rand) (loads []float64, layouts []expert.Layout) {
	for range m.LayerSets {
		own := make([]float64, m.Experts)
		for i, e := range rng.Perm(m.Experts) {
			own[e] = 1 / float64(i+8)
		}
		loads = append(loads, own...)
		layouts = append(layouts, expert.InitialLayout(12, m.Experts))
	}
	return loads, layouts
}

// withNoise returns loads with random noise, as in two measurements of the same demand.
func withNoise(loads []float64, deviation float64, rng *rand.Rand) []float64 {
	other := make([]float64, len(loads))
	for e, n := range loads {
		other[e] = n * (1 + deviation*rng.NormFloat64())
	}
	return other
}

// Each measurement of constant demand differs by chance. Each switch pauses every stream, so a planner
// that follows random variation would pause streams several times a second for no better map.
func TestRandomVariationCausesFewSwitches(t *testing.T) {
	g := NewWithT(t)
	m := planModel()
	rng := rand.New(rand.NewPCG(3, 1))
	loads, layouts := randomLoads(m, rng)
	pl := planner{model: m, urgency: 0.5, switchCosts: newSwitchCosts(), meanStreams: busyStreams}
	for range 3 {
		layouts = pl.best(layouts, loads).layouts
	}
	switches := 0
	for range 40 {
		if p := pl.best(layouts, withNoise(loads, 0.06, rng)); p.copies > 0 {
			switches++
			layouts = p.layouts
		}
	}
	g.Expect(switches).To(BeNumerically("<=", 4), "in 40 plans")
}

// While a map is copied, the leader waits for all ranks to have it. If the leader kept the usual round
// interval and collected counts, the switch would be later and passes would stay slow for longer.
func TestRoundsAreShortWhileAMapIsCopied(t *testing.T) {
	g := NewWithT(t)
	l := new(leader)
	g.Expect(l.wantsCounts()).To(BeTrue())
	g.Expect(l.roundDelay()).To(Equal(roundInterval))
	l.pending = &pendingMap{copyTime: 20 * time.Millisecond, orderedAt: time.Now()}
	g.Expect(l.wantsCounts()).To(BeFalse())
	g.Expect(l.roundDelay()).To(BeNumerically("<=", 20*time.Millisecond))
	l.pending.orderedAt = time.Now().Add(-prepareSlack - time.Second)
	g.Expect(l.wantsCounts()).To(BeTrue(), "orders may be lost, and demand may have shifted again")
	g.Expect(l.roundDelay()).To(Equal(pendingInterval))
}

// While a machine is overloaded, switches take seconds and no plan is worth its delay. As no switch
// follows that could correct the estimate, it must decay by itself, or the group would keep its map
// after the machine has recovered.
func TestPlansAreMadeAgainAfterSlowSwitches(t *testing.T) {
	g := NewWithT(t)
	m := planModel()
	loads, layouts := randomLoads(m, rand.New(rand.NewPCG(8, 1)))
	now := time.Now()
	costs := newSwitchCosts()
	for range 20 {
		now = now.Add(prepareTimeout)
		costs.observe(prepareTimeout, time.Second, now)
	}
	copies := func(at time.Time) int {
		pl := planner{model: m, urgency: 1, switchCosts: costs.at(at), meanStreams: busyStreams}
		return pl.best(layouts, loads).copies
	}
	g.Expect(copies(now)).To(BeZero(), "each switch has taken longer than a plan is useful")
	g.Expect(copies(now.Add(4 * switchCostHalfLife))).To(BeNumerically(">", 0))
}

// With rounds every 60 ms and passes of 48 ms, one or two passes begin per round. Measured over single
// rounds, passes would seem to take 60 and 30 ms in turn, and plans would alternate with them.
func TestPassTimeIsSmoothedOverRounds(t *testing.T) {
	g := NewWithT(t)
	const pass = 48 * time.Millisecond
	var m passMeter
	start := time.Now()
	for round := range 60 {
		at := time.Duration(round) * roundInterval
		m.observe(uint64(at/pass), start.Add(at))
		if round > 10 {
			g.Expect(m.mean).To(BeNumerically("~", pass, pass/5), "round %d", round)
		}
	}
}

// With passes at two fifths of the event-gap objective, a better map gets no further response on time
// and costs gigabytes of copies. With passes near the objective the same small shift is worth a switch.
func TestLowUrgencyGroupIgnoresSmallShift(t *testing.T) {
	g := NewWithT(t)
	m := planModel()
	m.ExpertBytes = 2.2e9
	rng := rand.New(rand.NewPCG(8, 1))
	loads, layouts := randomLoads(m, rng)
	busy := planner{model: m, urgency: 1, switchCosts: newSwitchCosts(), meanStreams: busyStreams}
	for range 5 {
		layouts = busy.best(layouts, loads).layouts
	}
	shifted := withNoise(loads, 0.25, rng)
	before := imbalance(layouts, shifted, nil, m)
	g.Expect(before).To(And(BeNumerically(">", 1.15), BeNumerically("<", largeImbalance)), "the shift is small")
	g.Expect(busy.best(layouts, shifted).copies).To(BeNumerically(">", 0))
	lowUrgency := planner{model: m, urgency: 0.4, switchCosts: newSwitchCosts(), meanStreams: busyStreams}
	g.Expect(lowUrgency.best(layouts, shifted).copies).To(BeZero())
}

// A group with hardly any streams stays within its objective on any map, so copying weights
// improves no response. With a few streams on each rank the same shift is worth a switch.
func TestIdleGroupDoesNotCopyMaps(t *testing.T) {
	g := NewWithT(t)
	m := planModel()
	rng := rand.New(rand.NewPCG(8, 1))
	loads, layouts := randomLoads(m, rng)
	g.Expect(imbalance(layouts, loads, nil, m)).To(BeNumerically(">", 1.2))
	pl := planner{model: m, urgency: 0.4, switchCosts: newSwitchCosts(), meanStreams: 0.3}
	g.Expect(pl.best(layouts, loads).copies).To(BeZero())
	pl.meanStreams = 4
	g.Expect(pl.best(layouts, loads).copies).To(BeNumerically(">", 0))
}

// zipfLoads returns loads of two sets of 24 experts that fall with the rank of the expert, beginning at
// the expert first.
func zipfLoads(first int) []float64 {
	const sets, experts = 2, 24
	loads := make([]float64, sets*experts)
	for i := range loads {
		loads[i] = 1 / float64(1+(i+experts-first)%experts)
	}
	return loads
}

// The first plans after a shift use means that still contain the earlier demand. Some of these plans
// leave one rank with nothing but the most popular expert, which the next plans could not share:
// half of it made any other rank the busiest. The group then kept an imbalance of up to 1.59 until
// demand shifted again.
func TestPlansForMixedDemandLeadToABalancedMap(t *testing.T) {
	m := &serving.EngineModel{LayerSets: 2, Experts: 24, ExpertsPerRank: 6, SpareExperts: 6, ExpertBytes: 3e8, CopyRate: 2.25e10}
	earlier, current := zipfLoads(0), zipfLoads(16)
	pl := planner{model: m, urgency: 0.3, switchCosts: newSwitchCosts(), meanStreams: 1.33}
	for firstShare := 0.4; firstShare < 0.45; firstShare += 0.001 {
		g := NewWithT(t)
		layouts := []expert.Layout{expert.InitialLayout(6, 24), expert.InitialLayout(6, 24)}
		for range 3 {
			layouts = pl.best(layouts, earlier).layouts
		}
		for share := firstShare; share < 0.99; share += 0.35 * (1 - share) {
			mixed := make([]float64, len(current))
			for e := range mixed {
				mixed[e] = share*current[e] + (1-share)*earlier[e]
			}
			layouts = pl.best(layouts, mixed).layouts
		}
		for range 8 {
			layouts = pl.best(layouts, current).layouts
		}
		g.Expect(imbalance(layouts, current, nil, m)).To(BeNumerically("<", 1.3), "share of the current demand in the first plan %.3f", firstShare)
	}
}
