package route

import (
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/result"
)

// RetryBudget allows retries as a share of requests, so that a service that
// fails as a whole gets little more load than its callers send. The zero value
// is the budget of a service without traffic so far.
type RetryBudget struct {
	tokens float64 // may go down to -retryOverdraft
}

const (
	// retryBurst bounds the retries saved up in quiet times: enough for what was in
	// flight on one target that dies, too few to be felt in a full outage.
	retryBurst = 20
	// retryOverdraft lets the first failures of a service with little traffic be
	// retried; later requests pay it back.
	retryOverdraft = 3
)

// RecordRequest books one request of a caller.
func (b *RetryBudget) RecordRequest(share float64) {
	b.tokens = min(b.tokens+share, retryBurst)
}

// TakeRetry books one retry; false if the budget is spent.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens-1 < -retryOverdraft {
		return false
	}
	b.tokens--
	return true
}

// Backoff bounds of retries.
const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = time.Second
)

// Backoff returns how long to wait before retry n (from zero): anything up to a
// bound that doubles, so that entries which failed together don't return
// together.
func Backoff(n int, rng *rand.Rand) time.Duration {
	bound := min(backoffBase<<min(n, 16), backoffMax)
	return time.Duration(rng.Int64N(int64(bound)))
}

// RetryRule says what a failed try allows.
type RetryRule uint8

// Rules for a failed try.
const (
	RetryNever    RetryRule = iota
	RetryBudgeted           // a retry costs budget and waits
	RetryFree               // the try cost its target nothing; go elsewhere at once
)

// RetryRuleFor decides about a failed try. A request that may not be repeated is
// sent again only with proof that the try did not run, or, to the same home,
// after a lost connection: the home knows the key, so the repeat joins the first
// run and can't become a second one.
func RetryRuleFor(code result.Code, repeatable bool) RetryRule {
	switch code {
	case result.TargetLeaving:
		if repeatable { // a home that leaves has no substitute yet
			return RetryFree
		}
	case result.StaleAgent, result.TargetIsolated, result.WaitTooLong:
		return RetryFree
	case result.NoTarget, result.Unreachable, result.TargetBusy:
		if repeatable { // a home that is away has no substitute either
			return RetryBudgeted
		}
	case result.StaleVersion:
		return RetryBudgeted
	case result.WireClosed, result.TargetLost:
		return RetryBudgeted
	case result.EngineLost, result.AnswerBroken, result.WireSequence, result.WireDigest, result.SuspectHeld:
		if repeatable {
			return RetryBudgeted
		}
	}
	return RetryNever
}

// IsTargetFault tells whether a result speaks against the health of the target
// that gave it. Slowness does not: a slow target is not dead.
func IsTargetFault(code result.Code) bool {
	switch code {
	case result.EngineLost, result.TargetLost, result.WireClosed, result.Unreachable, result.AnswerBroken,
		result.WireSequence, result.WireDigest:
		return true
	}
	return false
}
