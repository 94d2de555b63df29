package lockstep

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// plan is a change of the maps of all layer sets.
type plan struct {
	layouts                         []expert.Layout
	imbalanceBefore, imbalanceAfter float64 // imbalance (see function imbalance) without and with the change
	copies                          int     // number of experts that all ranks together must copy
	maxCopiesPerRank                int
	cost                            float64 // cost of the plan, as described at the type planner
	rejected                        bool    // set if the map is kept although a plan with a better map was compared
}

// fitsAllExperts reports whether the ranks have a place for each expert.
//
// After a fleet has shrunk, ranks may have fewer places than there are experts. Engines then keep
// their initial map and refuse any other. Without this check the leader would plan and send maps
// without end.
func fitsAllExperts(m *serving.EngineModel, ranks int) bool {
	return m.ExpertsPerRank == 0 || m.ExpertsPerRank*ranks >= m.Experts
}

// planner compares plans with different numbers of copies.
//
// A plan with more copies gives a better map, but later: a rank copies one expert after the other,
// and passes are slower meanwhile. So the cost of a plan is the experts' time up to a horizon,
// before and after the switch, plus a price for its copies. The price is low for a group with slow
// passes, which has no time to lose. It is high for a group well within its event-gap objective,
// which gains nothing by the last percent of balance.
type planner struct {
	model       *serving.EngineModel
	slowdown    []float64 // slowdown factor of each rank; 1 is normal
	urgency     float64   // mean pass time divided by the event-gap objective
	switchCosts switchCosts
	meanStreams float64 // mean number of running streams per rank
	minGain     float64 // smallest decrease of the imbalance for which the map is changed

	shiftExpected bool          // the time until the next shift of demand is known
	untilShift    time.Duration // time until the next shift of demand is expected
}

// switchCosts are decaying means of the times that switches take. These times differ with the size
// of the group, its VMs and their links.
//
// High means make every plan too costly, and without a switch nothing corrects them. So a single
// sample is bounded, and without new samples the means return to their initial values. Otherwise
// one pause of the leader's VM, or a time of overload, would end all planning of this leader.
type switchCosts struct {
	overhead   time.Duration // time from plan to switch, without the time for copies
	stall      time.Duration // time for which the group is held
	observedAt time.Time     // time of the latest sample; zero: none
}

const (
	// switchCostSmoothing is the reciprocal of the weight of the latest switch in the means.
	switchCostSmoothing = 4
	// maxSwitchCostSample bounds a sample. A switch that takes the whole horizon of a plan already
	// gains nothing.
	maxSwitchCostSample = time.Duration(horizonSec * float64(time.Second))
	// switchCostHalfLife is the time without a switch in which the excess of the means over their
	// initial values halves. It is longer than the demand usually stays the same, so a group whose
	// switches are slow tries few of them.
	switchCostHalfLife = 5 * time.Second
)

func newSwitchCosts() switchCosts {
	return switchCosts{overhead: initialSwitchOverhead, stall: initialStall}
}

// observe adds one switch to the means.
func (m *switchCosts) observe(overhead, stall time.Duration, now time.Time) {
	*m = m.at(now)
	m.overhead += (min(max(overhead, 0), maxSwitchCostSample) - m.overhead) / switchCostSmoothing
	m.stall += (min(stall, maxSwitchCostSample) - m.stall) / switchCostSmoothing
	m.observedAt = now
}

// at returns the means at a time after the latest sample.
func (m switchCosts) at(now time.Time) switchCosts {
	if m.observedAt.IsZero() {
		return m
	}
	decay := decayFactor(now.Sub(m.observedAt), switchCostHalfLife)
	m.overhead = decayExcess(m.overhead, initialSwitchOverhead, decay)
	m.stall = decayExcess(m.stall, initialStall, decay)
	m.observedAt = now
	return m
}

// decayExcess multiplies the excess of a mean over its initial value by decay. It does not change a
// lower mean.
func decayExcess(mean, initial time.Duration, decay float64) time.Duration {
	return mean - time.Duration(float64(max(mean-initial, 0))*(1-decay))
}

