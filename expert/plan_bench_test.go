package expert

import (
	"math"
	"math/rand/v2"
	"testing"
)

func newUnevenInput(s Shape, seed uint64) *PlanInput {
	rng := rand.New(rand.NewPCG(seed, 1))
	in := &PlanInput{Map: InitialMap(s), ExpertBytes: 24e6, GainLifeSeconds: 1800, StoreBytesPerSecond: 2e9, CostWeights: CostWeights{Skew: 1, Move: 1}}
	for range s.Layers {
		for _, e := range rng.Perm(s.Experts) {
			in.Loads = append(in.Loads, math.Pow(float64(e+1), -0.6))
		}
	}
	return in
}

func BenchmarkPlan64x128(b *testing.B) {
	in := newUnevenInput(Shape{Ranks: 64, Layers: 48, Experts: 128, SlotsOfRank: 3}, 1)
	in.StoreBytesPerSecond = 0
	var p Planner
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Plan(in); err != nil {
			b.Fatal(err)
		}
	}
}
