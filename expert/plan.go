package expert

import (
	"cmp"
	"errors"
	"slices"
)

// CostWeights are the operator's prices: Skew for one rank that waits for one minute, Move for one
// gigabyte of expert weights moved. A group of 64 ranks that runs at a skew of 1.1 for a minute
// wastes the time of 6.4 ranks.
type CostWeights struct {
	Skew float64
	Move float64
}

// PlanLimits bounds one plan.
type PlanLimits struct {
	MaxBytes        float64 // bytes to load: the weight store's rate times the time that loading may take; 0: no limit
	MaxMovesPerRank int     // maximum number of experts to load on one rank, into its spare slots before the switch; 0: no limit
}

// PlanInput is the input of Planner.Plan. Loads holds the tokens of each expert, ordered by layer and
// then by expert. Only the proportions of the loads matter.
type PlanInput struct {
	Map                 *Map
	Loads               []float64
	RankSpeeds          []float64 // relative speed of each rank; nil: 1 for all
	ExpertBytes         float64   // size of the weights of one expert of one layer
	StoreBytesPerSecond float64   // rate at which weights load; 0: loading takes no time
	GainLifeSeconds     float64   // time after which a plan has no gain any more, because the loads have drifted
	CostWeights         CostWeights
	Limits              PlanLimits
}

// Reason is the reason for the outcome of a plan: why it moves experts, or none, or not all that
// would be worth it. It is shown to operators.
type Reason string

// Reasons for the outcome of a plan.
const (
	ReasonPays      Reason = "pays"
	ReasonBalanced  Reason = "nothing to gain"
	ReasonTooCostly Reason = "the moves cost more than they gain"
	ReasonLimited   Reason = "cut to the limits of store and memory"
)

// Plan is a proposed map with its price and gain, both in units of CostWeights.
type Plan struct {
	Map            *Map // proposed map; nil: keep the map in use
	Moves          int
	Bytes          float64
	SkewBefore     float64
	SkewAfter      float64
	SkewLowerBound float64 // lower bound of the skew for any map of this shape
	Gain           float64
	Price          float64
	Reason         Reason
}

// ErrInvalidInput is returned if the lengths of Loads or RankSpeeds do not match the shape of the map.
var ErrInvalidInput = errors.New("planner input does not match the shape of its map")

// improvement is a set of changes of one layer.
type improvement struct {
	layer     int
	changes   []slotChange
	moves     int
	savedTime float64 // decrease of the time of the layer's slowest rank
}

// Planner makes plans and reuses its buffers between them. It is not safe for concurrent use.
type Planner struct {
	search       layerSearch
	improvements []improvement
	movesByRank  []int
	layerOrder   []int // layers with the highest excess time first
	unitSpeeds   []float64
}

// Plan searches for moves that are worth their price, starting from the map in use. The result is
// deterministic. The time of a step is the sum over the layers of the time of the slowest rank, as
// in each layer all ranks wait for the slowest one before they exchange data.
func (p *Planner) Plan(in *PlanInput) (Plan, error) {
	s := in.Map.Shape
	if len(in.Loads) != s.Layers*s.Experts || (in.RankSpeeds != nil && len(in.RankSpeeds) != s.Ranks) {
		return Plan{}, ErrInvalidInput
	}
	speeds := p.rankSpeeds(in)
	stats := PredictStepTimes(in.Map, in.Loads, speeds)
	plan := Plan{SkewBefore: stats.Skew(), SkewAfter: stats.Skew(), SkewLowerBound: stats.SkewLowerBound(), Reason: ReasonBalanced}
	if stats.Ideal == 0 {
		return plan, nil
	}
	// Gain from saving one unit of layer time, over the lifetime of a gain.
	gainPerTime := in.CostWeights.Skew * float64(s.Ranks) * in.GainLifeSeconds / 60 / stats.Ideal
	pricePerMove := in.CostWeights.Move * in.ExpertBytes / 1e9
	minSaving := minSavingShare * stats.Longest / float64(s.Layers)
	hasUneven := false
	p.improvements = p.improvements[:0]
	p.search.stepsLeft = maxStepsPerPlan
	p.layerOrder = stats.layersByExcess(p.layerOrder)
	for _, l := range p.layerOrder {
		loads := in.Loads[l*s.Experts : (l+1)*s.Experts]
		best, isUneven := p.search.improve(in.Map.Layer(l), s, loads, speeds, layerPrices{lowerBound: stats.layerBounds[l], gainPerTime: gainPerTime, pricePerMove: pricePerMove, minSaving: minSaving})
		hasUneven = hasUneven || isUneven
		if len(best.changes) > 0 {
			best.layer = l
			best.changes = slices.Clone(best.changes)
			p.improvements = append(p.improvements, best)
		}
	}
	if hasUneven {
		plan.Reason = ReasonTooCostly
	}
	p.selectImprovements(in, &plan, speeds, gainPerTime)
	return plan, nil
}