// Parameters of the planner.
const (
	maxBalanceSteps = 60
	// horizonSec is the time over which the gain of a plan counts, unless the next shift is expected
	// sooner. Demand lasts for some seconds.
	horizonSec = 2.0
	// initialSwitchOverhead and initialStall are the switch costs that are assumed before the first
	// switch.
	initialSwitchOverhead = 150 * time.Millisecond
	initialStall          = 35 * time.Millisecond
	// copySlowdown is the share by which passes slow down during copies. Source: the platform's
	// statement of 15 in 100.
	copySlowdown = 0.15
	// lowUrgencyCopyCost is the cost of one gigabyte copied per rank for a group with urgency 0,
	// in units of the mean expert time of a rank. highUrgencyCopyCost is the same for a group with
	// an urgency of at least highUrgency, whose passes are near the limit. Copies are billed, and
	// in a group far from its limit the last percent of balance brings no additional response on
	// time.
	lowUrgencyCopyCost  = 0.6
	highUrgencyCopyCost = 0.065
	highUrgency         = 0.6
	// idleCopyCost, divided by the square of the streams per rank, is added to the cost of a
	// gigabyte. The fewer streams there are, the fewer gain by a better map, and the further the
	// duration of passes is from its limit. The square counts as at least minStreamsSquared.
	idleCopyCost      = 0.5
	minStreamsSquared = 0.01
	// balancedImbalance is the imbalance below which the possible gain is less than the cost of a
	// switch. The leader, which has a fraction of a core, then skips planning.
	balancedImbalance = 1.08
	// followUpGain is the smallest decrease of the imbalance for which a map that was planned for the
	// current demand is changed again. Plans that gained 0.03 stalled the group for 15 to 44 ms each,
	// and much of their gain was chance. For a group with an urgency of at least criticalUrgency, whose
	// usual passes are near the objective, criticalFollowUpGain applies.
	followUpGain         = 0.08
	criticalFollowUpGain = 0.04
	criticalUrgency      = 0.85
)

// Limits of the compared plans: how many experts a rank may copy in all sets together. Each plan
// extends the previous one.
var (
	// smallCopyLimits are for a map that nearly fits.
	smallCopyLimits = []int{1, 2, 3}
	// largeCopyLimits are for a shift in demand.
	largeCopyLimits = []int{1, 2, 3, 5, 8}
)

// pricePerCopy is the decrease that each copy must bring in the sum of powers of the ranks' loads;
// see expert.Balance. If the next shift of demand is expected within copyLife, the price is higher by as
// much as the copy is used for a shorter time, at most by maxCopyPriceFactor.
const (
	pricePerCopy       = 0.3
	copyLife           = 4 * time.Second
	maxCopyPriceFactor = 4
)

// copyPrice returns the price of a copy in the search for a plan.
func (pl *planner) copyPrice() float64 {
	if !pl.shiftExpected {
		return pricePerCopy
	}
	return pricePerCopy * min(max(copyLife.Seconds()/max(pl.untilShift.Seconds(), 0.001), 1), maxCopyPriceFactor)
}

// largeImbalance is the imbalance above which the map no longer fits the demand, so that plans with
// more copies are compared.
const largeImbalance = 1.35

// imbalance returns the ratio of the longest rank time to the mean rank time, both summed over the
// sets.
func imbalance(layouts []expert.Layout, loads, slowdown []float64, m *serving.EngineModel) float64 {
	var longest, mean float64
	for s, layout := range layouts {
		longestOfSet, meanOfSet := layout.MaxAndMeanTime(loads[s*m.Experts:(s+1)*m.Experts], slowdown)
		longest += longestOfSet
		mean += meanOfSet
	}
	if mean == 0 {
		return 1
	}
	return longest / mean
}

// horizon returns the seconds over which the gain of a plan counts.
func (pl *planner) horizon() float64 {
	if !pl.shiftExpected {
		return horizonSec
	}
	return min(horizonSec, pl.untilShift.Seconds())
}

// best returns the plan of least cost, which may be to keep the map.
func (pl *planner) best(layouts []expert.Layout, loads []float64) plan {
	current := imbalance(layouts, loads, pl.slowdown, pl.model)
	best := plan{layouts: layouts, imbalanceBefore: current, imbalanceAfter: current, cost: current * pl.horizon()}
	if current < balancedImbalance {
		return best
	}
	limits := smallCopyLimits
	if current > largeImbalance {
		limits = pl.usefulLimits(largeCopyLimits)
	}
	next := layouts
	for _, limit := range limits {
		p := pl.planWithLimit(layouts, next, loads, limit)
		if p.copies > 0 && p.cost < best.cost && current-p.imbalanceAfter >= pl.minGain {
			best = p
		}
		best.rejected = best.copies == 0 && (best.rejected || p.imbalanceAfter < current)
		next = p.layouts
	}
	return best
}

// usefulLimits drops low limits if copying up to the next higher limit takes hardly any time. A
// leader with a fraction of a core takes some ten milliseconds for each plan, during which passes
// stay slow.
func (pl *planner) usefulLimits(limits []int) []int {
	for len(limits) > 1 && pl.copyTime(limits[1]) < shortCopyTime {
		limits = limits[1:]
	}
	return limits
}

