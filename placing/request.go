// Package placing decides to which target each request is sent and when: how many requests a target
// takes, and which requests wait, are admitted or are refused. It uses no sockets and no clock:
// times are arguments, so tests and the load bench run the same decisions in virtual time.
//
// An entry is a load balancer process that callers connect to. The targets of a service with model
// engines are the ranks of one or more groups; the ranks of a group run each forward pass together.
// The expert map of a group assigns the experts of the model to its ranks.
package placing

import "time"

// Request is the part of a request that placement decisions depend on.
type Request struct {
	Arrived          time.Time
	Priority         int           // 0 is the most urgent
	LatencyObjective time.Duration // objective for the time from arrival to the first event; 0: none
	MaxWait          time.Duration // maximum time that the request may spend in the admission queue
	Size             Size
	ExpectedEvents   float64   // estimated number of events in the response; 0: unknown
	Deadline         time.Time // when the caller gives up; zero: never

	// AvoidRateLimited excludes targets with a rate limit.
	AvoidRateLimited bool
	// Requeued: the request was admitted before and not sent, so it counts neither as an arrival
	// nor as an admission.
	Requeued bool

	placedAt   time.Time // when the request was granted a target
	placedLate bool      // the request was already late at placedAt
}

// Size is the work that a request requires of a model engine.
type Size struct {
	PromptTokens float64 // tokens to prefill
	OutputTokens float64 // estimated tokens to decode
}

// queueTimeShare is the share of the latency objective that a request may spend in the admission
// queue. The rest is what engines need for the first event at usual load.
const queueTimeShare = 0.5

// isOnTime reports whether a waiting request can still have its first event within its latency
// objective.
func (r *Request) isOnTime(now time.Time) bool {
	return r.LatencyObjective == 0 || now.Sub(r.Arrived) < r.MaxOnTimeWait()
}

// CanWait reports whether the request may wait in the admission queue for a further time.
func (r *Request) CanWait(wait time.Duration, now time.Time) bool {
	return now.Add(wait).Before(r.Arrived.Add(r.MaxWait))
}

// MaxOnTimeWait returns how long the request may wait for a target and still be on time.
func (r *Request) MaxOnTimeWait() time.Duration {
	return time.Duration(float64(r.LatencyObjective) * queueTimeShare)
}
