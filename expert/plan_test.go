package expert

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func drawInput(t *rapid.T) *PlanInput {
	s := Shape{
		Ranks:       rapid.IntRange(2, 6).Draw(t, "ranks"),
		Layers:      rapid.IntRange(1, 3).Draw(t, "layers"),
		SlotsOfRank: rapid.IntRange(1, 4).Draw(t, "slots"),
	}
	s.Experts = rapid.IntRange(s.SlotsOfRank, s.Slots()).Draw(t, "experts")
	loads := rapid.SliceOfN(rapid.Float64Range(0, 100), s.Layers*s.Experts, s.Layers*s.Experts).Draw(t, "loads")
	speeds := rapid.SliceOfN(rapid.Float64Range(0.5, 1), s.Ranks, s.Ranks).Draw(t, "speeds")
	return &PlanInput{
		Map: InitialMap(s), Loads: loads, RankSpeeds: speeds, ExpertBytes: 24e6, StoreBytesPerSecond: 1e9, GainLifeSeconds: 600,
		CostWeights: CostWeights{Skew: rapid.Float64Range(0, 10).Draw(t, "skew weight"), Move: rapid.Float64Range(0, 10).Draw(t, "move weight")},
		Limits:      PlanLimits{MaxBytes: rapid.Float64Range(1e6, 1e10).Draw(t, "bytes"), MaxMovesPerRank: rapid.IntRange(0, 3).Draw(t, "moves")},
	}
}

// A plan must be deterministic, contain every expert, stay within its limits and gain more time
// than its moves cost.
func TestPlansAreWholeBoundedAndPay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		in := drawInput(t)
		var p, again Planner
		plan, err := p.Plan(in)
		g.Expect(err).NotTo(HaveOccurred())
		repeat, err := again.Plan(in)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(repeat).To(Equal(plan), "the same input gives the same plan")
		if plan.Map == nil {
			g.Expect(plan.SkewAfter).To(Equal(plan.SkewBefore))
			return
		}
		g.Expect(plan.Map.Validate()).To(Succeed())
		g.Expect(plan.SkewAfter).To(BeNumerically("<", plan.SkewBefore))
		g.Expect(plan.SkewAfter).To(BeNumerically(">=", plan.SkewLowerBound*(1-1e-9)))
		g.Expect(plan.Gain).To(BeNumerically(">", plan.Price))
		g.Expect(plan.Bytes).To(BeNumerically("<=", in.Limits.MaxBytes))
		g.Expect(plan.Moves).To(Equal(in.Map.Moves(plan.Map)))
		if in.Limits.MaxMovesPerRank > 0 {
			for r := range in.Map.Shape.Ranks {
				moves := 0
				for l := range in.Map.Shape.Layers {
					moves += rankMoves(in.Map.RankLayer(l, r), plan.Map.RankLayer(l, r))
				}
				g.Expect(moves).To(BeNumerically("<=", in.Limits.MaxMovesPerRank))
			}
		}
	})
}

// Guards against moves that cost more than they gain.
func TestPlanKeepsTheMapIfMovesAreTooCostly(t *testing.T) {
	g := NewWithT(t)
	in := newUnevenInput(Shape{Ranks: 8, Layers: 4, Experts: 32, SlotsOfRank: 5}, 1)
	var p Planner
	cheap, err := p.Plan(in)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cheap.Reason).To(Equal(ReasonPays))
	in.CostWeights.Move = 1e6
	costly, err := p.Plan(in)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(costly.Map).To(BeNil())
	g.Expect(costly.Reason).To(Equal(ReasonTooCostly))
}

// A rank at 0.7 of the usual speed must be reported as a straggler and get less load.
func TestSlowRankIsAStragglerAndGetsLessLoad(t *testing.T) {
	g := NewWithT(t)
	in := newUnevenInput(Shape{Ranks: 8, Layers: 8, Experts: 32, SlotsOfRank: 5}, 2)
	tokens := make([]float64, 8)
	seconds := make([]float64, 8)
	var speeds SpeedEstimator
	for range 30 {
		for r := range tokens {
			tokens[r], seconds[r] = 100, 1
		}
		seconds[3] = 1 / 0.7
		speeds.Observe(tokens, seconds)
	}
	g.Expect(speeds.Stragglers()).To(Equal([]int{3}))
	in.RankSpeeds = speeds.RankSpeeds()
	var p Planner
	plan, err := p.Plan(in)
	g.Expect(err).NotTo(HaveOccurred())
	split := plan.Map.SplitLoads(in.Loads)
	loadOfRank := func(r int) float64 { return sum(plan.Map.RankLoads(r, split)) }
	g.Expect(loadOfRank(3)).To(BeNumerically("<", 0.8*loadOfRank(2)))
}

// The rounding error of encoded loads must stay within 2.2 %.
func TestEncodedLoadsAreWithinTheRoundingError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		loads := rapid.SliceOfN(rapid.Float64Range(0.01, 500), 1, 200).Draw(t, "loads")
		for i, v := range DecodeLoads(EncodeLoads(loads)) {
			g.Expect(v).To(BeNumerically("~", loads[i], loads[i]*0.022))
		}
	})
}
