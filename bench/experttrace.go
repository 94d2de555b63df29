package bench

import (
	"math"
	"math/rand/v2"

	"github.com/heatherrail/heatherrail/expert"
)

// ExpertTrace generates the expert loads of a rank group over half a day: Zipf-distributed
// popularity, drift with the time of day, bursts, abrupt popularity changes and a period with
// one slow rank.
type ExpertTrace struct {
	Shape         expert.Shape
	Periods       int
	PeriodSeconds float64

	rng              *rand.Rand
	basePopularity   []float64
	phase            []float64
	amplitude        []float64
	burstPeriodsLeft []int // remaining periods of the burst of each expert
	period           int
}

// Parameters of the traces.
const (
	daySeconds         = 24 * 3600.0
	minZipfExponent    = 0.4 // Zipf exponent of the layer with the most even popularity
	maxZipfExponent    = 0.8
	maxDailyAmplitude  = 0.35 // largest amplitude of the drift with the time of day, in the natural logarithm of a load
	popularityChanges  = 3    // number of abrupt popularity changes in a trace, as from changes of the menu
	swappedExpertShare = 0.15 // share of the experts in a layer that swap popularities at a change
	burstProbability   = 0.01 // per period and layer
	burstFactor        = 2.5
	burstPeriods       = 6
	reportNoiseStdDev  = 0.02 // relative standard deviation of a reported load before rounding
	reportLossShare    = 0.1  // share of reports that never arrive
	slowRankSpeed      = 0.8
	tokensPerStep      = 4096.0
	expertMegabytes    = 24
)

// NewExpertTrace returns a trace of half a day with periods of the given length in seconds.
func NewExpertTrace(s expert.Shape, seconds float64, seed uint64) *ExpertTrace {
	n := s.Layers * s.Experts
	t := &ExpertTrace{
		Shape:            s,
		Periods:          int(daySeconds / 2 / seconds),
		PeriodSeconds:    seconds,
		rng:              rand.New(rand.NewPCG(seed, uint64(s.Ranks))),
		basePopularity:   make([]float64, n),
		phase:            make([]float64, n),
		amplitude:        make([]float64, n),
		burstPeriodsLeft: make([]int, n),
	}
	for l := range s.Layers {
		exponent := minZipfExponent + t.rng.Float64()*(maxZipfExponent-minZipfExponent)
		for rank, e := range t.rng.Perm(s.Experts) {
			t.basePopularity[l*s.Experts+e] = math.Pow(float64(rank+1), -exponent)
		}
	}
	for i := range t.phase {
		t.phase[i] = t.rng.Float64() * 2 * math.Pi
		t.amplitude[i] = t.rng.Float64() * maxDailyAmplitude
	}
	return t
}

// NextLoads advances to the next period. It returns the true load of each expert in tokens
// per step, and reuses the memory of loads.
func (t *ExpertTrace) NextLoads(loads []float64) []float64 {
	s := t.Shape
	t.period++
	if changeInterval := t.Periods / (popularityChanges + 1); t.period%changeInterval == 0 {
		t.swapPopularities()
	}
	angle := 2 * math.Pi * float64(t.period) * t.PeriodSeconds / daySeconds
	loads = loads[:0]
	for l := range s.Layers {
		if t.rng.Float64() < burstProbability {
			t.burstPeriodsLeft[l*s.Experts+t.rng.IntN(s.Experts)] = burstPeriods
		}
		total := 0.0
		for e := range s.Experts {
			i := l*s.Experts + e
			load := t.basePopularity[i] * math.Exp(t.amplitude[i]*math.Sin(angle+t.phase[i]))
			if t.burstPeriodsLeft[i] > 0 {
				t.burstPeriodsLeft[i]--
				load *= burstFactor
			}
			loads = append(loads, load)
			total += load
		}
		for e := range s.Experts {
			loads[l*s.Experts+e] *= tokensPerStep / total
		}
	}
	return loads
}

// swapPopularities exchanges the popularities of random pairs of experts in each layer.
func (t *ExpertTrace) swapPopularities() {
	s := t.Shape
	for l := range s.Layers {
		for range int(swappedExpertShare * float64(s.Experts) / 2) {
			a, b := l*s.Experts+t.rng.IntN(s.Experts), l*s.Experts+t.rng.IntN(s.Experts)
			t.basePopularity[a], t.basePopularity[b] = t.basePopularity[b], t.basePopularity[a]
		}
	}
}

// IsReportLost draws at random whether all load reports of a period are lost.
func (t *ExpertTrace) IsReportLost() bool { return t.rng.Float64() < reportLossShare }

// ReportedLoads returns the loads that the owner receives from the ranks under a map: with
// noise, and rounded as in the encoded reports.
func (t *ExpertTrace) ReportedLoads(m *expert.Map, loads []float64) []float64 {
	reported := make([]float64, len(loads))
	split := m.SplitLoads(loads)
	for r := range m.Shape.Ranks {
		slots := m.RankLoads(r, split)
		for i := range slots {
			slots[i] *= max(0, 1+reportNoiseStdDev*t.rng.NormFloat64())
		}
		m.AddRankLoads(r, expert.DecodeLoads(expert.EncodeLoads(slots)), reported)
	}
	return reported
}

// Speeds returns the true relative speed of each rank. One rank is slow in the middle third of
// the trace.
func (t *ExpertTrace) Speeds() []float64 {
	speeds := make([]float64, t.Shape.Ranks)
	for r := range speeds {
		speeds[r] = 1
	}
	if t.period > t.Periods/3 && t.period <= 2*t.Periods/3 {
		speeds[t.Shape.Ranks/2] = slowRankSpeed
	}
	return speeds
}
