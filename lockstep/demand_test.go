package lockstep

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/serving"
)

// shiftSim simulates in virtual time a group whose demand shifts, and its leader's rounds.
//
// The ranks are read in simReaders parts at slightly different moments, so a round may contain a pass of
// some ranks and not of others. Each pass has the demand at its start.
type shiftSim struct {
	rng       *rand.Rand
	model     *serving.EngineModel
	ranks     int
	truth     []float64 // demand, with a mean of 1
	perPass   float64   // mean selections per expert and pass
	layouts   []expert.Layout
	demand    *demand
	clock     shiftClock
	name      string
	other     *shiftSim     // another group, to which samples are sent; nil: none
	received  []groupSample // samples that the other group has sent since the latest round
	sent      int           // samples sent since the latest shift
	now       time.Duration // virtual time
	passes    []simPassEnd
	passEnds  time.Duration
	passTruth []float64
	readUpTo  [simReaders]int // passes included in the latest counts of each part

	pending     *plan
	switchAt    time.Duration // when the ranks have prepared the pending map
	mapFollows  bool
	nextRoundAt time.Duration

	plans, copies int
	shiftedAt     time.Duration
	fitAfter      []time.Duration // per shift, time until the map fits
	fits          bool
	excess        float64 // imbalance above 1, summed over seconds
}

// simPassEnd is a completed pass with the selections of each part of the ranks.
type simPassEnd struct {
	at     time.Duration
	counts [simReaders][]float64
}

const (
	simReaders    = 4
	simSelections = 540.0 // mean selections per expert and pass at the usual load
	simFits       = 1.25  // imbalance at which the map fits the demand
	simPassMS     = 62.0  // pass time at an imbalance of 1
)

// simModels are the shapes of the two deployments of docs/HARD-LOAD.md.
var simModels = map[string]struct {
	model    serving.EngineModel
	ranks    int
	interval time.Duration
}{
	"24 ranks": {serving.EngineModel{LayerSets: 16, Experts: 96, ExpertsPerRank: 5, SpareExperts: 2, ExpertBytes: 1.5e8, CopyRate: 5.5e9}, 24, 3600 * time.Millisecond},
	"32 ranks": {serving.EngineModel{LayerSets: 12, Experts: 128, ExpertsPerRank: 5, SpareExperts: 2, ExpertBytes: 4.2e8, CopyRate: 1.15e10}, 32, 2070 * time.Millisecond},
}

func newShiftSim(name string, seed uint64) *shiftSim {
	c := simModels[name]
	s := &shiftSim{rng: rand.New(rand.NewPCG(seed, 3)), model: &c.model, ranks: c.ranks, perPass: simSelections, demand: newDemand(c.model.LayerSets * c.model.Experts)}
	for range c.model.LayerSets {
		s.layouts = append(s.layouts, expert.InitialLayout(c.ranks, c.model.Experts))
	}
	s.truth = s.drawDemand()
	s.passTruth = s.truth
	s.passEnds = time.Duration(simPassMS * float64(time.Millisecond))
	return s
}

// drawDemand draws the demand of all sets.
func (s *shiftSim) drawDemand() []float64 {
	var loads []float64
	for range s.model.LayerSets {
		own, sum := make([]float64, s.model.Experts), 0.0
		for e := range own {
			own[e] = math.Exp(0.9 * s.rng.NormFloat64())
			sum += own[e]
		}
		for e := range own {
			own[e] *= float64(len(own)) / sum
		}
		loads = append(loads, own...)
	}
	return loads
}

// shift replaces half of the demand.
func (s *shiftSim) shift() {
	fresh, next := s.drawDemand(), make([]float64, len(s.truth))
	for e := range next {
		next[e] = (s.truth[e] + fresh[e]) / 2
	}
	s.truth, s.shiftedAt, s.fits = next, s.now, false
}

// run advances the simulation to a time.
func (s *shiftSim) run(until time.Duration) {
	for s.now < until {
		s.now = min(s.passEnds, s.nextRoundAt)
		if s.now == s.passEnds {
			s.endPass()
		}
		if s.now == s.nextRoundAt {
			s.round()
		}
	}
}

