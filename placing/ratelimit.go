package placing

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// RateLimit is the rate of requests that a target takes from all entries together, as reported in
// its responses.
type RateLimit struct {
	Run  serving.Run
	Rate float64 // requests a second; Unlimited: the target reports no limit any more
}

// Unlimited is the rate of a target that reports no limit.
const Unlimited = serving.NoRateLimit

// TimeBounds bounds the time at which a target wrote a response, which is not known exactly.
type TimeBounds struct{ Earliest, Latest time.Time }

// RateLimitUpdate is the effect of a reported rate limit.
type RateLimitUpdate struct {
	Propagate    bool // other entries must be notified at once
	OrderUnknown bool // the reported limit is higher than the known one and may be older
}

// Parameters of rate limits.
const (
	// removedLimitTTL is how long the removal of a rate limit is remembered, for entries that have
	// not learnt of it yet.
	removedLimitTTL = 30 * time.Second
	// minRateChange is the relative change of a rate from which other entries are notified at once.
	// A target may report another rate in each response.
	minRateChange = 0.1
)

type rateLimit struct {
	rate       float64
	reportedAt time.Time // time at which the target is assumed to have last reported the rate
	learntAt   time.Time // when this entry learnt of the latest change
	permits    permits
}

// permitBackoff is the time during which this entry sends nothing to a target for lack of a permit.
type permitBackoff struct {
	until        time.Time // time before which no permit is available
	ownerRetryAt time.Time // time before which the permit owner is not asked, because it did not respond
	cold         bool      // true: the target is cold; false: the target has a rate limit, and the backoff ends when the limit is removed
}

// rate returns the rate limit that a target reports; Unlimited if it reports none.
func (s *statements) rate(run serving.Run) float64 {
	if known := s.byRun[run]; known != nil {
		return known.rate
	}
	return Unlimited
}

// isLimited reports whether a target has a rate limit.
func (s *statements) isLimited(run serving.Run) bool { return s.rate(run) != Unlimited }

// isBlocked reports whether this entry sends nothing to a target now for lack of a permit.
func (s *statements) isBlocked(run serving.Run, now time.Time) bool {
	backoff := s.backoffs[run]
	return now.Before(backoff.until) && (backoff.cold || s.isLimited(run))
}

// needsPermit reports whether a target has a rate limit, or has denied this entry a permit recently
// because it is cold.
func (s *statements) needsPermit(run serving.Run, now time.Time) bool {
	return s.isLimited(run) || s.isBlocked(run, now)
}

// update applies a rate limit that a target has reported.
//
// Responses may arrive out of order, and gossip arrives late. A lower rate counts if it may be
// newer than the known rate; a higher rate, or the removal of the limit, counts only if it is
// certainly newer. A limit that is kept too long costs some capacity, while a limit that is dropped
// too early overloads the target.
func (s *statements) update(reported RateLimit, bounds TimeBounds, now time.Time) (u RateLimitUpdate) {
	known := s.byRun[reported.Run]
	if known == nil {
		if reported.Rate == Unlimited || len(s.byRun) >= maxStatements {
			return RateLimitUpdate{}
		}
		s.byRun[reported.Run] = &rateLimit{rate: reported.Rate, reportedAt: bounds.Latest, learntAt: now}
		return RateLimitUpdate{Propagate: true}
	}
	switch {
	case !bounds.Latest.After(known.reportedAt):
		return RateLimitUpdate{}
	case reported.Rate == known.rate:
		known.reportedAt = bounds.Latest
		return RateLimitUpdate{}
	case isLower(reported.Rate, known.rate):
		known.reportedAt = bounds.Latest
	case bounds.Earliest.After(known.reportedAt):
		known.reportedAt = bounds.Earliest
	default:
		return RateLimitUpdate{OrderUnknown: true}
	}
	u.Propagate = isSignificantChange(reported.Rate, known.rate)
	known.rate, known.learntAt = reported.Rate, now
	known.permits.lastRetry = time.Time{}
	delete(s.backoffs, reported.Run)
	return u
}

// isLower reports whether rate a allows fewer requests than rate b.
func isLower(a, b float64) bool {
	return a != Unlimited && (b == Unlimited || a < b)
}

// isSignificantChange reports whether two rates differ so much that other entries must be notified
// at once.
func isSignificantChange(a, b float64) bool {
	return a == Unlimited || b == Unlimited || max(a, b)-min(a, b) > minRateChange*max(a, b)
}

// RecordRateLimit applies a rate limit that a target reported.
func (tr *Tracker) RecordRateLimit(reported RateLimit, bounds TimeBounds, now time.Time) RateLimitUpdate {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.stated.update(reported, bounds, now)
}

