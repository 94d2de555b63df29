package route

import (
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/result"
)

// RetryBudget limits retries to a share of requests, so that a service that fails as a
// whole gets little more load than its callers send. The zero value is the budget of a
// service without traffic so far.
type RetryBudget struct {
	tokens float64 // retries saved for later; at least -maxOverdraft
}

const (
	// maxSavedRetries bounds the retries that accumulate without failures: enough for the
	// requests in flight at one target that crashes, too few to add noticeable load in a
	// full outage.
	maxSavedRetries = 20
	// maxOverdraft allows the first failures of a service with little traffic to be
	// retried. Later requests repay it.
	maxOverdraft = 3
)

// RecordRequest adds the share of a retry that one request earns.
func (b *RetryBudget) RecordRequest(share float64) {
	b.tokens = min(b.tokens+share, maxSavedRetries)
}

// TakeRetry takes one retry from the budget. It returns false if the budget is spent.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens-1 < -maxOverdraft {
		return false
	}
	b.tokens--
	return true
}

const (
	backoffBase = 10 * time.Millisecond
	maxBackoff  = time.Second
)

// Backoff returns the backoff before retry n, counted from zero: a random time up to a
// bound that doubles with n. Full jitter keeps entries whose requests failed together
// from retrying together.
func Backoff(n int, rng *rand.Rand) time.Duration {
	bound := min(backoffBase<<min(n, 16), maxBackoff)
	return time.Duration(rng.Int64N(int64(bound)))
}

// RetryRule is the rule for a retry after a failed attempt.
type RetryRule uint8

// Rules for a retry after a failed attempt.
const (
	RetryNever    RetryRule = iota
	RetryBudgeted           // retry after a backoff, if the retry budget allows it
	RetryFree               // the attempt cost its target nothing; retry elsewhere at once
)

// RetryRuleFor returns the rule for a failed attempt with a result code. A
// non-repeatable request is retried only if it is certain that the attempt did not run,
// or at the same home (the one target that may run it) after a lost connection: the
// home has the key in its deduplication table, so the retry joins the first run and
// can't become a second one.
func RetryRuleFor(code result.Code, repeatable bool) RetryRule {
	switch code {
	case result.TargetLeaving:
		if repeatable { // a home that leaves has no replacement yet
			return RetryFree
		}
	case result.StaleAgent, result.TargetIsolated, result.WaitTooLong:
		return RetryFree
	case result.NoTarget, result.Unreachable, result.TargetBusy:
		if repeatable { // an unavailable home has no replacement either
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

// IsTargetFault reports whether a result code counts as a failure of the target for outlier
// detection. Timeouts do not count: a slow target is not a failed one.
func IsTargetFault(code result.Code) bool {
	switch code {
	case result.EngineLost, result.TargetLost, result.WireClosed, result.Unreachable, result.AnswerBroken,
		result.WireSequence, result.WireDigest:
		return true
	}
	return false
}
