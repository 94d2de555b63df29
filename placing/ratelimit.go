package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// RateLimit is how many requests a target takes from all entries together, as it says in its
// answers.
type RateLimit struct {
	Run  serving.Run
	Rate float64 // requests a second; Unlimited: it names none any more
}

// Unlimited is the rate of a target that names none.
const Unlimited = -1

// Said is when a target said something. An answer can't be dated exactly: it is known to be
// written no earlier and no later than these.
type Said struct{ Earliest, Latest time.Time }

// rateLimits are the rates that targets have named.
type rateLimits struct {
	byRun map[serving.Run]*rateLimit
}

type rateLimit struct {
	rate float64
	said time.Time // the latest time at which the target is taken to have said so
}

func newRateLimits() rateLimits {
	return rateLimits{byRun: make(map[serving.Run]*rateLimit)}
}

// rate returns the rate that a target names; Unlimited if it names none.
func (l *rateLimits) rate(run serving.Run) float64 {
	if known := l.byRun[run]; known != nil {
		return known.rate
	}
	return Unlimited
}

// take takes what a target said; it tells whether that changes anything.
//
// Answers overtake each other, and entries tell each other late. A lower rate counts if it may
// be newer than what is known, a higher one or none at all only if it certainly is: a rate that
// is kept for too long costs some room, one that is dropped too early overruns the target.
func (l *rateLimits) take(said RateLimit, at Said) (changed bool) {
	known := l.byRun[said.Run]
	if known == nil {
		if said.Rate == Unlimited {
			return false
		}
		l.byRun[said.Run] = &rateLimit{rate: said.Rate, said: at.Latest}
		return true
	}
	switch {
	case tighter(said.Rate, known.rate):
		if !at.Latest.After(known.said) {
			return false
		}
		known.said = at.Latest
	case said.Rate == known.rate:
		known.said = later(known.said, at.Latest)
		return false
	default:
		if !at.Earliest.After(known.said) {
			return false
		}
		known.said = at.Earliest
	}
	known.rate = said.Rate
	return true
}

// tighter tells whether a rate allows less than another.
func tighter(rate, than float64) bool {
	return rate != Unlimited && (than == Unlimited || rate < than)
}

// forget drops what targets said that are not known any more.
func (l *rateLimits) forget(known func(run serving.Run) bool) {
	for run := range l.byRun {
		if !known(run) {
			delete(l.byRun, run)
		}
	}
}

// RateSaid takes the rate that a target named in an answer to this entry; changed tells whether
// it is another one than was known.
func (b *Book) RateSaid(said RateLimit, at Said) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.take(said, at)
}

// RateOf returns the rate that a target names; Unlimited if it names none.
func (b *Book) RateOf(t *serving.Target) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.rate(t.Run())
}
