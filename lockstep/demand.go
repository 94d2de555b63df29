package lockstep

import (
	"time"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// demand estimates how often each expert is selected.
//
// Demand stays the same for some seconds and then shifts at once. Selections also vary by chance, and
// maps that follow chance cost copies for nothing, so plans use a mean over a long time. When a sample
// differs from it by more than chance explains, demand has shifted and the mean restarts from that
// sample alone. A plan from selections before and after a shift would fit neither demand.
type demand struct {
	recent, steady decayingMean
	observedAt     time.Time
	mixed          bool // ablate.ShiftSample: restart from the recent mean, which includes selections before a shift

	sample        []float64 // selections of the rounds since the latest complete sample
	sampleTotal   float64
	passes        passSpan
	addedAt       time.Time     // when the latest sample was added to the steady mean
	restarted     bool          // the steady mean holds a single sample, which may be a mixture
	unsettledTill time.Time     // plans wait for another sample until then
	roundTime     time.Duration // time from one round to the next, as far as known
	suspected     bool          // the latest sample differed by more than chance, but too little for a shift
	shiftPending  bool          // a shift has been found and not been reported by detectShift
	shiftAt       time.Time     // when the latest shift was detected, by this group or by another one that announced it
	shiftSeenBy   string        // the group that announced the latest shift; "": this group saw it first
	borrowed      bool          // the estimate restarted from selections of another group
	samples       int           // number of samples added since the latest shift
	others        otherGroups
}

// passSpan tracks the passes that a sample covers.
type passSpan struct {
	before  uint64 // lowest step of the ranks when the previous sample ended
	lowest  uint64 // lowest step of the ranks in the latest round
	highest uint64 // highest step of the ranks in the latest round
}

// isSinglePass reports whether the selections are of one pass. Ranks are read at different moments, so
// all of them must have reported the same step both times.
func (p passSpan) isSinglePass() bool {
	return p.before != 0 && p.highest == p.lowest && p.highest == p.before+1
}

// decayingMean holds selections per expert, weighted by age with a half-life.
type decayingMean struct {
	halfLife time.Duration
	loads    []float64
	total    float64 // sum of loads
}

// Parameters of the demand estimate.
const (
	recentHalfLife = 80 * time.Millisecond // the time of one or two passes
	steadyHalfLife = 700 * time.Millisecond
	// With ablate.ShiftSample, demand has shifted if the imbalance of the recent mean is at least
	// shiftRatio times that of the steady mean plus minShift. Chance raises the recent imbalance by
	// about a tenth, a shift about doubles it.
	shiftRatio = 1.2
	minShift   = 0.05
	// minSelectionsPerExpert is the number of selections per expert that tells demand from chance
	// within a few percent.
	minSelectionsPerExpert = 200
	// minSampleSelections is the number of selections per expert in a sample. A shift changes demand far
	// more than chance does in such a sample.
	minSampleSelections = 50
	// minRecentSelections is the number of recent selections per expert below which the map is kept. It
	// is less than what tells demand from chance: passes are long on a map that does not fit, so a
	// group with a higher limit could keep such a map because its passes are few.
	minRecentSelections = 100
	// changedShare is the squared difference between a sample and the steady mean, less chance, as a
	// share of their variation between experts, from which demand has shifted. It is about 0.01 between two
	// groups with the same demand, and 0.3 to 1 for a shift.
	changedShare = 0.1
	// suspectShare is the same share from which a sample may be a mixture with a part of a new demand.
	suspectShare = 0.03
	// minChange is the mean squared difference of loads, in units of the mean load, below which a
	// difference is never a shift. If demand is nearly uniform, chance is most of its variation.
	minChange = 0.02
	// chanceFactor is the multiple of the difference expected of independent selections that still
	// counts as chance. Selections of one stream are not independent, and reports are rounded.
	chanceFactor = 3
	// shiftChanceFactor is the same multiple for a shift. A false shift is worse than a missed part of
	// one: it discards the estimate.
	shiftChanceFactor = 5
	// maxRoundPasses is the time between rounds in passes above which plans do not wait for another
	// sample: the passes until then would all be long.
	maxRoundPasses = 2
	// settleTimeout is how long plans wait for a second sample. The longest passes take 130 ms, and
	// the leader's rounds are 60 ms apart.
	settleTimeout = 200 * time.Millisecond
)

func newDemand(experts int) *demand {
	return &demand{
		recent: decayingMean{halfLife: recentHalfLife, loads: make([]float64, experts)},
		steady: decayingMean{halfLife: steadyHalfLife, loads: make([]float64, experts)},
		sample: make([]float64, experts),
		mixed:  ablate.Off(ablate.ShiftSample) || ablate.Off(ablate.TwoMeans),
	}
}

// setSteps sets the lowest and highest step that the ranks report with the selections of the next call of
// observe.
func (d *demand) setSteps(lowest, highest uint64) {
	d.passes.lowest, d.passes.highest = lowest, highest
}

// observe adds the selections since the previous observation.
func (d *demand) observe(now time.Time, counts []float64) {
	sum := 0.0
	for _, n := range counts {
		sum += n
	}
	if sum == 0 {
		return
	}
	elapsed := time.Duration(0)
	if !d.observedAt.IsZero() {
		elapsed = now.Sub(d.observedAt)
	}
	d.observedAt = now
	d.recent.add(counts, sum, elapsed)
	if d.mixed {
		d.steady.add(counts, sum, elapsed)
		return
	}
	for e, n := range counts {
		d.sample[e] += n
	}
	d.sampleTotal += sum
	if d.sampleTotal >= minSampleSelections*float64(len(counts)) {
		d.addSample(now)
	}
}

// addSample adds the current sample to the steady mean, or restarts the mean from it, and begins the
// next sample.
func (d *demand) addSample(now time.Time) {
	change := compareLoads(d.sample, d.steady.loads)
	d.dropOldSamples(now)
	switch {
	case d.steady.total == 0:
		d.steady.add(d.sample, d.sampleTotal, 0)
	case d.restarted && change.exceedsChance():
		// The sample from which the mean restarted was a mixture of two demands.
		d.steady.restart(d.sample, d.sampleTotal)
		d.others.samples, d.borrowed = nil, false
		d.restarted, d.unsettledTill = false, time.Time{}
	case !d.restarted && d.followAnnouncement(now):
	case !d.restarted && change.isShift():
		if announced := d.others.announced.group; announced != "" {
			d.distrust(announced) // demand has shifted, but not as announced
		}
		d.restart(d.sample, d.sampleTotal, now)
		if !d.passes.isSinglePass() {
			d.awaitSample(now)
		}
	default:
		d.steady.add(d.sample, d.sampleTotal, now.Sub(d.addedAt))
		d.restarted = false
		if d.others.announced.group == "" {
			d.unsettledTill = time.Time{}
		}
		suspected := change.isSuspect()
		if suspected && !d.suspected {
			d.awaitSample(now) // perhaps a mixture with little of a new demand
		}
		d.suspected = suspected
	}
	d.samples++
	d.addedAt = now
	clear(d.sample)
	d.sampleTotal = 0
	d.passes.before = d.passes.lowest
}

// restart restarts the steady mean after a shift.
func (d *demand) restart(loads []float64, total float64, shiftAt time.Time) {
	d.steady.restart(loads, total)
	d.restarted, d.suspected, d.borrowed, d.shiftPending, d.samples = true, false, false, true, 0
	d.unsettledTill, d.shiftAt, d.shiftSeenBy = time.Time{}, shiftAt, ""
	d.others.samples, d.others.announced = nil, groupSample{}
}

// awaitSample makes plans wait for the next sample, unless it takes longer than the pass that may be gained.
func (d *demand) awaitSample(now time.Time) {
	passes := max(int64(d.passes.highest)-int64(d.passes.before), 1) // steps may start over
	if d.addedAt.IsZero() || d.roundTime*time.Duration(passes) > maxRoundPasses*now.Sub(d.addedAt) {
		return
	}
	d.unsettledTill = now.Add(settleTimeout)
}

// loadChange is the difference between two estimates of expert loads, each in units of its mean load.
type loadChange struct {
	difference float64 // mean squared difference
	chance     float64 // the same as expected of independent selections with the same demand
	variation  float64 // sum of both variances between experts
}

// compareLoads compares two selection counts.
func compareLoads(x, y []float64) loadChange {
	sumX, sumY := 0.0, 0.0
	for e := range x {
		sumX += x[e]
		sumY += y[e]
	}
	if sumX == 0 || sumY == 0 {
		return loadChange{}
	}
	n := float64(len(x))
	var c loadChange
	for e := range x {
		dx, dy := x[e]*n/sumX-1, y[e]*n/sumY-1
		c.difference += (dx - dy) * (dx - dy) / n
		c.variation += (dx*dx + dy*dy) / n
	}
	c.chance = n/sumX + n/sumY
	return c
}

// exceedsChance reports whether chance is unlikely to explain the difference.
func (c loadChange) exceedsChance() bool { return c.difference > chanceFactor*c.chance }

// isShift reports whether the difference is a shift of demand.
func (c loadChange) isShift() bool {
	return c.difference > max(minChange, changedShare*c.variation+shiftChanceFactor*c.chance)
}

// isSuspect reports whether the difference may be the beginning of a shift.
func (c loadChange) isSuspect() bool {
	return c.difference > max(minChange, suspectShare*c.variation+shiftChanceFactor*c.chance)
}

// add decays the mean by the elapsed time and adds counts.
func (m *decayingMean) add(counts []float64, sum float64, elapsed time.Duration) {
	decay := decayFactor(elapsed, m.halfLife)
	m.total = m.total*decay + sum
	for e := range m.loads {
		m.loads[e] = m.loads[e]*decay + counts[e]
	}
}

// restart sets the mean to counts alone.
func (m *decayingMean) restart(counts []float64, sum float64) {
	copy(m.loads, counts)
	m.total = sum
}

// detectShift reports whether demand has shifted since the previous call; the steady mean has then
// restarted. With ablate.ShiftSample it compares how well the map in use fits both means.
func (d *demand) detectShift(layouts []expert.Layout, m *serving.EngineModel) bool {
	if !d.mixed {
		shifted := d.shiftPending
		d.shiftPending = false
		return shifted
	}
	if !d.hasEnoughData() {
		return false
	}
	recent, steady := imbalance(layouts, d.recent.loads, nil, m), imbalance(layouts, d.steady.loads, nil, m)
	if recent < steady*shiftRatio+minShift || ablate.Off(ablate.TwoMeans) {
		return false
	}
	d.steady.restart(d.recent.loads, d.recent.total)
	return true
}

// hasEnoughData reports whether enough selections are known to tell demand from chance, and the group is
// not nearly idle.
func (d *demand) hasEnoughData() bool {
	if !d.mixed {
		n := float64(len(d.steady.loads))
		return d.selectionsPerExpert() >= minSelectionsPerExpert && d.recent.total > minRecentSelections*n
	}
	return d.recent.total > minSelectionsPerExpert*float64(len(d.recent.loads))
}

// isSettled reports whether plans can use the estimate: it is not known to be a possible mixture.
func (d *demand) isSettled(now time.Time) bool { return !now.Before(d.unsettledTill) }

// selectionsPerExpert returns the mean number of selections per expert that the estimate holds.
func (d *demand) selectionsPerExpert() float64 {
	total := d.steady.total
	for _, s := range d.others.samples {
		total += min(s.total, d.steady.total)
	}
	return total / float64(len(d.steady.loads))
}

// decayFactor returns the factor by which a weight decays in time t: 1/2 for each half-life, with
// linear interpolation within a half-life.
func decayFactor(t, halfLife time.Duration) float64 {
	factor := 1.0
	for t >= halfLife && factor > 0.01 {
		factor /= 2
		t -= halfLife
	}
	if t < halfLife {
		factor *= 1 - 0.5*float64(t)/float64(halfLife)
	}
	return factor
}
