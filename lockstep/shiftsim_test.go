package lockstep

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

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