// endPass completes a pass and begins the next one, with the pending map if all ranks have it.
func (s *shiftSim) endPass() {
	p := simPassEnd{at: s.now}
	for i := range p.counts {
		p.counts[i] = make([]float64, len(s.truth))
		for e, load := range s.passTruth {
			mean := load * s.perPass / simReaders
			p.counts[i][e] = max(math.Round(mean+math.Sqrt(mean)*s.rng.NormFloat64()), 0)
		}
	}
	s.passes = append(s.passes, p)
	stall := time.Duration(0)
	if s.pending != nil && s.now >= s.switchAt {
		s.layouts, s.pending, s.mapFollows = s.pending.layouts, nil, true
		stall = initialStall
	}
	s.passTruth = s.truth
	current := imbalance(s.layouts, s.truth, nil, s.model)
	ms := simPassMS * (0.15 + 0.85*current)
	if s.pending != nil {
		ms *= 1 + copySlowdown
	}
	length := time.Duration(ms*float64(time.Millisecond)) + stall
	s.passEnds = s.now + length
	s.excess += (current - 1) * length.Seconds()
	if !s.fits && current <= simFits {
		s.fits = true
		s.fitAfter = append(s.fitAfter, s.now-s.shiftedAt)
	}
}

// round is a round of the leader.
func (s *shiftSim) round() {
	s.nextRoundAt = s.now + roundInterval + time.Duration(s.rng.Int64N(int64(10*time.Millisecond)))
	if s.pending != nil {
		return // no selections are collected while ranks copy experts
	}
	sum := make([]float64, len(s.truth))
	lowest, highest := uint64(math.MaxUint64), uint64(0)
	for i := range simReaders {
		stateAt := s.now - time.Duration(s.rng.Int64N(int64(8*time.Millisecond)))
		countsAt := stateAt + time.Duration(s.rng.Int64N(int64(3*time.Millisecond)))
		step := uint64(s.passesBy(stateAt)) + 1
		lowest, highest = min(lowest, step), max(highest, step)
		upTo := max(s.passesBy(countsAt), s.readUpTo[i])
		read := make([]float64, len(sum))
		for _, p := range s.passes[s.readUpTo[i]:upTo] {
			for e, n := range p.counts[i] {
				read[e] += n
			}
		}
		s.readUpTo[i] = upTo
		unit, bands := encoded(read)
		expert.AddLoads(sum, unit, bands)
	}
	now := time.Unix(1000, 0).Add(s.now)
	for _, sample := range s.received {
		sample.receivedAt = now
		s.demand.hear(sample, now)
	}
	s.received = nil
	s.demand.setSteps(lowest, highest)
	s.demand.roundTime = roundInterval
	s.demand.observe(now, sum)
	if s.demand.detectShift(s.layouts, s.model) {
		if s.demand.mixed {
			s.demand.shiftAt = now
		}
		s.clock.observe(s.demand.shiftAt)
		s.mapFollows, s.sent = false, 0
	}
	s.sendSample(now)
	if !s.demand.hasEnoughData() || !s.demand.isSettled(now) {
		return
	}
	pl := planner{model: s.model, urgency: 0.6, switchCosts: newSwitchCosts(), meanStreams: busyStreams}
	if !s.demand.mixed {
		pl.untilShift, pl.shiftExpected = s.clock.untilNext(now)
		if s.mapFollows {
			pl.minGain = followUpGain
		}
	}
	if p := pl.best(s.layouts, s.demand.loads()); p.copies > 0 {
		s.pending, s.switchAt = &p, s.now+60*time.Millisecond+pl.planCopyTime(&p)
		s.plans++
		s.copies += p.copies
	}
}

// sendSample sends the sample of a shift to the other group, as leader.sendSample does.
func (s *shiftSim) sendSample(now time.Time) {
	d := s.demand
	if s.other == nil || d.shiftAt.IsZero() || d.borrowed || d.samples == s.sent || d.samples > samplesPerShift || !d.isSettled(now) {
		return
	}
	s.sent = d.samples
	if sample, ok := decodeSample(encodeSample(s.name, d.steady.loads, d.shiftAt, now, d.samples == 1), now); ok {
		s.other.received = append(s.other.received, sample)
	}
}

