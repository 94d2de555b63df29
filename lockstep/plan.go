package lockstep

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// demand is how much each expert is wanted.
//
// Demand keeps for some seconds and then moves at once. The choices of the last
// passes show a move soonest, but follow the chance of which requests run just
// then, and maps that follow chance cost copies for nothing. So two means are
// kept, over a short and a long while. The long one counts, until the map fits the
// short one so much worse that demand must have moved; then it begins anew from
// there.
type demand struct {
	recent, steady mean
	last           time.Time
}

// mean is a mean of choices that fades.
type mean struct {
	half  time.Duration
	loads []float64
	total float64
}

// Figures of the demand.
const (
	recentHalfLife = 80 * time.Millisecond // one or two passes
	steadyHalfLife = 700 * time.Millisecond
	// movedShare and minMoved: by chance the map fits the last passes worse by a
	// tenth; a move makes it about twice as bad.
	movedShare = 1.2
	minMoved   = 0.05
	// enoughChoices for each expert tell demand from chance within a few percent.
	enoughChoices = 200
)

func newDemand(experts int) *demand {
	return &demand{
		recent: mean{half: recentHalfLife, loads: make([]float64, experts)},
		steady: mean{half: steadyHalfLife, loads: make([]float64, experts)},
	}
}

// observe takes the choices since the last time.
func (d *demand) observe(now time.Time, counts []float64) {
	sum := 0.0
	for _, n := range counts {
		sum += n
	}
	if sum == 0 {
		return
	}
	since := time.Duration(0)
	if !d.last.IsZero() {
		since = now.Sub(d.last)
	}
	d.last = now
	d.recent.add(counts, sum, since)
	d.steady.add(counts, sum, since)
}

func (m *mean) add(counts []float64, sum float64, since time.Duration) {
	keep := halved(since, m.half)
	m.total = m.total*keep + sum
	for e := range m.loads {
		m.loads[e] = m.loads[e]*keep + counts[e]
	}
}

// moved notes whether demand has moved, by how well the map in use fits.
func (d *demand) moved(layouts []expert.Layout, m *serving.EngineModel) bool {
	if !d.enough() {
		return false
	}
	recent, steady := imbalance(layouts, d.recent.loads, nil, m), imbalance(layouts, d.steady.loads, nil, m)
	if recent < steady*movedShare+minMoved || ablate.Off(ablate.TwoMeans) {
		return false
	}
	copy(d.steady.loads, d.recent.loads)
	d.steady.total = d.recent.total
	return true
}

// enough tells whether what is known is more than chance.
func (d *demand) enough() bool {
	return d.recent.total > enoughChoices*float64(len(d.recent.loads))
}

// loads returns the demand to plan for.
func (d *demand) loads() []float64 { return d.steady.loads }

// halved returns what is left of 1 after a time, linearly within a half-life.
func halved(t, half time.Duration) float64 {
	left := 1.0
	for t >= half && left > 0.01 {
		left /= 2
		t -= half
	}
	if t < half {
		left *= 1 - 0.5*float64(t)/float64(half)
	}
	return left
}

// plan is a change of the maps of all sets.
type plan struct {
	layouts       []expert.Layout
	before, after float64 // longest rank over the mean, summed over the sets
	copies        int     // experts that ranks must copy
	most          int     // by one rank
	cost          float64 // of the time until the horizon, see planner
}

// holdsAll tells whether a map can be made for so many ranks at all.
//
// Failure: ranks have fewer places than there are experts, as after a fleet was made smaller;
// they run on the map that they start with, and refuse any other. Symptom: a map is planned,
// sent to all ranks and refused again without an end.
func holdsAll(m *serving.EngineModel, ranks int) bool {
	return m.ExpertsPerRank == 0 || m.ExpertsPerRank*ranks >= m.Experts
}

