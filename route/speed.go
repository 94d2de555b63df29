package route

import "time"

// SpeedEstimator learns how fast an engine is from what its agent sees.
type SpeedEstimator struct {
	first    line    // time to the first token by the prompt tokens up to it
	decode   float64 // tokens a second and busy slot
	answer   float64 // tokens of an answer, mean
	window   time.Duration
	tokens   float64 // generated in the current window
	slotTime float64 // slots x seconds of the current window
	last     time.Duration
}

// line is a base and a slope through observations, older ones counting less. The
// quotient of time and tokens would not do: each first token takes a step at
// least, so an engine with much work before it would look faster than an idle one
// and draw still more work. Nor would a fit of both at once: where all
// observations are alike it can give any base, and a target that looks slow by
// chance gets no work by which it could show that it is not.
type line struct {
	base   float64 // close to the shortest time seen
	xx, xy float64
}

func (l *line) learn(x, y float64) {
	switch {
	case l.base == 0 || y < l.base:
		l.base = y
	default:
		l.base += baseStep * (y - l.base)
	}
	l.xx = l.xx*lineMemory + x*x
	l.xy = l.xy*lineMemory + x*max(0, y-l.base)
}

// fit returns the base and the slope; 0, 0: unknown.
func (l *line) fit() (float64, float64) {
	if l.xx == 0 || l.xy == 0 {
		return 0, 0
	}
	return l.base, l.xy / l.xx
}

const (
	lineMemory = 0.98  // so about 50 requests count
	baseStep   = 0.002 // how fast the base forgets a short time
)

const (
	speedStep   = 0.1 // weight of a new observation
	speedWindow = time.Second
)

func learn(old *float64, seen float64) {
	if *old == 0 {
		*old = seen
		return
	}
	*old += speedStep * (seen - *old)
}

// RecordFirstToken takes the time from the start of a request in the engine to its
// first token, and the prompt tokens, its own included, that were before it.
func (s *SpeedEstimator) RecordFirstToken(ahead float64, took time.Duration) {
	if took <= 0 || ahead <= 0 {
		return
	}
	seen := took.Seconds()
	if base, slope := s.first.fit(); slope > 0 {
		seen = min(seen, surprise*(base+slope*ahead))
	}
	s.first.learn(ahead, seen)
}

// surprise bounds how much worse than expected one observation may be. An engine
// that stalls for a minute and recovers would else look hundreds of times too slow
// and get no work by which it could show that it is not; a slow engine is still
// learnt within a few dozen requests.
const surprise = 4

// RecordRunning takes the state until now: how many of the slots were busy and how many
// tokens were generated since the last call. now grows from any origin.
func (s *SpeedEstimator) RecordRunning(now time.Duration, busy int, tokens float64) {
	d := now - s.last
	s.last = now
	s.window += d
	s.tokens += tokens
	s.slotTime += float64(busy) * d.Seconds()
	if s.window < speedWindow {
		return
	}
	// A window without any token is a stall, not a speed.
	if s.slotTime > 0 && s.tokens > 0 {
		learn(&s.decode, max(s.tokens/s.slotTime, s.decode/surprise))
	}
	s.window, s.tokens, s.slotTime = 0, 0, 0
}

// RecordAnswer takes the length of a finished answer in tokens.
func (s *SpeedEstimator) RecordAnswer(tokens float64) { learn(&s.answer, tokens) }

// Prefill returns the seconds to a first token that do not depend on prompts, and
// the prompt tokens a second; zero: unknown.
func (s *SpeedEstimator) Prefill() (base, perSec float64) {
	base, slope := s.first.fit()
	if slope <= 0 {
		return 0, 0
	}
	return base, 1 / slope
}

// TokensPerSec returns the decode speed with all slots busy; 0: unknown.
func (s *SpeedEstimator) TokensPerSec(slots int) float64 { return s.decode * float64(slots) }

// AnswerTokens returns the mean length of answers; 0: unknown.
func (s *SpeedEstimator) AnswerTokens() float64 { return s.answer }