func encoded(counts []float64) (float64, []byte) {
	if slices.Max(counts) == 0 {
		return 0, make([]byte, len(counts))
	}
	return expert.EncodeLoads(counts)
}

// passesBy returns the number of passes completed by a time.
func (s *shiftSim) passesBy(at time.Duration) int {
	n := len(s.passes)
	for n > 0 && s.passes[n-1].at > at {
		n--
	}
	return n
}

// shiftResult sums up a simulation per shift.
type shiftResult struct{ plans, copies, fitMS, longestFitMS, excessMS float64 }

// runShifts simulates shifts at random points between rounds.
func runShifts(name string, perPass float64, shifts int, mixed bool) shiftResult {
	s := newShiftSim(name, 0)
	s.demand.mixed, s.perPass = mixed, perPass
	interval := simModels[name].interval
	s.run(interval)
	s.plans, s.copies, s.fitAfter, s.excess = 0, 0, nil, 0
	for range shifts {
		s.shift()
		s.run(s.now + interval + time.Duration(s.rng.Int64N(int64(100*time.Millisecond))))
		if !s.fits {
			s.fitAfter = append(s.fitAfter, interval)
		}
	}
	n := float64(shifts)
	r := shiftResult{plans: float64(s.plans) / n, copies: float64(s.copies) / n, excessMS: s.excess * 1e3 / n}
	for _, f := range s.fitAfter {
		r.fitMS += float64(f.Milliseconds()) / n
		r.longestFitMS = max(r.longestFitMS, float64(f.Milliseconds()))
	}
	return r
}

// Guards against plans from selections that mix the demand before and after a shift. Each such plan was
// followed by a second one with as many copies, and the group had long passes until then. Also guards
// against small plans in the rest of the interval, each of which stalls the group.
func TestOneShiftCausesOnePlan(t *testing.T) {
	for name := range simModels {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			before, after := runShifts(name, simSelections, 5, true), runShifts(name, simSelections, 5, false)
			t.Logf("before %+v", before)
			t.Logf("after  %+v", after)
			g.Expect(before.plans).To(BeNumerically(">", 2), "the simulation shows the fault")
			g.Expect(after.plans).To(BeNumerically("<=", 1.25))
			g.Expect(after.copies).To(BeNumerically("<", 0.9*before.copies))
			g.Expect(after.fitMS).To(BeNumerically("<", before.fitMS-60))
			g.Expect(after.excessMS).To(BeNumerically("<", before.excessMS))
		})
	}
}

// A group with few streams has too few selections in a pass to plan from. It must still get a map after
// each shift: on a map that does not fit, passes are long, and so selections stay few.
func TestGroupWithFewSelectionsFollowsShifts(t *testing.T) {
	g := NewWithT(t)
	r := runShifts("32 ranks", 100, 4, false)
	t.Logf("%+v", r)
	g.Expect(r.plans).To(BeNumerically("<=", 1.5))
	g.Expect(r.longestFitMS).To(BeNumerically("<", 1000))
}

// observeSamples feeds a demand estimate one sample per 100 ms, each with the given passes and the
// selections of one pass per load vector.
type observeSamples struct {
	d    *demand
	rng  *rand.Rand
	now  time.Time
	step uint64
}

func newObserveSamples(experts int) *observeSamples {
	return &observeSamples{d: newDemand(experts), rng: rand.New(rand.NewPCG(5, 5)), now: time.Unix(1000, 0), step: 1}
}

// sample adds one sample that covers a pass of each of the loads. It reports whether a shift was detected.
func (o *observeSamples) sample(loads ...[]float64) bool {
	counts := make([]float64, len(loads[0]))
	for _, l := range loads {
		for e, load := range l {
			mean := simSelections * load
			counts[e] += max(mean+math.Sqrt(mean)*o.rng.NormFloat64(), 0)
		}
	}
	o.step += uint64(len(loads))
	o.now = o.now.Add(100 * time.Millisecond)
	o.d.setSteps(o.step, o.step)
	o.d.roundTime = roundInterval
	o.d.observe(o.now, counts)
	return o.d.detectShift(nil, nil)
}

