package route

import "time"

// RejectionHistory records which targets sent one request back, and the wait that each
// target expected. These waits are exact and hold for the team of the request, unlike
// estimates from load reports.
type RejectionHistory struct {
	n       int
	targets [maxSendBacks]string
	waits   [maxSendBacks]time.Duration
}

// A request is sent back at most maxSendBacks times: normalSendBacks times by targets
// whose load is higher than estimated, and once more by a target whose wait is longer
// than the shortest one so far. Then the request goes to the target with the shortest
// wait, which must accept it.
const (
	maxSendBacks    = 3
	normalSendBacks = 2
)

// Add records that a target sent the request back, and the wait that the target
// expected.
func (h *RejectionHistory) Add(target string, wait time.Duration) {
	if h.n < maxSendBacks {
		h.targets[h.n], h.waits[h.n] = target, wait
		h.n++
	}
}

// ShortestWait returns the target with the shortest wait, and that wait. It returns false
// if the history is empty.
func (h *RejectionHistory) ShortestWait() (string, time.Duration, bool) {
	if h.n == 0 {
		return "", 0, false
	}
	best := 0
	for i := 1; i < h.n; i++ {
		if h.waits[i] < h.waits[best] {
			best = i
		}
	}
	return h.targets[best], h.waits[best], true
}

// FinalTarget returns the target that must take the request after maxSendBacks rejections.
// It returns false if the request is to be placed again.
func (h *RejectionHistory) FinalTarget() (string, bool) {
	if h.n < maxSendBacks {
		return "", false
	}
	target, _, ok := h.ShortestWait()
	return target, ok
}

// MaxWait returns the longest wait at which the next target accepts the request.
// firstMaxWait is the longest wait that the first attempt accepts; zero: no bound.
func (h *RejectionHistory) MaxWait(firstMaxWait time.Duration) time.Duration {
	if h.n < normalSendBacks || firstMaxWait == 0 {
		return firstMaxWait
	}
	_, wait, _ := h.ShortestWait()
	return max(wait, time.Millisecond)
}
