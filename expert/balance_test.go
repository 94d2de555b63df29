package expert_test

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/expert"
)

// skewedLoads draws loads of which a few experts have most, as model engines show.
func skewedLoads(rng *rand.Rand, experts int) []float64 {
	loads := make([]float64, experts)
	for i, e := range rng.Perm(experts) {
		loads[e] = 1/math.Pow(float64(i+1), 1.1) + 0.01*rng.Float64()
	}
	return loads
}

// The busiest rank makes all others wait in each pass. From the layout that
// engines start with, some steps of at most three new experts a rank must bring
// it near the mean, with every expert still held and no rank over its places.
func TestBalanceBringsTheBusiestRankNearTheMean(t *testing.T) {
	g := NewWithT(t)
	shapes := []struct{ ranks, experts, places, fresh int }{{12, 72, 8, 3}, {63, 252, 5, 2}}
	for _, s := range shapes {
		for seed := range uint64(5) {
			rng := rand.New(rand.NewPCG(seed, 1))
			loads := skewedLoads(rng, s.experts)
			layout := expert.InitialLayout(s.ranks, s.experts)
			start, mean := layout.MaxAndMeanTime(loads, nil)
			lim := expert.BalanceLimits{ExpertsPerRank: s.places, MaxNewPerRank: s.fresh, MaxSteps: 200}
			for range 4 {
				next := expert.Balance(layout, loads, lim)
				checkLayout(g, layout, next, s.experts, s.places, s.fresh)
				layout = next
			}
			end, _ := layout.MaxAndMeanTime(loads, nil)
			t.Logf("%d ranks, seed %d: %.2f to %.2f of the mean", s.ranks, seed, start/mean, end/mean)
			g.Expect(end/mean).To(BeNumerically("<", 1.35), "%d ranks, seed %d: from %.2f", s.ranks, seed, start/mean)
		}
	}
}

func checkLayout(g *WithT, before, after expert.Layout, experts, places, fresh int) {
	g.THelper()
	held := make([]int, experts)
	for r, list := range after {
		g.Expect(len(list)).To(BeNumerically("<=", places))
		seen := make(map[uint16]bool)
		for _, e := range before[r] {
			seen[e] = true
		}
		added := 0
		own := make(map[uint16]bool)
		for _, e := range list {
			held[e]++
			g.Expect(own[e]).To(BeFalse(), "rank %d holds expert %d twice", r, e)
			own[e] = true
			if !seen[e] {
				added++
			}
		}
		g.Expect(added).To(BeNumerically("<=", fresh))
	}
	for e, n := range held {
		g.Expect(n).To(BeNumerically(">", 0), "no rank holds expert %d", e)
	}
}

// One rank has become eight times as slow, and all others wait for it in each
// pass. The experts that it holds must go to others: what it keeps is held
// elsewhere too, or little wanted.
func TestBalanceTakesWorkOffASlowRank(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 1))
	loads := skewedLoads(rng, 72)
	pace := make([]float64, 12)
	for r := range pace {
		pace[r] = 1
	}
	pace[4] = 8
	layout := expert.InitialLayout(12, 72)
	start, mean := layout.MaxAndMeanTime(loads, pace)
	for range 5 {
		next := expert.Balance(layout, loads, expert.BalanceLimits{ExpertsPerRank: 8, MaxNewPerRank: 3, MaxSteps: 100, Slowdown: pace})
		checkLayout(g, layout, next, 72, 8, 3)
		layout = next
	}
	end, _ := layout.MaxAndMeanTime(loads, pace)
	g.Expect(end/mean).To(BeNumerically("<", 1.5), "from %.2f", start/mean)
}

// Demand that all experts share evenly needs no copies: a change would cost
// transfers and gain nothing.
func TestBalanceLeavesEvenLoadsAlone(t *testing.T) {
	g := NewWithT(t)
	loads := make([]float64, 72)
	for e := range loads {
		loads[e] = 1
	}
	layout := expert.InitialLayout(12, 72)
	next := expert.Balance(layout, loads, expert.BalanceLimits{ExpertsPerRank: 8, MaxNewPerRank: 3, MaxSteps: 200, PricePerCopy: 0.01})
	g.Expect(next).To(Equal(layout))
}

func BenchmarkBalance(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	loads := skewedLoads(rng, 252)
	layout := expert.InitialLayout(63, 252)
	for b.Loop() {
		expert.Balance(layout, loads, expert.BalanceLimits{ExpertsPerRank: 5, MaxNewPerRank: 2, MaxSteps: 100})
	}
}