// rankSpeeds returns the relative speeds of the ranks, 1 for all if the input has none.
func (p *Planner) rankSpeeds(in *PlanInput) []float64 {
	if in.RankSpeeds != nil {
		return in.RankSpeeds
	}
	p.unitSpeeds = slices.Grow(p.unitSpeeds[:0], in.Map.Shape.Ranks)[:in.Map.Shape.Ranks]
	for i := range p.unitSpeeds {
		p.unitSpeeds[i] = 1
	}
	return p.unitSpeeds
}

// selectImprovements applies the improvements with the most saved time for each move, as far as the
// limits allow.
func (p *Planner) selectImprovements(in *PlanInput, plan *Plan, speeds []float64, gainPerTime float64) {
	slices.SortStableFunc(p.improvements, func(a, b improvement) int {
		return cmp.Compare(b.savedTime*float64(a.moves), a.savedTime*float64(b.moves))
	})
	s := in.Map.Shape
	p.movesByRank = slices.Grow(p.movesByRank[:0], s.Ranks)[:s.Ranks]
	clear(p.movesByRank)
	var next *Map
	isLimited := false
	for i := range p.improvements {
		imp := &p.improvements[i]
		if !p.fitsLimits(in, imp, plan.Bytes) {
			isLimited = true
			continue
		}
		if next == nil {
			next = in.Map.Clone()
		}
		layer := next.Layer(imp.layer)
		for _, c := range imp.changes {
			layer[c.slot] = c.expert
		}
		for r := range s.Ranks {
			p.movesByRank[r] += rankMoves(in.Map.RankLayer(imp.layer, r), next.RankLayer(imp.layer, r))
		}
		plan.Bytes += float64(imp.moves) * in.ExpertBytes
		plan.Gain += imp.savedTime * gainPerTime
	}
	if next == nil {
		return
	}
	plan.Moves = in.Map.Moves(next)
	plan.Bytes = float64(plan.Moves) * in.ExpertBytes
	plan.Price = in.CostWeights.Move * plan.Bytes / 1e9
	if in.StoreBytesPerSecond > 0 && in.GainLifeSeconds > 0 {
		// The gain starts once the weights are loaded.
		plan.Gain *= max(0, 1-plan.Bytes/in.StoreBytesPerSecond/in.GainLifeSeconds)
	}
	if plan.Gain <= plan.Price {
		plan.Reason, plan.Moves, plan.Bytes = ReasonTooCostly, 0, 0
		return
	}
	plan.Map = next
	plan.SkewAfter = PredictStepTimes(next, in.Loads, speeds).Skew()
	plan.Reason = ReasonPays
	if isLimited {
		plan.Reason = ReasonLimited
	}
}

// fitsLimits reports whether an improvement keeps a plan within its limits. bytes is the size of
// the weights that the plan already moves.
func (p *Planner) fitsLimits(in *PlanInput, imp *improvement, bytes float64) bool {
	if in.Limits.MaxBytes > 0 && bytes+float64(imp.moves)*in.ExpertBytes > in.Limits.MaxBytes {
		return false
	}
	if in.Limits.MaxMovesPerRank == 0 {
		return true
	}
	k := in.Map.Shape.SlotsOfRank
	for _, c := range imp.changes {
		if p.movesByRank[c.slot/k]+changesOnRank(imp.changes, c.slot/k, k) > in.Limits.MaxMovesPerRank {
			return false
		}
	}
	return true
}

// changesOnRank returns the number of changes on a rank; k is the number of slots on each rank.
func changesOnRank(changes []slotChange, rank, k int) int {
	n := 0
	for _, c := range changes {
		if c.slot/k == rank {
			n++
		}
	}
	return n
}