// shortCopyTime is the copy time below which a limit is too low to be useful. It is less than the
// time of a pass.
const shortCopyTime = 50 * time.Millisecond

// planWithLimit balances all sets, the worst first, until each rank has copied up to limit experts.
// It starts from the layouts of a plan with a lower limit.
func (pl *planner) planWithLimit(layouts, from []expert.Layout, loads []float64, limit int) plan {
	m := pl.model
	p := plan{layouts: slices.Clone(from)}
	remaining := make([]int, len(layouts[0]))
	for r := range remaining {
		remaining[r] = limit
	}
	for s := range from {
		for r, added := range newExpertsPerRank(layouts[s], from[s]) {
			remaining[r] -= added
		}
	}
	for _, s := range setsByMaxTime(from, loads, pl.slowdown, m) {
		for r, added := range newExpertsPerRank(layouts[s], from[s]) {
			remaining[r] += added
		}
		lim := expert.BalanceLimits{
			Base: layouts[s], ExpertsPerRank: m.ExpertsPerRank, MaxNewPerRank: m.SpareExperts, MaxNewByRank: remaining, Slowdown: pl.slowdown, PricePerCopy: pl.copyPrice(), MaxSteps: maxBalanceSteps,
		}
		p.layouts[s] = expert.Balance(from[s], loads[s*m.Experts:(s+1)*m.Experts], lim)
		for r, added := range newExpertsPerRank(layouts[s], p.layouts[s]) {
			remaining[r] -= added
			p.copies += added
		}
	}
	for _, left := range remaining {
		p.maxCopiesPerRank = max(p.maxCopiesPerRank, limit-left)
	}
	p.imbalanceBefore = imbalance(layouts, loads, pl.slowdown, m)
	p.imbalanceAfter = imbalance(p.layouts, loads, pl.slowdown, m)
	p.cost = pl.costOf(&p)
	return p
}

// setsByMaxTime returns the sets in order of decreasing time of their slowest rank.
func setsByMaxTime(layouts []expert.Layout, loads, slowdown []float64, m *serving.EngineModel) []int {
	order := make([]int, len(layouts))
	longest := make([]float64, len(layouts))
	for s := range layouts {
		order[s] = s
		longest[s], _ = layouts[s].MaxAndMeanTime(loads[s*m.Experts:(s+1)*m.Experts], slowdown)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(longest[b], longest[a]) })
	return order
}

// costOf returns the cost of a plan; see planner.
func (pl *planner) costOf(p *plan) float64 {
	copySec := pl.planCopyTime(p).Seconds()
	horizon := pl.horizon()
	delaySec := min(pl.switchCosts.overhead.Seconds()+copySec, horizon)
	calmness := min(max(1-pl.urgency/highUrgency, 0), 1)
	if ablate.Off(ablate.Urgency) {
		calmness = 0
	}
	costPerGigabyte := highUrgencyCopyCost + (lowUrgencyCopyCost-highUrgencyCopyCost)*calmness
	if !ablate.Off(ablate.Urgency) {
		costPerGigabyte += idleCopyCost / max(pl.meanStreams*pl.meanStreams, minStreamsSquared)
	}
	gigabytes := float64(p.copies) * pl.model.ExpertBytes / 1e9 / float64(len(p.layouts[0]))
	// The stall of a switch counts as a cost. Otherwise a plan with too small a gain would pause
	// every stream.
	stallSec := pl.switchCosts.stall.Seconds() * p.imbalanceBefore
	return delaySec*p.imbalanceBefore + copySlowdown*copySec + stallSec + (horizon-delaySec)*p.imbalanceAfter + costPerGigabyte*gigabytes
}

// newExpertsPerRank returns how many experts each rank holds after a change and not before.
func newExpertsPerRank(before, after expert.Layout) []int {
	added := make([]int, len(after))
	for r, list := range after {
		for _, e := range list {
			if !slices.Contains(before[r], e) {
				added[r]++
			}
		}
	}
	return added
}

// planCopyTime returns how long the rank with the most copies takes for them.
func (pl *planner) planCopyTime(p *plan) time.Duration { return pl.copyTime(p.maxCopiesPerRank) }

// copyTime returns how long a rank takes to copy a number of experts.
func (pl *planner) copyTime(copies int) time.Duration {
	if pl.model.CopyRate <= 0 {
		return 0
	}
	return time.Duration(float64(copies) * pl.model.ExpertBytes / pl.model.CopyRate * float64(time.Second))
}
