package route

import "time"

// RejectionHistory remembers which targets sent a request back, and the waits they told.
// The waits are exact and the request's own team's, which no report can be.
type RejectionHistory struct {
	n       int
	targets [maxSendBacks]string
	waits   [maxSendBacks]time.Duration
}

// A request is sent back at most maxSendBacks times: patientTries times by
// targets that are worse than they looked, and once more by one that is no better
// than the best of those. Then it goes to that best one, which takes it.
const (
	maxSendBacks = 3
	patientTries = 2
)

// Add notes that a target sent the request back.
func (t *RejectionHistory) Add(target string, wait time.Duration) {
	if t.n < maxSendBacks {
		t.targets[t.n], t.waits[t.n] = target, wait
		t.n++
	}
}

// ShortestWait returns the target that told the shortest wait; false: none did.
func (t *RejectionHistory) ShortestWait() (string, time.Duration, bool) {
	if t.n == 0 {
		return "", 0, false
	}
	best := 0
	for i := 1; i < t.n; i++ {
		if t.waits[i] < t.waits[best] {
			best = i
		}
	}
	return t.targets[best], t.waits[best], true
}

// FinalTarget returns the target that the request goes to without any more looking
// round; false: it shall be placed.
func (t *RejectionHistory) FinalTarget() (string, bool) {
	if t.n < maxSendBacks {
		return "", false
	}
	target, _, ok := t.ShortestWait()
	return target, ok
}

// MaxWait returns the wait up to which the next target shall take the request;
// patient is the wait that a first try accepts.
func (t *RejectionHistory) MaxWait(patient time.Duration) time.Duration {
	if t.n < patientTries || patient == 0 {
		return patient
	}
	_, wait, _ := t.ShortestWait()
	return max(wait, time.Millisecond)
}
