package expert_test

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/expert"
)

// skewedLoads returns random loads of which a few experts have most, as model engines have them.
func skewedLoads(rng *rand.Rand, experts int) []float64 {
	loads := make([]float64, experts)
	for i, e := range rng.Perm(experts) {
		loads[e] = 1/math.Pow(float64(i+1), 1.1) + 0.01*rng.Float64()
	}
	return loads
}

// All ranks wait for the busiest one in each pass. A few changes from the initial layout must bring
// it near the mean without dropping an expert or exceeding a limit.
func TestBalanceBringsTheBusiestRankNearTheMean(t *testing.T) {
	g := NewWithT(t)
	shapes := []struct{ ranks, experts, maxExperts, maxNew int }{{12, 72, 8, 3}, {63, 252, 5, 2}}
	for _, s := range shapes {
		for seed := range uint64(5) {
			rng := rand.New(rand.NewPCG(seed, 1))
			loads := skewedLoads(rng, s.experts)
			layout := expert.InitialLayout(s.ranks, s.experts)
			before, mean := layout.MaxAndMeanTime(loads, nil)
			lim := expert.BalanceLimits{ExpertsPerRank: s.maxExperts, MaxNewPerRank: s.maxNew, MaxSteps: 200}
			for range 4 {
				next := expert.Balance(layout, loads, lim)
				checkLayout(g, layout, next, s.experts, s.maxExperts, s.maxNew)
				layout = next
			}
			after, _ := layout.MaxAndMeanTime(loads, nil)
			t.Logf("%d ranks, seed %d: %.2f to %.2f of the mean", s.ranks, seed, before/mean, after/mean)
			g.Expect(after/mean).To(BeNumerically("<", 1.35), "%d ranks, seed %d: from %.2f", s.ranks, seed, before/mean)
		}
	}
}

func checkLayout(g *WithT, before, after expert.Layout, experts, maxExperts, maxNew int) {
	g.THelper()
	copies := make([]int, experts)
	for r, list := range after {
		g.Expect(len(list)).To(BeNumerically("<=", maxExperts))
		previousExperts := make(map[uint16]bool)
		for _, e := range before[r] {
			previousExperts[e] = true
		}
		added := 0
		hasExpert := make(map[uint16]bool)
		for _, e := range list {
			copies[e]++
			g.Expect(hasExpert[e]).To(BeFalse(), "rank %d holds expert %d twice", r, e)
			hasExpert[e] = true
			if !previousExperts[e] {
				added++
			}
		}
		g.Expect(added).To(BeNumerically("<=", maxNew))
	}
	for e, n := range copies {
		g.Expect(n).To(BeNumerically(">", 0), "no rank holds expert %d", e)
	}
}

// One rank has become eight times as slow, so all others wait for it. Its experts must go to other
// ranks; those it keeps must have copies elsewhere or hardly any load.
func TestBalanceTakesLoadOffASlowRank(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 1))
	loads := skewedLoads(rng, 72)
	slowdown := make([]float64, 12)
	for r := range slowdown {
		slowdown[r] = 1
	}
	slowdown[4] = 8
	layout := expert.InitialLayout(12, 72)
	before, mean := layout.MaxAndMeanTime(loads, slowdown)
	for range 5 {
		next := expert.Balance(layout, loads, expert.BalanceLimits{ExpertsPerRank: 8, MaxNewPerRank: 3, MaxSteps: 100, Slowdown: slowdown})
		checkLayout(g, layout, next, 72, 8, 3)
		layout = next
	}
	after, _ := layout.MaxAndMeanTime(loads, slowdown)
	g.Expect(after/mean).To(BeNumerically("<", 1.5), "from %.2f", before/mean)
}

// With equal loads, a change would cost transfers and gain nothing.
func TestBalanceKeepsTheLayoutUnderEqualLoads(t *testing.T) {
	g := NewWithT(t)
	loads := make([]float64, 72)
	for e := range loads {
		loads[e] = 1
	}
	layout := expert.InitialLayout(12, 72)
	next := expert.Balance(layout, loads, expert.BalanceLimits{ExpertsPerRank: 8, MaxNewPerRank: 3, MaxSteps: 200, PricePerCopy: 0.01})
	g.Expect(next).To(Equal(layout))
}

// One rank holds nothing but the most popular expert and is the busiest. Half of this expert's load
// makes any other rank the busiest, unless that rank passes an expert on to the first in exchange. A
// search without this exchange keeps the layout however long the demand lasts.
func TestBalanceSharesAnExpertThatFillsARank(t *testing.T) {
	g := NewWithT(t)
	const experts, maxExperts, popular = 24, 6, 16
	layout := expert.Layout{
		{0, 6, 12, 18, 22}, {1, 13, 19, 23, 22}, {2, 8, 14, 20, 10, 4}, {3, 9, 15, 21, 7, 5}, {popular}, {11, 17, 0},
	}
	loads := make([]float64, experts)
	for e := range loads {
		loads[e] = 1 / float64(1+(e+experts-popular)%experts)
	}
	before, mean := layout.MaxAndMeanTime(loads, nil)
	g.Expect(before / mean).To(BeNumerically(">", 1.5))
	next := expert.Balance(layout, loads, expert.BalanceLimits{ExpertsPerRank: maxExperts, MaxNewPerRank: 3, MaxSteps: 60, PricePerCopy: 0.3})
	checkLayout(g, layout, next, experts, maxExperts, 3)
	after, _ := next.MaxAndMeanTime(loads, nil)
	g.Expect(after/mean).To(BeNumerically("<", 1.2), "from %.2f", before/mean)
}

func BenchmarkBalance(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	loads := skewedLoads(rng, 252)
	layout := expert.InitialLayout(63, 252)
	for b.Loop() {
		expert.Balance(layout, loads, expert.BalanceLimits{ExpertsPerRank: 5, MaxNewPerRank: 2, MaxSteps: 100})
	}
}
