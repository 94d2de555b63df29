package serving

import "time"

// Answer is what the header of a target's response states about the request and about the target.
type Answer struct {
	NotRun  bool   // the target did not run the request
	FaultAt string // target that caused the failure; empty: not stated
	// Instance is the id of the target that answered, where the response states it; empty: not stated.
	Instance string
	Sealed   bool // the response carries the proof that it comes from the target itself
	// RateLimit is the number of requests a second that the target accepts from all entries
	// together; NoRateLimit if it states none.
	RateLimit float64
	// RateLimitInvalid means that the target states a rate limit that cannot be read.
	RateLimitInvalid bool
	// Rest is how long the target wants no more requests from this entry; 0: it does not ask
	// for rest.
	Rest time.Duration
	// RetryAfter is the target's hint to a caller whose request it rejects; 0: none.
	RetryAfter time.Duration
	Leaving    bool // the target is leaving and must get no new requests
}

// NoRateLimit is the rate of a target that states no rate limit.
const NoRateLimit = -1
