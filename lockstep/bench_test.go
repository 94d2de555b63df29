package lockstep

import (
	"math/rand/v2"
	"testing"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/serving"
)

// BenchmarkPlan measures the choice of a map after demand has moved, for a group of
// twelve ranks and one of 63.
func BenchmarkPlan(b *testing.B) {
	for name, m := range map[string]struct {
		ranks int
		model serving.EngineModel
	}{
		"12":  {12, serving.EngineModel{Sets: 4, Experts: 72, Places: 8, Spare: 3, ExpertBytes: 2.2e9, LinkRate: 2.25e10}},
		"129": {129, serving.EngineModel{Sets: 16, Experts: 258, Places: 3, Spare: 2, ExpertBytes: 1.5e8, LinkRate: 2.25e10}},
		"63":  {63, serving.EngineModel{Sets: 8, Experts: 252, Places: 5, Spare: 2, ExpertBytes: 3.2e8, LinkRate: 2.25e10}},
	} {
		b.Run(name, func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			draw := func() []float64 {
				loads := make([]float64, 0, m.model.Sets*m.model.Experts)
				for range m.model.Sets {
					own := make([]float64, m.model.Experts)
					for i, e := range rng.Perm(m.model.Experts) {
						own[e] = 1 / float64(i+1)
					}
					loads = append(loads, own...)
				}
				return loads
			}
			var layouts []expert.Layout
			for range m.model.Sets {
				layouts = append(layouts, expert.FirstLayout(m.ranks, m.model.Experts))
			}
			pl := planner{model: &m.model, urgency: 0.8, costs: newSwitchMeter(), streams: fullStreams}
			p := pl.best(layouts, draw())
			for b.Loop() {
				p = pl.best(p.layouts, draw())
			}
		})
	}
}
