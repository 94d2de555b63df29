package gateway

import (
	"sync"
	"time"
)

// retryBudget keeps the retries of one service within bounds that hold for all
// entries together, in every window. Each entry counts its own requests and
// retries and has an even part of the slack, so no two need to agree.
type retryBudget struct {
	bounds RetryBudget
	begun  time.Time
	mu     sync.Mutex
	slots  [budgetSlots]budgetSlot
}

func newRetryBudget(bounds RetryBudget, now time.Time) *retryBudget {
	return &retryBudget{bounds: bounds, begun: now}
}

type budgetSlot struct {
	number   int64 // counted from the budget's begin
	requests float64
	retries  float64
}

const (
	budgetSlots = 24   // 20 cover a window; the rest rounds up
	budgetParts = 20.0 // slots in a window
	// budgetUse is the part of the bound that is used: entries come and go, and
	// each has an older idea of how many there are.
	budgetUse = 0.8
)

func (b *retryBudget) slot(now time.Time) *budgetSlot {
	n := int64(now.Sub(b.begun) / (b.bounds.Window / budgetParts))
	s := &b.slots[n%budgetSlots]
	if s.number != n {
		*s = budgetSlot{number: n}
	}
	return s
}

// request books a caller's request.
func (b *retryBudget) request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(now).requests++
}

// take books a retry if the budget allows it; entries is the number of entries
// that share the slack.
func (b *retryBudget) take(now time.Time, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slot(now)
	var requests, retries float64
	for i := range b.slots {
		if s := &b.slots[i]; s.number > current.number-budgetSlots {
			requests += s.requests
			retries += s.retries
		}
	}
	limit := budgetUse * (b.bounds.Ratio*requests + b.bounds.Slack/float64(max(entries, 1)))
	if retries+1 > limit {
		return false
	}
	current.retries++
	return true
}
