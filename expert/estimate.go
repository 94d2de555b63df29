package expert

import "math"

// LoadEstimator smooths expert loads that are reported late, with gaps and with noise. The weight of
// earlier reports halves with each HalfLifeSeconds since the last one, so the first report after a
// gap has a higher weight.
type LoadEstimator struct {
	HalfLifeSeconds float64
	TrendShare      float64 // share of the observed slope that Forecast extrapolates; 0: none

	level      []float64
	slope      []float64 // change of level per second
	observedAt float64
	hasLoads   bool
}

// Observe adds loads that were measured at the time at, in seconds. It ignores loads that are not
// newer than the last ones.
func (e *LoadEstimator) Observe(at float64, loads []float64) {
	if !e.hasLoads || len(e.level) != len(loads) {
		e.level = append([]float64(nil), loads...)
		e.slope = make([]float64, len(loads))
		e.observedAt, e.hasLoads = at, true
		return
	}
	elapsed := at - e.observedAt
	if elapsed <= 0 {
		return
	}
	gain := 1 - math.Exp2(-elapsed/e.HalfLifeSeconds)
	for i, v := range loads {
		oldLevel := e.level[i]
		predicted := oldLevel + e.TrendShare*e.slope[i]*elapsed
		e.level[i] = predicted + gain*(v-predicted)
		if e.TrendShare > 0 {
			e.slope[i] += gain * gain * ((e.level[i]-oldLevel)/elapsed - e.slope[i])
		}
	}
	e.observedAt = at
}

// Forecast appends to buf the loads that are expected at the time at, in seconds.
func (e *LoadEstimator) Forecast(at float64, buf []float64) []float64 {
	elapsed := max(0, at-e.observedAt)
	for i, v := range e.level {
		buf = append(buf, max(0, v+e.TrendShare*e.slope[i]*elapsed))
	}
	return buf
}

// HasLoads reports whether any loads have been observed.
func (e *LoadEstimator) HasLoads() bool { return e.hasLoads }

// SpeedEstimator estimates the speeds of ranks from the time that each rank computes before the
// barrier. Step times cannot be used: in lock-step they are the same for all ranks.
type SpeedEstimator struct {
	Gain float64 // weight of a new observation; 0: defaultSpeedGain

	speeds           []float64
	slowObservations []int // by rank: number of consecutive observations with a speed below StragglerSpeed
}

const (
	defaultSpeedGain = 0.2
	// StragglerSpeed is the relative speed below which a rank counts as slow.
	StragglerSpeed = 0.9
	// stragglerObservations is the number of consecutive slow observations that make a rank a
	// straggler. Bursts and garbage collection pauses are shorter.
	stragglerObservations = 5
	// maxSpeed and minSpeed bound the effect of a single wrong report.
	maxSpeed = 2.0
	minSpeed = 0.05
)

// Observe adds the number of tokens and the seconds of computing of each rank. The speeds of ranks
// with zero tokens or seconds do not change.
func (s *SpeedEstimator) Observe(tokens, seconds []float64) {
	if len(s.speeds) != len(tokens) {
		s.speeds = make([]float64, len(tokens))
		s.slowObservations = make([]int, len(tokens))
		for r := range s.speeds {
			s.speeds[r] = 1
		}
	}
	rates := make([]float64, 0, len(tokens))
	for r := range tokens {
		if tokens[r] > 0 && seconds[r] > 0 {
			rates = append(rates, tokens[r]/seconds[r])
		}
	}
	if len(rates) == 0 {
		return
	}
	medianRate := median(rates)
	gain := s.Gain
	if gain == 0 {
		gain = defaultSpeedGain
	}
	for r := range tokens {
		if tokens[r] <= 0 || seconds[r] <= 0 {
			continue
		}
		speed := min(max(tokens[r]/seconds[r]/medianRate, minSpeed), maxSpeed)
		s.speeds[r] += gain * (speed - s.speeds[r])
		if s.speeds[r] < StragglerSpeed {
			s.slowObservations[r]++
		} else {
			s.slowObservations[r] = 0
		}
	}
}

// RankSpeeds returns the speeds of the ranks relative to the median, or nil before the first
// observation.
func (s *SpeedEstimator) RankSpeeds() []float64 { return s.speeds }

// Stragglers returns the ranks that have been slow in each of the last stragglerObservations
// observations. They should get less load, and their VMs should be replaced.
func (s *SpeedEstimator) Stragglers() []int {
	var ranks []int
	for r, n := range s.slowObservations {
		if n >= stragglerObservations {
			ranks = append(ranks, r)
		}
	}
	return ranks
}