// RateLimitOf returns the rate limit of a target and when the target last reported it; Unlimited if
// there is none.
func (tr *Tracker) RateLimitOf(run serving.Run) (rate float64, reportedAt time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if known := tr.stated.byRun[run]; known != nil {
		return known.rate, known.reportedAt
	}
	return Unlimited, time.Time{}
}

// ReportedRateLimit is a rate limit with the time at which the target reported it, as propagated to
// other entries.
type ReportedRateLimit struct {
	RateLimit
	ReportedAt time.Time
}

// RateLimits returns at most count of the known rate limits. Half of them are the most recently
// learnt ones; the rest is sampled anew on each call, so that an entry that has missed one gets it
// later.
func (tr *Tracker) RateLimits(count int) []ReportedRateLimit {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	runs := make([]serving.Run, 0, len(tr.stated.byRun))
	for run := range tr.stated.byRun {
		runs = append(runs, run)
	}
	if len(runs) > count {
		slices.SortFunc(runs, func(x, y serving.Run) int {
			return tr.stated.byRun[y].learntAt.Compare(tr.stated.byRun[x].learntAt)
		})
		older := runs[count/2:]
		tr.rng.Shuffle(len(older), func(i, j int) { older[i], older[j] = older[j], older[i] })
		runs = runs[:count]
	}
	list := make([]ReportedRateLimit, 0, len(runs))
	for _, run := range runs {
		known := tr.stated.byRun[run]
		list = append(list, ReportedRateLimit{RateLimit: RateLimit{Run: run, Rate: known.rate}, ReportedAt: known.reportedAt})
	}
	return list
}

// AllowedTargets returns the targets that a request may be sent to: all of them, or those without a
// rate limit if the request avoids rate-limited targets.
func (tr *Tracker) AllowedTargets(targets []*serving.Target, r *Request) []*serving.Target {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.allowed(targets, r)
}

func (tr *Tracker) allowed(targets []*serving.Target, r *Request) []*serving.Target {
	if !r.AvoidRateLimited || len(tr.stated.byRun) == 0 {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t *serving.Target) bool { return tr.stated.isLimited(t.Run()) })
}

// AllRateLimited reports whether every target that accepts requests has a rate limit.
func (tr *Tracker) AllRateLimited(targets []*serving.Target, now time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.stated.byRun) == 0 {
		return false
	}
	limited := false
	for _, t := range targets {
		switch {
		case !tr.accepts(t, now):
		case !tr.stated.isLimited(t.Run()):
			return false
		default:
			limited = true
		}
	}
	return limited
}

// TargetsNeedingPermits returns the targets that accept requests with permits, sorted by when a permit may be
// available; ejected targets come last. Targets whose permit owner did not respond are left out;
// ownerRetry is the time until the first of these owners is asked again, 0 if there are none.
// exclude must not call the tracker.
func (tr *Tracker) TargetsNeedingPermits(targets []*serving.Target, exclude func(*serving.Target) bool, now time.Time) (list []*serving.Target, ownerRetry time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var runs []serving.Run
	for _, t := range targets {
		if !tr.accepts(t, now) || !tr.stated.needsPermit(t.Run(), now) || exclude(t) {
			continue
		}
		if wait := tr.stated.backoffs[t.Run()].ownerRetryAt.Sub(now); wait > 0 {
			if ownerRetry == 0 || wait < ownerRetry {
				ownerRetry = wait
			}
			continue
		}
		list = append(list, t)
		runs = append(runs, t.Run())
	}
	ejected := tr.ejector.Excluded(runs, now, tr.rng.Float64)
	tr.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(x, y *serving.Target) int {
		return cmp.Or(compareBool(ejected[x.Run()], ejected[y.Run()]),
			later(now, tr.stated.backoffs[x.Run()].until).Compare(later(now, tr.stated.backoffs[y.Run()].until)))
	})
	return list, ownerRetry
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

// RecordPermitDenied records that this entry gets no permit of a target before until.
func (tr *Tracker) RecordPermitDenied(run serving.Run, until time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.stated.backoffs[run] = permitBackoff{until: until}
}

// RecordColdPermitDenied records that this entry gets no permit of a cold target before until.
func (tr *Tracker) RecordColdPermitDenied(run serving.Run, until time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.stated.backoffs[run] = permitBackoff{until: until, cold: true}
}

// RecordOwnerUnreachable records that the permit owner of a target does not respond, and that this
// entry does not ask the owner again before until.
func (tr *Tracker) RecordOwnerUnreachable(run serving.Run, until time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.stated.backoffs[run] = permitBackoff{until: until, ownerRetryAt: until}
}
