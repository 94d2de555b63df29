package placing

import (
	"cmp"
	"maps"
	"slices"
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

// TimeBounds is when a target said something. An answer can't be dated exactly: it is known to be
// written no earlier and no later than these.
type TimeBounds struct{ Earliest, Latest time.Time }

// RateLimitUpdate is what follows from something that a target said.
type RateLimitUpdate struct {
	Propagate    bool // others should hear of it at once
	OrderUnknown bool // it may be newer than what is known, and allows more
}

// Figures of rate limits.
const (
	// endedTTL is for how long it is remembered that a target names no rate any more, for
	// entries that have not heard so.
	endedTTL = 30 * time.Second
	// rateNews is the part by which a rate must change for others to hear of it at once: a
	// target may name another one in each answer.
	rateNews = 0.1
)

// rateLimits are the rates that targets have named.
type rateLimits struct {
	byRun map[serving.Run]*rateLimit
	cold  map[serving.Run]*coldLimit // of which this entry issues the permits
	waits map[serving.Run]permitWait
}

type rateLimit struct {
	rate    float64
	said    time.Time // the latest time at which the target is taken to have said so
	learnt  time.Time // when this entry learnt of the latest change
	permits permits
}

// permitWait is for how long a target gets nothing from this entry.
type permitWait struct {
	closed  time.Time // no permit is to be had before
	unowned time.Time // whoever issues permits did not answer, and is not asked before
	cold    bool      // since the target is cold; else for the rate that it names, if it still does
}

func newRateLimits() rateLimits {
	return rateLimits{
		byRun: make(map[serving.Run]*rateLimit),
		cold:  make(map[serving.Run]*coldLimit),
		waits: make(map[serving.Run]permitWait),
	}
}

// rate returns the rate that a target names; Unlimited if it names none.
func (l *rateLimits) rate(run serving.Run) float64 {
	if known := l.byRun[run]; known != nil {
		return known.rate
	}
	return Unlimited
}

// limited tells whether a target names a rate.
func (l *rateLimits) limited(run serving.Run) bool { return l.rate(run) != Unlimited }

// closed tells whether this entry gets no permit of a target now.
func (l *rateLimits) closed(run serving.Run, now time.Time) bool {
	w := l.waits[run]
	return now.Before(w.closed) && (w.cold || l.limited(run))
}

// bounded tells whether a target names a rate, or a permit of it was denied lately since it is
// cold.
func (l *rateLimits) bounded(run serving.Run, now time.Time) bool {
	return l.limited(run) || l.closed(run, now)
}

// take takes what a target said.
//
// Answers overtake each other, and entries tell each other late. A lower rate counts if it may
// be newer than what is known, a higher one or none at all only if it certainly is: a rate that
// is kept for too long costs some room, one that is dropped too early overruns the target.
func (l *rateLimits) take(said RateLimit, at TimeBounds, now time.Time) (taken RateLimitUpdate) {
	known := l.byRun[said.Run]
	if known == nil {
		if said.Rate == Unlimited {
			return RateLimitUpdate{}
		}
		l.byRun[said.Run] = &rateLimit{rate: said.Rate, said: at.Latest, learnt: now}
		return RateLimitUpdate{Propagate: true}
	}
	switch {
	case !at.Latest.After(known.said):
		return RateLimitUpdate{}
	case said.Rate == known.rate:
		known.said = at.Latest
		return RateLimitUpdate{}
	case tighter(said.Rate, known.rate):
		known.said = at.Latest
	case at.Earliest.After(known.said):
		known.said = at.Earliest
	default:
		return RateLimitUpdate{OrderUnknown: true}
	}
	taken.Propagate = differs(said.Rate, known.rate)
	known.rate, known.learnt = said.Rate, now
	known.permits.promised = time.Time{}
	delete(l.waits, said.Run)
	return taken
}

// tighter tells whether a rate allows less than another.
func tighter(rate, than float64) bool {
	return rate != Unlimited && (than == Unlimited || rate < than)
}

// differs tells whether two rates are so far apart that others should hear of it at once.
func differs(a, b float64) bool {
	return a == Unlimited || b == Unlimited || max(a, b)-min(a, b) > rateNews*max(a, b)
}

// forget drops what targets said that are not known any more, and ends that all have heard of.
func (l *rateLimits) forget(known func(run serving.Run) bool, now time.Time) {
	l.forgetCold(known, now)
	maps.DeleteFunc(l.waits, func(run serving.Run, w permitWait) bool { return !known(run) || !now.Before(w.closed) })
	for run, o := range l.byRun {
		if !known(run) || o.rate == Unlimited && now.Sub(o.learnt) > endedTTL {
			delete(l.byRun, run)
		}
	}
}

// RecordRateLimit takes the rate that a target named.
func (b *Tracker) RecordRateLimit(said RateLimit, at TimeBounds, now time.Time) RateLimitUpdate {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.take(said, at, now)
}

// RateLimitOf returns the rate that a target names, and when it said so last; Unlimited if it names
// none.
func (b *Tracker) RateLimitOf(run serving.Run) (rate float64, said time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.limits.byRun[run]; known != nil {
		return known.rate, known.said
	}
	return Unlimited, time.Time{}
}

// ReportedRateLimit is a rate that a target has named, for other entries.
type ReportedRateLimit struct {
	RateLimit
	ReportedAt time.Time
}

// RateLimits returns at most so many of the rates that targets have named. What was learnt last goes
// first; the rest is drawn anew each time, so that what another entry has missed comes again.
func (b *Tracker) RateLimits(most int) []ReportedRateLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make([]serving.Run, 0, len(b.limits.byRun))
	for run := range b.limits.byRun {
		runs = append(runs, run)
	}
	if len(runs) > most {
		slices.SortFunc(runs, func(x, y serving.Run) int {
			return b.limits.byRun[y].learnt.Compare(b.limits.byRun[x].learnt)
		})
		older := runs[most/2:]
		b.rng.Shuffle(len(older), func(i, j int) { older[i], older[j] = older[j], older[i] })
		runs = runs[:most]
	}
	list := make([]ReportedRateLimit, 0, len(runs))
	for _, run := range runs {
		known := b.limits.byRun[run]
		list = append(list, ReportedRateLimit{RateLimit: RateLimit{Run: run, Rate: known.rate}, ReportedAt: known.said})
	}
	return list
}

