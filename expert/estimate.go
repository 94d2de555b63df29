package expert

import "math"

// LoadEstimator smooths loads that arrive late, with gaps, and noisy. The weight of
// what it knew halves with each HalfLifeSeconds without a report, so that after a gap
// the newest report counts for more.
type LoadEstimator struct {
	HalfLifeSeconds float64 // seconds
	TrendShare      float64 // share of the observed slope that Forecast carries on; 0: none

	level []float64
	slope []float64 // a second
	at    float64
	seen  bool
}

// Observe takes loads that were measured at a time in seconds. Late ones, older
// than what is known, are left out.
func (e *LoadEstimator) Observe(at float64, loads []float64) {
	if !e.seen || len(e.level) != len(loads) {
		e.level = append([]float64(nil), loads...)
		e.slope = make([]float64, len(loads))
		e.at, e.seen = at, true
		return
	}
	dt := at - e.at
	if dt <= 0 {
		return
	}
	gain := 1 - math.Exp2(-dt/e.HalfLifeSeconds)
	for i, v := range loads {
		old := e.level[i]
		ahead := old + e.TrendShare*e.slope[i]*dt
		e.level[i] = ahead + gain*(v-ahead)
		if e.TrendShare > 0 {
			e.slope[i] += gain * gain * ((e.level[i]-old)/dt - e.slope[i])
		}
	}
	e.at = at
}

// Forecast returns the loads expected at a time; the slice is appended to buf.
func (e *LoadEstimator) Forecast(at float64, buf []float64) []float64 {
	dt := max(0, at-e.at)
	for i, v := range e.level {
		buf = append(buf, max(0, v+e.TrendShare*e.slope[i]*dt))
	}
	return buf
}

// HasLoads reports whether any loads have been observed.
func (e *LoadEstimator) HasLoads() bool { return e.seen }

// SpeedEstimator learns how fast ranks compute, from the time that each spent computing
// before the barrier. In lock-step all ranks look equally slow from outside.
type SpeedEstimator struct {
	Gain float64 // share of a new observation; 0: defaultSpeedGain

	speed []float64
	slow  []int // consecutive observations below StragglerSpeed
}

const (
	defaultSpeedGain = 0.2
	// StragglerSpeed is the speed below which a rank counts as slow.
	StragglerSpeed = 0.9
	// slowFor is how many observations make a rank a straggler to report: a burst
	// or a collector's pause is shorter.
	slowFor = 5
	// fastest and slowest bound what one odd report can claim.
	fastestSpeed = 2.0
	slowestSpeed = 0.05
)

// Observe takes each rank's tokens and seconds of computing; ranks with zero of
// either are left as they are.
func (s *SpeedEstimator) Observe(tokens, seconds []float64) {
	if len(s.speed) != len(tokens) {
		s.speed = make([]float64, len(tokens))
		s.slow = make([]int, len(tokens))
		for r := range s.speed {
			s.speed[r] = 1
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
	usual := median(rates)
	gain := s.Gain
	if gain == 0 {
		gain = defaultSpeedGain
	}
	for r := range tokens {
		if tokens[r] <= 0 || seconds[r] <= 0 {
			continue
		}
		v := min(max(tokens[r]/seconds[r]/usual, slowestSpeed), fastestSpeed)
		s.speed[r] += gain * (v - s.speed[r])
		if s.speed[r] < StragglerSpeed {
			s.slow[r]++
		} else {
			s.slow[r] = 0
		}
	}
}

// RankSpeeds returns the speeds, 1 being the median; nil before the first observation.
func (s *SpeedEstimator) RankSpeeds() []float64 { return s.speed }

// Stragglers returns the ranks that have been slow for long: give them less, and
// suggest to replace them.
func (s *SpeedEstimator) Stragglers() []int {
	var ranks []int
	for r, n := range s.slow {
		if n >= slowFor {
			ranks = append(ranks, r)
		}
	}
	return ranks
}
