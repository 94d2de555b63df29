package placing

import (
	"maps"
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// statements holds what targets have stated of themselves, by run: rate limits, cold times, rests
// and that they leave, with the state that this entry needs to comply with them.
type statements struct {
	byRun     map[serving.Run]*rateLimit
	cold      map[serving.Run]*coldPermits // cold targets of which this entry is the permit owner
	backoffs  map[serving.Run]permitBackoff
	rests     map[serving.Run]time.Time // end of the latest rest
	leavings  map[serving.Run]*leaving
	lastRetry map[string]time.Time // latest time given to a refused caller while all targets rested, by service
}

// maxStatements is the number of statements of one kind up to which those on further targets are kept.
const maxStatements = 1 << 14

func newStatements() statements {
	return statements{
		byRun:     make(map[serving.Run]*rateLimit),
		cold:      make(map[serving.Run]*coldPermits),
		backoffs:  make(map[serving.Run]permitBackoff),
		rests:     make(map[serving.Run]time.Time),
		leavings:  make(map[serving.Run]*leaving),
		lastRetry: make(map[string]time.Time),
	}
}

// prune drops the statements of targets that are no longer known, and those that no longer matter.
func (s *statements) prune(known func(run serving.Run) bool, now time.Time) {
	s.pruneCold(known, now)
	s.pruneLeavings(known, now)
	maps.DeleteFunc(s.backoffs, func(run serving.Run, backoff permitBackoff) bool { return !known(run) || !now.Before(backoff.until) })
	// A rest is kept while its target is unknown: the store may have lost the target's record.
	maps.DeleteFunc(s.rests, func(_ serving.Run, until time.Time) bool { return now.Sub(until) > restRecovery })
	for run, limit := range s.byRun {
		if !known(run) || limit.rate == Unlimited && now.Sub(limit.learntAt) > removedLimitTTL {
			delete(s.byRun, run)
		}
	}
}