// planner chooses among plans that copy more or less.
//
// A plan with more copies ends with a better map, later: a rank copies one expert
// after the other, and passes are slower meanwhile. So each plan is rated by the
// experts' time summed up to a horizon, before and after the switch, and by what
// its copies cost. A slow group has no time to lose, and a group that is well
// within its aims gains nothing by the last percent.
type planner struct {
	model   *serving.EngineModel
	pace    []float64 // how many times as long as usual each rank takes
	urgency float64   // pass time over the longest pause that is in time
	costs   switchMeter
	streams float64 // that run on a rank, in the mean
}

// switchMeter tells what a switch takes, by the latest ones: it differs with the size of
// the group, its VMs and their links.
type switchMeter struct {
	beside time.Duration // beyond the copies, from the plan on
	stall  time.Duration // for which the group stands still
}

// meterWeight is the weight of the latest switch in the means.
const meterWeight = 4

func newSwitchMeter() switchMeter { return switchMeter{beside: usualSwitch, stall: usualStall} }

func (m *switchMeter) take(beside, stall time.Duration) {
	m.beside += (max(beside, 0) - m.beside) / meterWeight
	m.stall += (stall - m.stall) / meterWeight
}

// Figures of a plan.
const (
	balanceSteps = 60
	// horizon is for how long a gain is counted: demand keeps for some seconds, and
	// it is not known how long it has kept already.
	horizon = 2.0 // seconds
	// usualSwitch and usualStall are expected before the first switch, see switchMeter.
	usualSwitch = 150 * time.Millisecond
	usualStall  = 35 * time.Millisecond
	// copySlows is how much longer passes take while copies come in. Source: the
	// platform's statement of 15 in 100.
	copySlows = 0.15
	// calmCopyCost is what a gigabyte copied for each rank of the group costs one that
	// is calm, in means of the experts' time of one rank, and busyCopyCost one whose
	// passes are near the limit: a calm group gains nobody an answer in time by the last
	// percent, and copies are paid for.
	calmCopyCost = 0.6
	busyCopyCost = 0.065
	busyUrgency  = 0.6
	// idleCopyCost comes on top, divided by the square of the streams that a rank runs: the
	// fewer there are, the fewer gain, and the further their passes are from the limit. Below
	// minIdle the square counts no less.
	idleCopyCost = 0.5
	minIdle      = 0.01
	// evenEnough: what is left to gain below it is less than what a switch costs, so the
	// leader's small processor is spared the look for a plan.
	evenEnough = 1.08
)

// Plans that are compared: how many experts a rank may copy in all sets together.
// Each goes on from the one before.
var (
	// smallPlans improve a map that fits nearly.
	smallPlans = []int{1, 2, 3}
	// largePlans answer demand that has moved.
	largePlans = []int{1, 2, 3, 5, 8}
)

// copyPrice is what each copy must gain in the sum of the powers of the ranks' loads.
const copyPrice = 0.3

// farOff is the imbalance from which a map does not fit any more.
const farOff = 1.35

// imbalance returns the longest rank over the mean, summed over the sets.
func imbalance(layouts []expert.Layout, loads, pace []float64, m *serving.EngineModel) float64 {
	var longest, mean float64
	for s, layout := range layouts {
		most, even := layout.MaxAndMeanTime(loads[s*m.Experts:(s+1)*m.Experts], pace)
		longest += most
		mean += even
	}
	if mean == 0 {
		return 1
	}
	return longest / mean
}

// best returns the best plan, which may be to change nothing.
func (pl *planner) best(layouts []expert.Layout, loads []float64) plan {
	stay := imbalance(layouts, loads, pl.pace, pl.model)
	best := plan{layouts: layouts, before: stay, after: stay, cost: stay * horizon}
	if stay < evenEnough {
		return best
	}
	variants := smallPlans
	if stay > farOff {
		variants = pl.worthwhile(largePlans)
	}
	next := layouts
	for _, copies := range variants {
		p := pl.variant(layouts, next, loads, copies)
		if p.copies > 0 && p.cost < best.cost {
			best = p
		}
		next = p.layouts
	}
	return best
}

