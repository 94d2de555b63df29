// Package placing decides which target each request goes to, and when: how many
// requests a target takes, who waits, who goes first and who is refused. It knows
// no sockets and reads no clock: times are arguments, so the same decisions are
// played in virtual time by tests and by the load bench.
package placing

import "time"

// Request is what a decision needs to know of a request.
type Request struct {
	Arrived          time.Time
	Priority         int           // 0 is the most urgent
	LatencyObjective time.Duration // for the first event; 0: none
	MaxWait          time.Duration // that the request may wait for a target
	Size             Size
	ExpectedEvents   float64   // that its answer has, as far as can be told; 0: not known
	Deadline         time.Time // the caller leaves then; zero: never

	// AvoidRateLimited: it goes to no target that names a rate.
	AvoidRateLimited bool
	// Requeued: it was admitted before and not sent, so it counts neither as coming nor as admitted.
	Requeued bool

	placed time.Time // when it got its place
	late   bool      // it was late already then
}

// Size is the work that a request asks of a model engine.
type Size struct {
	PromptTokens float64 // tokens to read
	OutputTokens float64 // tokens to write, as far as can be told
}

// inTimeShare of the aim for the first event may pass at the gate; the rest is what
// engines take for it at usual load.
const inTimeShare = 0.5

// inTime tells whether a request that waits can still have its first event in time.
func (r *Request) inTime(now time.Time) bool {
	return r.LatencyObjective == 0 || now.Sub(r.Arrived) < r.MaxOnTimeWait()
}

// MaxOnTimeWait is how long the request may wait for a target and still be in time.
func (r *Request) MaxOnTimeWait() time.Duration {
	return time.Duration(float64(r.LatencyObjective) * inTimeShare)
}
