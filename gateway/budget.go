package gateway

import (
	"sync"
	"time"
)

// retryBudget limits the retries of one service over all entries together, within every window.
// Each entry counts only its own requests and retries and uses an even share of the slack
// (RetryBudget.Slack), so entries need no coordination.
type retryBudget struct {
	bounds    RetryBudget
	startedAt time.Time
	mu        sync.Mutex
	slots     [budgetSlotCount]budgetSlot
}

func newRetryBudget(bounds RetryBudget, now time.Time) *retryBudget {
	return &retryBudget{bounds: bounds, startedAt: now}
}

type budgetSlot struct {
	number   int64 // index of the time slot, counted from startedAt
	requests float64
	retries  float64
}

const (
	budgetSlotCount      = 24 // 20 slots cover a window; with the others, all slots together always cover at least a window
	budgetSlotsPerWindow = 20.0
	// budgetUtilization is the share of the budget that is used. It leaves a margin because entries
	// come and go, and an entry's count of the other entries may be outdated.
	budgetUtilization = 0.8
)

func (b *retryBudget) currentSlot(now time.Time) *budgetSlot {
	n := int64(now.Sub(b.startedAt) / (b.bounds.Window / budgetSlotsPerWindow))
	s := &b.slots[n%budgetSlotCount]
	if s.number != n {
		*s = budgetSlot{number: n}
	}
	return s
}

// recordRequest counts a request of a caller.
func (b *retryBudget) recordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentSlot(now).requests++
}

// tryAcquire counts a retry and returns true if the budget allows it. entries is the number of
// entries that share the slack.
func (b *retryBudget) tryAcquire(now time.Time, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentSlot(now)
	var requests, retries float64
	for i := range b.slots {
		if s := &b.slots[i]; s.number > current.number-budgetSlotCount {
			requests += s.requests
			retries += s.retries
		}
	}
	limit := budgetUtilization * (b.bounds.Ratio*requests + b.bounds.Slack/float64(max(entries, 1)))
	if retries+1 > limit {
		return false
	}
	current.retries++
	return true
}