// worthwhile leaves out plans that save hardly any time against the next larger one.
// Each plan takes a leader with a small part of a core some ten milliseconds, in
// which every pass is a long one.
func (pl *planner) worthwhile(copies []int) []int {
	for len(copies) > 1 && pl.copyTime(copies[1]) < quickCopies {
		copies = copies[1:]
	}
	return copies
}

// quickCopies is less than a pass takes.
const quickCopies = 50 * time.Millisecond

// variant balances all sets, the worst first, until ranks have copied enough. It goes
// on from a plan with fewer copies.
func (pl *planner) variant(layouts, from []expert.Layout, loads []float64, copies int) plan {
	m := pl.model
	p := plan{layouts: slices.Clone(from)}
	room := make([]int, len(layouts[0]))
	for r := range room {
		room[r] = copies
	}
	for s := range from {
		for r, n := range freshOf(layouts[s], from[s]) {
			room[r] -= n
		}
	}
	for _, s := range worstFirst(from, loads, pl.pace, m) {
		for r, n := range freshOf(layouts[s], from[s]) {
			room[r] += n
		}
		lim := expert.BalanceLimits{
			Base: layouts[s], ExpertsPerRank: m.ExpertsPerRank, MaxNewPerRank: m.SpareExperts, MaxNewByRank: room, Slowdown: pl.pace, PricePerCopy: copyPrice, MaxSteps: balanceSteps,
		}
		p.layouts[s] = expert.Balance(from[s], loads[s*m.Experts:(s+1)*m.Experts], lim)
		for r, n := range freshOf(layouts[s], p.layouts[s]) {
			room[r] -= n
			p.copies += n
		}
	}
	for _, left := range room {
		p.most = max(p.most, copies-left)
	}
	p.before = imbalance(layouts, loads, pl.pace, m)
	p.after = imbalance(p.layouts, loads, pl.pace, m)
	p.cost = pl.rate(&p)
	return p
}

// worstFirst returns the sets, the one with the busiest rank first.
func worstFirst(layouts []expert.Layout, loads, pace []float64, m *serving.EngineModel) []int {
	order := make([]int, len(layouts))
	longest := make([]float64, len(layouts))
	for s := range layouts {
		order[s] = s
		longest[s], _ = layouts[s].MaxAndMeanTime(loads[s*m.Experts:(s+1)*m.Experts], pace)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(longest[b], longest[a]) })
	return order
}

func (pl *planner) rate(p *plan) float64 {
	copying := pl.copying(p).Seconds()
	delay := min(pl.costs.beside.Seconds()+copying, horizon)
	calm := min(max(1-pl.urgency/busyUrgency, 0), 1)
	if ablate.Off(ablate.Urgency) {
		calm = 0
	}
	each := busyCopyCost + (calmCopyCost-busyCopyCost)*calm
	if !ablate.Off(ablate.Urgency) {
		each += idleCopyCost / max(pl.streams*pl.streams, minIdle)
	}
	gigabytes := float64(p.copies) * pl.model.ExpertBytes / 1e9 / float64(len(p.layouts[0]))
	// A plan that gains less until the horizon costs every stream a pause for nothing.
	stall := pl.costs.stall.Seconds() * p.before
	return delay*p.before + copySlows*copying + stall + (horizon-delay)*p.after + each*gigabytes
}

// freshOf returns how many experts each rank gets that it did not hold.
func freshOf(before, after expert.Layout) []int {
	fresh := make([]int, len(after))
	for r, list := range after {
		for _, e := range list {
			if !slices.Contains(before[r], e) {
				fresh[r]++
			}
		}
	}
	return fresh
}

// copying returns how long the rank with most copies takes for them.
func (pl *planner) copying(p *plan) time.Duration { return pl.copyTime(p.most) }

// copyTime returns how long a rank takes for some copies.
func (pl *planner) copyTime(copies int) time.Duration {
	if pl.model.CopyRate <= 0 {
		return 0
	}
	return time.Duration(float64(copies) * pl.model.ExpertBytes / pl.model.CopyRate * float64(time.Second))
}
