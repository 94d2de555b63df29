package placing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// AdmissionQueue holds the requests of a service with model engines until targets have headroom.
//
// The engines of a group run each pass together. Each stream on any of them makes the passes longer.
// Just after demand has shifted, passes take far longer until the expert map has been rebalanced.
// With all engine slots in use such a shift makes every stream late; with fewer streams it does
// not, and the requests that wait in the queue meanwhile are still on time. The queue therefore
// limits the streams of each target to what the group sustains, and admits requests by priority,
// then in order of arrival.
type AdmissionQueue struct {
	mu          sync.Mutex
	waiting     []*Waiter
	rate        admissionRate
	enqueued    int                // requests added so far
	byLevel     LevelCounts        // requests added so far, by level on arrival
	mix         [NumLevels]float64 // share of each level among the latest requests added
	serviceDown bool               // no group of the service runs requests
	gaps        gapMean
}

// Waiter is a request in an AdmissionQueue.
type Waiter struct {
	request *Request
	granted chan *serving.Target
}

// Granted returns the channel on which the request gets its target, or nil if the request is released
// without one; see Admit.
func (w *Waiter) Granted() <-chan *serving.Target { return w.granted }

// Enqueue adds a request to the queue. If the request would wait longer than its MaxWait, it is not
// added, ok is false and wait is the Retry-After for its caller.
//
// Late requests, which can no longer be on time, delay only other late requests, because on-time
// requests are admitted first.
func (q *AdmissionQueue) Enqueue(r *Request, now time.Time) (w *Waiter, wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.serviceDown {
		return q.insert(r, now), 0, true
	}
	ahead, onTime := 0, 0
	for _, other := range q.waiting {
		if other.request.Priority > r.Priority {
			continue
		}
		ahead++
		if other.request.isOnTime(now) {
			onTime++
		}
	}
	if onTime == 0 || q.rate.expectedWait(onTime+1, now) <= r.MaxOnTimeWait() {
		return q.insert(r, now), 0, true
	}
	expected := q.rate.expectedWait(ahead+1, now)
	if expected > r.MaxWait && !ablate.Off(ablate.RefuseEarly) {
		return nil, expected, false
	}
	return q.insert(r, now), 0, true
}

func (q *AdmissionQueue) insert(r *Request, now time.Time) *Waiter {
	w := &Waiter{request: r, granted: make(chan *serving.Target, 1)}
	q.waiting = append(q.waiting, w)
	if !r.Requeued {
		q.countEnqueued(r.UrgencyLevel(now))
	}
	slices.SortStableFunc(q.waiting, func(a, b *Waiter) int {
		return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), a.request.Arrived.Compare(b.request.Arrived))
	})
	return w
}

// mixDecay is the weight of the earlier mix of levels at each request. The mix follows a burst of one
// kind of request within some thirty requests.
const mixDecay = 0.97

// countEnqueued counts a request that was added to the queue.
func (q *AdmissionQueue) countEnqueued(level int) {
	if q.enqueued == 0 {
		q.mix[level] = 1
	}
	q.enqueued++
	q.byLevel[level]++
	for l := range q.mix {
		q.mix[l] *= mixDecay
	}
	q.mix[level] += 1 - mixDecay
}

// SetServiceDown records whether the service is down: none of its groups runs requests. While the
// service is down, no request is refused for its expected wait, because the admission rate is
// unknown.
func (q *AdmissionQueue) SetServiceDown(down bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serviceDown = down
}

// Remove takes a request out of the queue. It returns false if the request has been granted a
// target meanwhile.
func (q *AdmissionQueue) Remove(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// grant admits waiting requests in turn, each to the target that place returns for the request. It
// stops when place returns nil or no request may be admitted. canAdmitLate reports whether a
// request that can no longer be on time may be admitted.
func (q *AdmissionQueue) grant(now time.Time, canAdmitLate func() bool, place func(r *Request) *serving.Target) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiting) > 0 {
		i := q.nextIndex(now, canAdmitLate())
		if i < 0 {
			return
		}
		w := q.waiting[i]
		t := place(w.request)
		if t == nil {
			return
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		if !w.request.Requeued {
			q.rate.record(now)
		}
		w.granted <- t
	}
}

// release ends the wait of the queued requests for which hopeless is true, without granting them
// targets.
func (q *AdmissionQueue) release(hopeless func(r *Request) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiter) bool {
		released := hopeless(w.request)
		if released {
			w.granted <- nil
		}
		return released
	})
}

// nextIndex returns the index of the request to admit next, or -1 if no request may be admitted.
// The next request is the oldest one of the highest waiting priority that can still have its first
// event on time, or else the oldest late one of that priority. If late requests may not be
// admitted, the next request is the first on-time request of any priority.
//
// A late response is worth the same however late it is, while admitting late requests first would
// make the requests behind them late too.
func (q *AdmissionQueue) nextIndex(now time.Time, admitLate bool) int {
	if ablate.Off(ablate.OnTimeFirst) {
		return 0
	}
	for i, w := range q.waiting {
		if admitLate && w.request.Priority != q.waiting[0].request.Priority {
			break
		}
		if w.request.isOnTime(now) {
			return i
		}
	}
	if admitLate {
		return 0
	}
	return -1
}

// demand describes the requests that one entry has to send.
type demand struct {
	queued            QueueCounts
	enqueued          int                // total number of requests added to the queue
	enqueuedByLevel   LevelCounts        // the same by level on arrival
	mix               [NumLevels]float64 // share of each level among the latest requests added
	admittedPerSecond float64
}

func (q *AdmissionQueue) demand(now time.Time) demand {
	q.mu.Lock()
	defer q.mu.Unlock()
	return demand{queued: q.countWaiting(now), enqueued: q.enqueued, enqueuedByLevel: q.byLevel, mix: q.mix, admittedPerSecond: q.rate.perSecond(now)}
}

func (q *AdmissionQueue) countWaiting(now time.Time) (counts QueueCounts) {
	for _, w := range q.waiting {
		if w.request.isOnTime(now) {
			counts.OnTime++
			counts.ByLevel[w.request.UrgencyLevel(now)]++
		} else {
			counts.Late++
		}
	}
	return counts
}

// HasWaiting reports whether any request waits.
func (q *AdmissionQueue) HasWaiting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0
}

// QueueCounts returns how many on-time and how many late requests wait.
func (q *AdmissionQueue) QueueCounts(now time.Time) QueueCounts {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.countWaiting(now)
}
