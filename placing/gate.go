package placing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// AdmissionQueue lets requests for one service with model engines go to targets.
//
// Engines of a group run each pass together, so a pass takes longer for all the
// more streams run anywhere, and far longer right after demand has moved and the
// map no longer fits. With as many streams as engines have slots, that moment
// makes every stream late; with fewer it does not, and the ones that wait here
// for a moment are still in time. So the gate keeps the streams of each target to
// what the group bears, and lets those that wait go by priority, then in order of
// arrival.
type AdmissionQueue struct {
	mu      sync.Mutex
	waiting []*Waiter
	rate    rate // of requests admitted
	entered int  // requests that were taken in
	broken  bool // no group of the service runs requests
	pace    streamPace
}

// Waiter is a request that waits.
type Waiter struct {
	r       *Request
	granted chan *serving.Target
}

// Granted receives the target that the request goes to; nil if all name a rate.
func (w *Waiter) Granted() <-chan *serving.Target { return w.granted }

// Enqueue puts a request into the queue. ok is false if it would wait for longer
// than its caller does; wait is then when to come back.
//
// Those that wait and can't be in time any more count only against others like
// them: whoever can be in time goes before them.
func (g *AdmissionQueue) Enqueue(r *Request, now time.Time) (w *Waiter, wait time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.broken {
		return g.push(r), 0, true
	}
	before, inTime := 0, 0
	for _, o := range g.waiting {
		if o.r.Priority > r.Priority {
			continue
		}
		before++
		if o.r.inTime(now) {
			inTime++
		}
	}
	if inTime == 0 || g.rate.expect(inTime+1, now) <= r.MaxOnTimeWait() {
		return g.push(r), 0, true
	}
	expected := g.rate.expect(before+1, now)
	if expected > r.MaxWait && !ablate.Off(ablate.RefuseEarly) {
		return nil, expected, false
	}
	return g.push(r), 0, true
}

func (g *AdmissionQueue) push(r *Request) *Waiter {
	w := &Waiter{r: r, granted: make(chan *serving.Target, 1)}
	g.waiting = append(g.waiting, w)
	if !r.Requeued {
		g.entered++
	}
	slices.SortStableFunc(g.waiting, func(a, b *Waiter) int {
		return cmp.Or(cmp.Compare(a.r.Priority, b.r.Priority), a.r.Arrived.Compare(b.r.Arrived))
	})
	return w
}

// SetServiceDown notes whether no group of the service runs requests. Nobody is refused for
// waiting then: how fast the queue moves is not known.
func (g *AdmissionQueue) SetServiceDown(broken bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = broken
}

// Remove takes a request out; false if it has been granted a target meanwhile.
func (g *AdmissionQueue) Remove(w *Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := slices.Index(g.waiting, w)
	if at < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, at, at+1)
	return true
}

// grant hands targets to requests that wait, as long as place finds any. lateToo
// tells whether one may go that can't be in time any more.
func (g *AdmissionQueue) grant(now time.Time, lateToo func() bool, place func(r *Request) *serving.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.waiting) > 0 {
		at := g.next(now, lateToo())
		if at < 0 {
			return
		}
		w := g.waiting[at]
		t := place(w.r)
		if t == nil {
			return
		}
		g.waiting = slices.Delete(g.waiting, at, at+1)
		if !w.r.Requeued {
			g.rate.count(now)
		}
		w.granted <- t
	}
}

// release lets all requests go without a target.
func (g *AdmissionQueue) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.waiting {
		w.granted <- nil
	}
	g.waiting = nil
}

// next returns the request to admit next: of the most urgent ones the oldest that
// can still be in time for its first event, and only then those that can't. A late
// answer is worth the same whether it comes a little or much too late, so letting
// late ones go first would make all that wait behind them late too. -1: none may go.
func (g *AdmissionQueue) next(now time.Time, lateToo bool) int {
	if ablate.Off(ablate.InTimeFirst) {
		return 0
	}
	for i, w := range g.waiting {
		if lateToo && w.r.Priority != g.waiting[0].r.Priority {
			break
		}
		if w.r.inTime(now) {
			return i
		}
	}
	if lateToo {
		return 0
	}
	return -1
}

// demand is what one entry has to send.
type demand struct {
	waiting   QueueCounts
	entered   int // requests, all told
	perSecond float64
}

func (g *AdmissionQueue) demand(now time.Time) demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	return demand{waiting: g.count(now), entered: g.entered, perSecond: g.rate.perSecond(now)}
}

func (g *AdmissionQueue) count(now time.Time) (n QueueCounts) {
	for _, w := range g.waiting {
		if w.r.inTime(now) {
			n.InTime++
		} else {
			n.Late++
		}
	}
	return n
}

// HasWaiting tells whether any request waits.
func (g *AdmissionQueue) HasWaiting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting) > 0
}

// QueueCounts returns how many requests wait.
func (g *AdmissionQueue) QueueCounts(now time.Time) QueueCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count(now)
}