// twoDemands returns two demands of which half is the same, with a mean load of 1.
func twoDemands(experts int) (before, after []float64) {
	s := &shiftSim{rng: rand.New(rand.NewPCG(8, 8)), model: &serving.EngineModel{LayerSets: 1, Experts: experts}}
	s.truth = s.drawDemand()
	before = s.truth
	s.shift()
	return before, s.truth
}

// The shift falls between passes that one round collects together. No plan may use that mixture; the
// next sample must replace it, and must not count as another shift.
func TestMixedSampleIsNotPlannedFrom(t *testing.T) {
	before, after := twoDemands(96)
	for name, c := range map[string]struct {
		mixture  [][]float64
		detected bool // the mixture differs enough to show the shift
	}{
		"half":       {[][]float64{before, after}, false},
		"two thirds": {[][]float64{before, after, after}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o := newObserveSamples(96)
			for range 10 {
				g.Expect(o.sample(before)).To(BeFalse())
				g.Expect(o.d.isSettled(o.now)).To(BeTrue())
			}
			g.Expect(o.sample(c.mixture...)).To(Equal(c.detected))
			g.Expect(o.d.isSettled(o.now)).To(BeFalse(), "the sample may be a mixture")
			g.Expect(o.sample(after)).To(Equal(!c.detected))
			g.Expect(o.d.isSettled(o.now)).To(BeTrue())
			g.Expect(compareLoads(o.d.loads(), after).difference).To(BeNumerically("<", 0.01))
			for range 10 {
				g.Expect(o.sample(after)).To(BeFalse())
			}
		})
	}
}

// A sample that covers a single pass is of one demand. Waiting for another one would delay the plan by
// a pass while passes are longest.
func TestSinglePassAfterShiftIsPlannedFromAtOnce(t *testing.T) {
	g := NewWithT(t)
	before, after := twoDemands(96)
	o := newObserveSamples(96)
	for range 10 {
		o.sample(before)
	}
	g.Expect(o.sample(after)).To(BeTrue())
	g.Expect(o.d.isSettled(o.now)).To(BeTrue())
	g.Expect(compareLoads(o.d.loads(), after).difference).To(BeNumerically("<", 0.01))
}

// After a shift no further sample arrives, for example because agents do not answer. Plans must not
// wait for it for longer than a pass.
func TestPlansWaitForASecondSampleOnlyBriefly(t *testing.T) {
	g := NewWithT(t)
	before, after := twoDemands(96)
	o := newObserveSamples(96)
	for range 10 {
		o.sample(before)
	}
	g.Expect(o.sample(after, after)).To(BeTrue())
	g.Expect(o.d.isSettled(o.now)).To(BeFalse())
	g.Expect(o.d.isSettled(o.now.Add(settleTimeout))).To(BeTrue())
}

// With nearly uniform demand, most of the variation between experts is chance. It must not count as a
// shift: each one would restart the estimate from a single noisy sample.
func TestUniformDemandDoesNotShift(t *testing.T) {
	g := NewWithT(t)
	uniform := make([]float64, 96)
	for e := range uniform {
		uniform[e] = 1
	}
	o := newObserveSamples(96)
	for range 200 {
		g.Expect(o.sample(uniform)).To(BeFalse())
	}
}

// Selections of one stream resemble each other, so chance is greater than that of independent selections,
// most of all in a group with few streams. It must not count as a shift.
func TestFewDependentSelectionsAreNoShift(t *testing.T) {
	g := NewWithT(t)
	before, _ := twoDemands(96)
	o := newObserveSamples(96)
	for range 200 {
		counts := make([]float64, len(before))
		for e, load := range before {
			mean := 60 * (0.7 + 0.3*load)
			counts[e] = max(mean+2*math.Sqrt(mean)*o.rng.NormFloat64(), 0)
		}
		o.step++
		o.now = o.now.Add(100 * time.Millisecond)
		o.d.setSteps(o.step, o.step)
		o.d.observe(o.now, counts)
		g.Expect(o.d.detectShift(nil, nil)).To(BeFalse())
	}
}
