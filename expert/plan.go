package expert

import (
	"cmp"
	"errors"
	"slices"
)

// CostWeights are the operator's prices: one rank kept waiting for one minute, and
// one gigabyte of experts moved. A group of 64 ranks that runs at a skew of 1.1
// for a minute keeps the equal of 6.4 ranks waiting.
type CostWeights struct {
	Skew float64
	Move float64
}

// PlanLimits bound one plan.
type PlanLimits struct {
	MaxBytes        float64 // the store's rate times the time that loading may take; 0: none
	MaxMovesPerRank int     // spare slots for weights that wait for the switch; 0: no bound
}

// PlanInput is what a plan is made from. Loads hold tokens for each layer and expert,
// layer by layer; only their proportions matter.
type PlanInput struct {
	Map                 *Map
	Loads               []float64
	RankSpeeds          []float64 // of ranks; 1: as fast as the others; nil: all alike
	ExpertBytes         float64   // weights of one expert of one layer
	StoreBytesPerSecond float64   // bytes a second; 0: loading takes no time
	GainLifeSeconds     float64   // seconds that a gain lasts before drift has eaten it
	CostWeights         CostWeights
	Limits              PlanLimits
}

// Reason says why a plan moves nothing, or not all that would pay.
type Reason string

// Reasons of plans.
const (
	ReasonPays      Reason = "pays"
	ReasonBalanced  Reason = "nothing to gain"
	ReasonTooCostly Reason = "the moves cost more than they gain"
	ReasonLimited   Reason = "cut to the limits of store and memory"
)

// Plan is a proposed map with its price and gain.
type Plan struct {
	Map            *Map // nil: stay
	Moves          int
	Bytes          float64
	SkewBefore     float64
	SkewAfter      float64
	SkewLowerBound float64 // lower bound of the skew for any map of this shape
	Gain           float64 // in the unit of CostWeights
	Price          float64
	Reason         Reason
}

// ErrInvalidInput: the parts of a PlanInput don't fit each other.
var ErrInvalidInput = errors.New("planner input does not fit its map")

// improvement is a proposal for one layer.
type improvement struct {
	layer int
	ops   []slotChange
	cost  int
	saved float64 // of the layer's longest rank time
}

// Planner makes plans; it keeps its memory between them. It is not safe for
// concurrent use.
type Planner struct {
	search layerSearch
	found  []improvement
	moves  []int // for each rank
	order  []int // layers, those with most to gain first
	ones   []float64
}

// Plan looks for moves that pay. It starts from the map in use and is
// deterministic. The time of a step is the sum over layers of the longest rank,
// since the exchange in each layer makes every rank wait for the slowest.
func (p *Planner) Plan(in *PlanInput) (Plan, error) {
	s := in.Map.Shape
	if len(in.Loads) != s.Layers*s.Experts || (in.RankSpeeds != nil && len(in.RankSpeeds) != s.Ranks) {
		return Plan{}, ErrInvalidInput
	}
	speeds := p.speeds(in)
	stats := PredictStepTimes(in.Map, in.Loads, speeds)
	plan := Plan{SkewBefore: stats.Skew(), SkewAfter: stats.Skew(), SkewLowerBound: stats.SkewLowerBound(), Reason: ReasonBalanced}
	if stats.Ideal == 0 {
		return plan, nil
	}
	// One unit of layer time is worth this much over the life of the gain.
	worth := in.CostWeights.Skew * float64(s.Ranks) * in.GainLifeSeconds / 60 / stats.Ideal
	price := in.CostWeights.Move * in.ExpertBytes / 1e9
	least := leastSaving * stats.Longest / float64(s.Layers)
	candidates := false
	p.found = p.found[:0]
	p.search.budget = maxSteps
	p.order = stats.worstFirst(p.order)
	for _, l := range p.order {
		loads := in.Loads[l*s.Experts : (l+1)*s.Experts]
		best, any := p.search.run(in.Map.Layer(l), s, loads, speeds, layerPrices{bound: stats.bounds[l], worth: worth, price: price, least: least})
		candidates = candidates || any
		if len(best.ops) > 0 {
			best.layer = l
			best.ops = slices.Clone(best.ops)
			p.found = append(p.found, best)
		}
	}
	if candidates {
		plan.Reason = ReasonTooCostly
	}
	p.choose(in, &plan, speeds, worth)
	return plan, nil
}

func (p *Planner) speeds(in *PlanInput) []float64 {
	if in.RankSpeeds != nil {
		return in.RankSpeeds
	}
	p.ones = slices.Grow(p.ones[:0], in.Map.Shape.Ranks)[:in.Map.Shape.Ranks]
	for i := range p.ones {
		p.ones[i] = 1
	}
	return p.ones
}

// choose takes the layers that gain most for their moves until a limit is met.
func (p *Planner) choose(in *PlanInput, plan *Plan, speeds []float64, worth float64) {
	slices.SortStableFunc(p.found, func(a, b improvement) int {
		return cmp.Compare(b.saved*float64(a.cost), a.saved*float64(b.cost))
	})
	s := in.Map.Shape
	p.moves = slices.Grow(p.moves[:0], s.Ranks)[:s.Ranks]
	clear(p.moves)
	var next *Map
	bounded := false
	for i := range p.found {
		f := &p.found[i]
		if !p.fits(in, f, plan.Bytes) {
			bounded = true
			continue
		}
		if next == nil {
			next = in.Map.Clone()
		}
		layer := next.Layer(f.layer)
		for _, op := range f.ops {
			layer[op.slot] = op.expert
		}
		for r := range s.Ranks {
			p.moves[r] += rankMoves(in.Map.RankLayer(f.layer, r), next.RankLayer(f.layer, r))
		}
		plan.Bytes += float64(f.cost) * in.ExpertBytes
		plan.Gain += f.saved * worth
	}
	if next == nil {
		return
	}
	plan.Moves = in.Map.Moves(next)
	plan.Bytes = float64(plan.Moves) * in.ExpertBytes
	plan.Price = in.CostWeights.Move * plan.Bytes / 1e9
	if in.StoreBytesPerSecond > 0 && in.GainLifeSeconds > 0 {
		// The gain begins when the weights are there.
		plan.Gain *= max(0, 1-plan.Bytes/in.StoreBytesPerSecond/in.GainLifeSeconds)
	}
	if plan.Gain <= plan.Price {
		plan.Reason, plan.Moves, plan.Bytes = ReasonTooCostly, 0, 0
		return
	}
	plan.Map = next
	plan.SkewAfter = PredictStepTimes(next, in.Loads, speeds).Skew()
	plan.Reason = ReasonPays
	if bounded {
		plan.Reason = ReasonLimited
	}
}

func (p *Planner) fits(in *PlanInput, f *improvement, bytes float64) bool {
	if in.Limits.MaxBytes > 0 && bytes+float64(f.cost)*in.ExpertBytes > in.Limits.MaxBytes {
		return false
	}
	if in.Limits.MaxMovesPerRank == 0 {
		return true
	}
	k := in.Map.Shape.SlotsOfRank
	for _, op := range f.ops {
		if p.moves[op.slot/k]+countRank(f.ops, op.slot/k, k) > in.Limits.MaxMovesPerRank {
			return false
		}
	}
	return true
}

func countRank(ops []slotChange, rank, k int) int {
	n := 0
	for _, op := range ops {
		if op.slot/k == rank {
			n++
		}
	}
	return n
}
