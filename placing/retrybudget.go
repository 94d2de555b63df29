package placing

import (
	"sync"
	"time"
)

// RetryBounds limit the retries of a service over all entries together: in no window may more attempts
// beyond the first of their request reach targets than Ratio times the requests, plus Slack. Requests count in that
// window, in the one before it, or in the one half a window earlier, whichever has most.
type RetryBounds struct {
	Ratio  float64 // retries allowed per request
	Slack  float64 // additional retries allowed per window
	Window time.Duration
}

// RetryBudget is the part of one entry in the retries of a service. The parts of all entries together stay
// within the bounds whatever entries start, end or know of each other:
//
//   - An entry earns retries by the requests that it has read itself, on average over two windows. Unlike the largest of
//     several windows, averages of several entries add up to the average of all requests, which is at most their largest window.
//   - The slack is divided; see SlackShare.
//   - A retry counts from its decision until its target has answered, and then for a window. Retries
//     that wait for a target could otherwise arrive all in one window.
type RetryBudget struct {
	bounds RetryBounds

	mu    sync.Mutex
	start time.Time // start of slot 0
	slots [retrySlots]retrySlot
	open  int // retries that are decided and not answered
}

type retrySlot struct {
	number   int64
	requests int
	retries  int
}

const (
	retrySlotsPerWindow = 20
	retrySlots          = 2 * retrySlotsPerWindow
	// readDelaySlots is the time that a request may take from its caller to its entry. An older request may
	// have been sent before the two windows that count.
	readDelaySlots = 2
	// averagedWindows is the number of windows over which requests earn retries.
	averagedWindows = 2
)

// NewRetryBudget returns a budget that has earned no retries.
func NewRetryBudget(bounds RetryBounds, now time.Time) *RetryBudget {
	// A request may have arrived before the budget of its service is created.
	return &RetryBudget{bounds: bounds, start: now.Add(-averagedWindows * bounds.Window)}
}

func (b *RetryBudget) slotNumber(at time.Time) int64 {
	return int64(at.Sub(b.start) / (b.bounds.Window / retrySlotsPerWindow))
}

// slot returns the slot of a time, nil if the time is too long ago to count.
func (b *RetryBudget) slot(at time.Time) *retrySlot {
	number := b.slotNumber(at)
	if number < 0 {
		return nil
	}
	s := &b.slots[number%retrySlots]
	switch {
	case s.number > number:
		return nil
	case s.number < number:
		*s = retrySlot{number: number}
	}
	return s
}

// at returns what was counted in a slot.
func (b *RetryBudget) at(number int64) retrySlot {
	if number < 0 {
		return retrySlot{}
	}
	if s := b.slots[number%retrySlots]; s.number == number {
		return s
	}
	return retrySlot{}
}

// RecordRequest counts a request of a caller.
func (b *RetryBudget) RecordRequest(arrived time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.slot(arrived); s != nil {
		s.requests++
	}
}

// Reserve reserves a retry if the budget allows it. slackShare is the share of the slack that this entry may use.
// A reserved retry ends with Answered or Cancel.
func (b *RetryBudget) Reserve(slackShare float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(b.open+1, slackShare, now) {
		return false
	}
	b.open++
	return true
}

// Confirm reports whether a reserved retry may be sent now. Requests that allowed it may be too long ago meanwhile.
func (b *RetryBudget) Confirm(slackShare float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.open, slackShare, now)
}

// Answered records that the target of a reserved retry has answered, or that its connection has ended.
func (b *RetryBudget) Answered(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
	if s := b.slot(now); s != nil {
		s.retries++
	}
}

// Cancel gives a reserved retry back that has reached no target.
func (b *RetryBudget) Cancel() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
}

// allows reports whether a number of open retries may arrive now, in every window that holds this moment.
func (b *RetryBudget) allows(open int, slackShare float64, now time.Time) bool {
	const (
		windowSlots  = retrySlotsPerWindow + 1 // slots that a window touches
		earningSlots = averagedWindows*retrySlotsPerWindow - readDelaySlots
	)
	current := b.slotNumber(now)
	retries, requests := open, 0
	for number := current; number > current+windowSlots-earningSlots; number-- {
		requests += b.at(number).requests
	}
	// Windows by their end, from the last one that holds this moment to the one that ends now.
	for end := current + windowSlots; end > current; end-- {
		retries += b.at(end - windowSlots).retries
		requests += b.at(end - earningSlots).requests
		earned := b.bounds.Ratio * float64(requests) / averagedWindows
		if float64(retries) > earned+slackShare*b.bounds.Slack {
			return false
		}
	}
	return true
}
