package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
)

// gapMean tracks the mean gap between two events of a stream, over all streams of this entry.
type gapMean struct {
	mean     time.Duration
	latest   time.Time // time of the latest gap
	slowRank bool      // a group of the service has a slow rank, by the latest load reports
}

// Parameters of the mean gap.
const (
	// gapSmoothing is the inverse weight of one gap in the mean. The streams of an entry have thirty
	// gaps a second and more.
	gapSmoothing = 32
	// gapTTL is the time without any gap after which the mean no longer counts.
	gapTTL = time.Second
	// honouredWaitShare is the longest Retry-After that a caller honours, as a share of the time
	// left until its deadline. Source: the platform's statement.
	honouredWaitShare = 1.0 / 3
)

func (m *gapMean) record(gap time.Duration, now time.Time) {
	if now.Sub(m.latest) > gapTTL {
		m.mean = gap
	}
	m.latest = now
	m.mean += (gap - m.mean) / gapSmoothing
}

// canFinish reports whether a stream that starts now ends before its deadline at the current mean
// gap.
//
// It guards against streams that cannot end in time: while a rank is many times slower than usual
// for seconds, the passes of all ranks are as slow. A long stream then outlasts its caller's
// deadline and occupies a slot that shorter streams could use. Passes that are slow for other
// reasons recover within half a second, once the expert map has been rebalanced, so only a slow
// rank counts.
func (m *gapMean) canFinish(r *Request, now time.Time) bool {
	if ablate.Off(ablate.CannotFinish) || !m.slowRank || r.ExpectedEvents == 0 || r.Deadline.IsZero() || now.Sub(m.latest) > gapTTL {
		return true
	}
	return time.Duration(r.ExpectedEvents*float64(m.mean)) <= r.Deadline.Sub(now)
}

// CanFinish reports whether a stream that starts now ends before its deadline. If not, retryAfter
// is the Retry-After for the caller: the longest one that callers honour, so that the stream can
// still end if passes are back to normal by then. A caller that is given a longer Retry-After
// returns even sooner.
func (q *AdmissionQueue) CanFinish(r *Request, now time.Time) (retryAfter time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.gaps.canFinish(r, now) {
		return 0, true
	}
	return time.Duration(float64(r.Deadline.Sub(now)) * honouredWaitShare), false
}

// setSlowRank records whether a group of the service has a rank with a slowdown of
// slowRankThreshold or more.
func (q *AdmissionQueue) setSlowRank(hasSlowRank bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gaps.slowRank = hasSlowRank
}

// RecordEventGap records a gap between two events of a stream.
func (q *AdmissionQueue) RecordEventGap(gap time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gaps.record(gap, now)
}
