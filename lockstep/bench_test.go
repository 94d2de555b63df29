package lockstep

import (
	"math/rand/v2"
	"testing"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/serving"
)

// BenchmarkPlan measures planning after a shift in demand, for groups of 12, 63 and 129 ranks.
func BenchmarkPlan(b *testing.B) {
	for name, m := range map[string]struct {
		ranks int
		model serving.EngineModel
	}{
		"12":  {12, serving.EngineModel{LayerSets: 4, Experts: 72, ExpertsPerRank: 8, SpareExperts: 3, ExpertBytes: 2.2e9, CopyRate: 2.25e10}},
		"129": {129, serving.EngineModel{LayerSets: 16, Experts: 258, ExpertsPerRank: 3, SpareExperts: 2, ExpertBytes: 1.5e8, CopyRate: 2.25e10}},
		"63":  {63, serving.EngineModel{LayerSets: 8, Experts: 252, ExpertsPerRank: 5, SpareExperts: 2, ExpertBytes: 3.2e8, CopyRate: 2.25e10}},
	} {
		b.Run(name, func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			draw := func() []float64 {
				loads := make([]float64, 0, m.model.LayerSets*m.model.Experts)
				for range m.model.LayerSets {
					own := make([]float64, m.model.Experts)
					for i, e := range rng.Perm(m.model.Experts) {
						own[e] = 1 / float64(i+1)
					}
					loads = append(loads, own...)
				}
				return loads
			}
			var layouts []expert.Layout
			for range m.model.LayerSets {
				layouts = append(layouts, expert.InitialLayout(m.ranks, m.model.Experts))
			}
			pl := planner{model: &m.model, urgency: 0.8, switchCosts: newSwitchCosts(), meanStreams: busyStreams}
			p := pl.best(layouts, draw())
			for b.Loop() {
				p = pl.best(p.layouts, draw())
			}
		})
	}
}
