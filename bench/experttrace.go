package bench

import (
	"math"
	"math/rand/v2"

	"github.com/heatherrail/heatherrail/expert"
)

// ExpertTrace generates the loads of a rank group over half a day: popularity after
// Zipf, drift with the time of day, bursts, changes of the menu, and one slow rank.
type ExpertTrace struct {
	Shape   expert.Shape
	Periods int
	Seconds float64 // of one period

	rng    *rand.Rand
	base   []float64
	phase  []float64
	swing  []float64
	burst  []int // periods that a burst still lasts
	period int
}

// What the traces assume.
const (
	day             = 24 * 3600.0
	zipfLeast       = 0.4 // exponent of the evenest layer
	zipfMost        = 0.8
	dailySwing      = 0.35 // of the logarithm of a load, at most
	menuChanges     = 3    // in the trace
	menuShare       = 0.15 // of a layer's experts that trade places
	burstChance     = 0.01 // a period and layer
	burstFactor     = 2.5
	burstPeriods    = 6
	reportNoise     = 0.02 // standard deviation of a reported load, before rounding, relative
	reportLoss      = 0.1  // of reports never arrive
	slowRankSpeed   = 0.8
	tokensOfStep    = 4096.0
	expertMegabytes = 24
)

// NewExpertTrace returns a trace of half a day.
func NewExpertTrace(s expert.Shape, seconds float64, seed uint64) *ExpertTrace {
	n := s.Layers * s.Experts
	t := &ExpertTrace{
		Shape:   s,
		Periods: int(day / 2 / seconds),
		Seconds: seconds,
		rng:     rand.New(rand.NewPCG(seed, uint64(s.Ranks))),
		base:    make([]float64, n),
		phase:   make([]float64, n),
		swing:   make([]float64, n),
		burst:   make([]int, n),
	}
	for l := range s.Layers {
		exponent := zipfLeast + t.rng.Float64()*(zipfMost-zipfLeast)
		for rank, e := range t.rng.Perm(s.Experts) {
			t.base[l*s.Experts+e] = math.Pow(float64(rank+1), -exponent)
		}
	}
	for i := range t.phase {
		t.phase[i] = t.rng.Float64() * 2 * math.Pi
		t.swing[i] = t.rng.Float64() * dailySwing
	}
	return t
}

// Next moves on one period and writes its true loads, in tokens of a step.
func (t *ExpertTrace) Next(loads []float64) []float64 {
	s := t.Shape
	t.period++
	if every := t.Periods / (menuChanges + 1); t.period%every == 0 {
		t.changeMenu()
	}
	angle := 2 * math.Pi * float64(t.period) * t.Seconds / day
	loads = loads[:0]
	for l := range s.Layers {
		if t.rng.Float64() < burstChance {
			t.burst[l*s.Experts+t.rng.IntN(s.Experts)] = burstPeriods
		}
		total := 0.0
		for e := range s.Experts {
			i := l*s.Experts + e
			v := t.base[i] * math.Exp(t.swing[i]*math.Sin(angle+t.phase[i]))
			if t.burst[i] > 0 {
				t.burst[i]--
				v *= burstFactor
			}
			loads = append(loads, v)
			total += v
		}
		for e := range s.Experts {
			loads[l*s.Experts+e] *= tokensOfStep / total
		}
	}
	return loads
}

func (t *ExpertTrace) changeMenu() {
	s := t.Shape
	for l := range s.Layers {
		for range int(menuShare * float64(s.Experts) / 2) {
			a, b := l*s.Experts+t.rng.IntN(s.Experts), l*s.Experts+t.rng.IntN(s.Experts)
			t.base[a], t.base[b] = t.base[b], t.base[a]
		}
	}
}

// Lost reports whether a period's reports never arrive.
func (t *ExpertTrace) Lost() bool { return t.rng.Float64() < reportLoss }

// Report returns what an owner hears of true loads from the ranks under a map:
// noisy, and rounded as the ranks' reports are.
func (t *ExpertTrace) Report(m *expert.Map, loads []float64) []float64 {
	heard := make([]float64, len(loads))
	split := m.SplitLoads(loads)
	for r := range m.Shape.Ranks {
		slots := m.RankLoads(r, split)
		for i := range slots {
			slots[i] *= max(0, 1+reportNoise*t.rng.NormFloat64())
		}
		m.AddRankLoads(r, expert.DecodeLoads(expert.EncodeLoads(slots)), heard)
	}
	return heard
}

// Speeds returns the true speeds: one rank is slow in the middle third of the trace.
func (t *ExpertTrace) Speeds() []float64 {
	v := make([]float64, t.Shape.Ranks)
	for r := range v {
		v[r] = 1
	}
	if t.period > t.Periods/3 && t.period <= 2*t.Periods/3 {
		v[t.Shape.Ranks/2] = slowRankSpeed
	}
	return v
}
