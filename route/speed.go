package route

import "time"

// SpeedEstimator estimates the speed of an engine from the progress that its agent observes.
type SpeedEstimator struct {
	firstToken       lineFit // seconds to the first token, by the prompt tokens computed before it
	tokensPerSlotSec float64 // decode speed in tokens a second for each busy slot
	meanAnswerTokens float64
	window           time.Duration // length of the current window so far
	windowTokens     float64       // tokens generated in the current window
	slotSeconds      float64       // busy slots times seconds in the current window
	lastAt           time.Duration // time of the latest call of RecordRunning
}

// lineFit fits a base and a slope to observations with exponentially decaying weights.
//
// The quotient of time and tokens does not work as an estimate: each first token takes at
// least one step, so an engine with many prompts queued would look faster than an idle one
// and attract even more requests. A joint fit of base and slope does not work either: if
// all observations are similar, such a fit can return any base, and a target that looks
// slow by chance would get no requests that could correct the estimate.
type lineFit struct {
	base   float64 // base of the fit, close to the shortest time observed
	xx, xy float64 // decaying sums of x*x and of x*(y-base)
}

func (l *lineFit) add(x, y float64) {
	switch {
	case l.base == 0 || y < l.base:
		l.base = y
	default:
		l.base += baseRise * (y - l.base)
	}
	l.xx = l.xx*lineDecay + x*x
	l.xy = l.xy*lineDecay + x*max(0, y-l.base)
}

// fit returns the base and the slope, both 0 if unknown.
func (l *lineFit) fit() (float64, float64) {
	if l.xx == 0 || l.xy == 0 {
		return 0, 0
	}
	return l.base, l.xy / l.xx
}

const (
	lineDecay = 0.98  // weight of the earlier observations; it averages over about 50 requests
	baseRise  = 0.002 // part of the difference by which the base rises towards a longer time
)

const (
	speedWeight = 0.1 // weight of a new observation of a speed or length in its mean
	speedWindow = time.Second
)

// updateMean moves an exponential moving average towards an observation.
func updateMean(mean *float64, observed float64) {
	if *mean == 0 {
		*mean = observed
		return
	}
	*mean += speedWeight * (observed - *mean)
}

// RecordFirstToken records the time from the start of a request in the engine to its first
// token, and how many prompt tokens the engine had to compute before it, its own included.
func (s *SpeedEstimator) RecordFirstToken(promptTokens float64, elapsed time.Duration) {
	if elapsed <= 0 || promptTokens <= 0 {
		return
	}
	observed := elapsed.Seconds()
	if base, slope := s.firstToken.fit(); slope > 0 {
		observed = min(observed, maxOutlierFactor*(base+slope*promptTokens))
	}
	s.firstToken.add(promptTokens, observed)
}

// maxOutlierFactor bounds how much slower than the estimate one observation counts. Without
// it an engine that stalls for a minute and recovers would look hundreds of times too slow
// and get no requests that could correct the estimate. The estimate still follows an engine
// that has become slow within a few dozen requests.
const maxOutlierFactor = 4

// RecordRunning records how many slots were busy and how many tokens were generated since
// the last call. now is the time since an arbitrary origin.
func (s *SpeedEstimator) RecordRunning(now time.Duration, busySlots int, tokens float64) {
	elapsed := now - s.lastAt
	s.lastAt = now
	s.window += elapsed
	s.windowTokens += tokens
	s.slotSeconds += float64(busySlots) * elapsed.Seconds()
	if s.window < speedWindow {
		return
	}
	// A window without any token is a stall and says nothing about the speed.
	if s.slotSeconds > 0 && s.windowTokens > 0 {
		updateMean(&s.tokensPerSlotSec, max(s.windowTokens/s.slotSeconds, s.tokensPerSlotSec/maxOutlierFactor))
	}
	s.window, s.windowTokens, s.slotSeconds = 0, 0, 0
}

// RecordAnswer records the length of a complete answer in tokens.
func (s *SpeedEstimator) RecordAnswer(tokens float64) { updateMean(&s.meanAnswerTokens, tokens) }

// Prefill returns the part of the time to a first token that does not depend on prompts, in
// seconds, and the prefill speed in prompt tokens a second. Both are 0 if unknown.
func (s *SpeedEstimator) Prefill() (base, perSec float64) {
	base, slope := s.firstToken.fit()
	if slope <= 0 {
		return 0, 0
	}
	return base, 1 / slope
}

// TokensPerSec returns the decode speed with the given number of busy slots; 0: unknown.
func (s *SpeedEstimator) TokensPerSec(slots int) float64 { return s.tokensPerSlotSec * float64(slots) }

// AnswerTokens returns the mean length of answers in tokens; 0: unknown.
func (s *SpeedEstimator) AnswerTokens() float64 { return s.meanAnswerTokens }