// AllowedTargets returns the targets that a request may go to: without those that name a rate, if it
// avoids these.
func (b *Tracker) AllowedTargets(targets []*serving.Target, r *Request) []*serving.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allowed(targets, r)
}

func (b *Tracker) allowed(targets []*serving.Target, r *Request) []*serving.Target {
	if !r.AvoidRateLimited || len(b.limits.byRun) == 0 {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t *serving.Target) bool { return b.limits.limited(t.Run()) })
}

// AllRateLimited tells whether every target that could be used names a rate.
func (b *Tracker) AllRateLimited(targets []*serving.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.limits.byRun) == 0 {
		return false
	}
	limited := false
	for _, t := range targets {
		switch {
		case !b.usable(t):
		case !b.limits.limited(t.Run()):
			return false
		default:
			limited = true
		}
	}
	return limited
}

// PermitBoundTargets returns the targets that could be used and are bounded by permits, those first of which a permit is
// to be had soonest; targets that failed lately come last. Targets for which nobody issues permits
// are left out; unowned is how long it takes until one of them is asked for again, 0 if there are
// none. drop must not use the book.
func (b *Tracker) PermitBoundTargets(targets []*serving.Target, drop func(*serving.Target) bool, now time.Time) (list []*serving.Target, unowned time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var runs []serving.Run
	for _, t := range targets {
		if !b.usable(t) || !b.limits.bounded(t.Run(), now) || drop(t) {
			continue
		}
		if left := b.limits.waits[t.Run()].unowned.Sub(now); left > 0 {
			if unowned == 0 || left < unowned {
				unowned = left
			}
			continue
		}
		list = append(list, t)
		runs = append(runs, t.Run())
	}
	skip := b.ejector.Excluded(runs, now, b.rng.Float64)
	b.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(x, y *serving.Target) int {
		return cmp.Or(compareBool(skip[x.Run()], skip[y.Run()]),
			later(now, b.limits.waits[x.Run()].closed).Compare(later(now, b.limits.waits[y.Run()].closed)))
	})
	return list, unowned
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// RecordPermitDenied notes that this entry gets no permit of a target for a time.
func (b *Tracker) RecordPermitDenied(run serving.Run, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.waits[run] = permitWait{closed: until}
}

// RecordColdPermitDenied notes that this entry gets no permit of a cold target for a time.
func (b *Tracker) RecordColdPermitDenied(run serving.Run, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.waits[run] = permitWait{closed: until, cold: true}
}

// RecordOwnerUnreachable notes that whoever issues the permits of a target does not answer, and that this entry
// asks for none for a time.
func (b *Tracker) RecordOwnerUnreachable(run serving.Run, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.waits[run] = permitWait{closed: until, unowned: until}
}
