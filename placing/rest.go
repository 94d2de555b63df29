package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// A target that rejects a request may ask the entry for rest: it wants no more requests from this
// entry for a time. A rest concerns one entry, so entries do not tell each other of it.

// restRecovery is how long after a rest a target gets requests only with permits, as a cold target
// does. Rests at many entries end at about the same time, and the target then looks idle to all of
// them.
const restRecovery = time.Second

// RecordRest records that a target has asked this entry for rest. A rest never ends earlier than an
// earlier response has stated. It returns true if the target was not resting before.
func (tr *Tracker) RecordRest(run serving.Run, rest time.Duration, now time.Time) (started bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	until := tr.stated.rests[run]
	tr.stated.rests[run] = later(until, now.Add(rest))
	return !now.Before(until)
}

// restOf returns how long a target still rests; 0 if it does not rest.
func (s *statements) restOf(run serving.Run, now time.Time) time.Duration {
	if ablate.Off(ablate.Rest) {
		return 0
	}
	return max(s.rests[run].Sub(now), 0)
}

// RecoveryRate returns the requests a second that all entries together may send to a target that
// has just ended a rest; 0 if it has not. In one second these are no more than the target can run
// at once.
func (tr *Tracker) RecoveryRate(t *serving.Target, now time.Time) float64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	until, known := tr.stated.rests[t.Run()]
	if !known || now.Before(until) || now.Sub(until) >= restRecovery || ablate.Off(ablate.RestRecovery) {
		return 0
	}
	return recoveryRate(t)
}

func recoveryRate(t *serving.Target) float64 { return float64(max(t.Slots, 1)) }

// RestOfAll returns the time until the first target ends its rest, if every usable target that
// exclude does not reject rests; otherwise 0. A nil exclude rejects none; exclude must not call the
// tracker.
func (tr *Tracker) RestOfAll(targets []*serving.Target, exclude func(*serving.Target) bool, now time.Time) time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.stated.rests) == 0 {
		return 0
	}
	var shortest time.Duration
	for _, t := range targets {
		if !tr.isUsable(t) || exclude != nil && exclude(t) {
			continue
		}
		rest := tr.stated.restOf(t.Run(), now)
		if rest == 0 {
			return 0
		}
		if shortest == 0 || rest < shortest {
			shortest = rest
		}
	}
	return shortest
}

// RestRetryAfter returns the Retry-After of a caller that is refused because all targets of a
// service rest, the first one for the given time. Each caller gets another time, as the targets
// take only their recovery rate when they are back. entries is the number of entries that refuse
// callers.
func (tr *Tracker) RestRetryAfter(service string, targets []*serving.Target, rest time.Duration, entries int, now time.Time) time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	rate := 0.0
	for _, t := range targets {
		if tr.isUsable(t) {
			rate += recoveryRate(t)
		}
	}
	p := permits{lastRetry: tr.stated.lastRetry[service]}
	next := p.nextRetry(now.Add(rest), permitInterval(rate/float64(max(entries, 1))))
	tr.stated.lastRetry[service] = next
	return next.Sub(now)
}
