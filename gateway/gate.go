package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// gate lets requests for one service with model engines go to targets.
//
// Engines of a group run each pass together, so a pass takes longer for all the
// more streams run anywhere, and far longer right after demand has moved and the
// map no longer fits. With as many streams as engines have slots, that moment
// makes every stream late; with fewer it does not, and the ones that wait here
// for a moment are still in time. So the gate keeps the streams of each target to
// what the group bears, and lets those that wait go by priority, then in order of
// arrival.
type gate struct {
	mu      sync.Mutex
	waiting []*waiter
	rate    rate // of requests let go
	breaker breaker
}

// breaker keeps requests at the gate while the group is broken: every engine
// refuses then, and each refusal is an arrival that the retry budget pays for. Now
// and then one request is let through to see.
type breaker struct {
	broken bool
	next   time.Time // when one may go
}

// Paces of the breaker. A group is back within a second or so of its ranks.
const (
	probePause = 120 * time.Millisecond
	probeLimit = 400 * time.Millisecond // without a result
)

// refused notes that the group is broken.
func (g *gate) refused(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.breaker = breaker{broken: true, next: now.Add(probePause)}
}

// answered notes that the group runs requests.
func (g *gate) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.breaker.broken = false
}

// waiter is a request that waits.
type waiter struct {
	r       *request
	since   time.Time
	granted chan *serving.Target
}

// Figures of the gate.
const (
	// copySlows: passes take longer by 15 in 100 while ranks copy experts, which they
	// do whenever demand has moved. Source: the platform's statement.
	copySlows = 1.15
	// bornImbalance is the most that the gate makes room for: with fewer streams than
	// that allows, the group would not keep up with its usual load.
	bornImbalance = 2.8
	// calmImbalance is expected where nothing is known of the group's map yet.
	calmImbalance = 2.5
	// leastRunning keeps a target useful whatever the figures say.
	leastRunning = 3
)

// groupState is what an agent told of a group.
type groupState struct {
	imbalance, worst float64
	pace             float64 // of the slowest rank, in times as long as usual
	mean             int     // requests of a target, running and waiting
	at               time.Time
	// assumed are the requests of other entries at each target while nothing is
	// reported.
	assumed float64
}

// limit returns how many streams a target may run, so that passes stay within the
// aim for pauses: each has a fixed part, for which the group waits for its slowest
// rank, and a part for each stream, most of it with the busiest expert.
//
// If no number of streams keeps passes that short, all are late whatever is done,
// and as many run as the target takes: what is left to save is throughput.
func limit(m *serving.EngineModel, gapAim time.Duration, imbalance, pace float64) int {
	if gapAim <= 0 || m.StepPerWriter <= 0 {
		return m.Slots
	}
	factor := (1 - m.ExpertShare) + m.ExpertShare*max(imbalance, 1)
	step := float64(gapAim) / copySlows / float64(max(m.Stride, 1))
	n := int((step - float64(m.Step)*max(pace, 1)) / (float64(m.StepPerWriter) * factor))
	if n < leastRunning {
		return m.Slots
	}
	return min(n, m.Slots)
}

// enter puts a request into the queue. ok is false if it would wait for longer
// than its caller does; wait is then when to come back.
func (g *gate) enter(r *request, now time.Time) (w *waiter, wait time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.breaker.broken {
		return g.push(r), 0, true
	}
	before, inTime := 0, 0
	for _, o := range g.waiting {
		if o.r.priority > r.priority {
			continue
		}
		before++
		if o.inTime(now) {
			inTime++
		}
	}
	if inTime == 0 || g.rate.expect(inTime+1, now) <= share(r.route.Aim, inTimeShare) {
		return g.push(r), 0, true
	}
	expected := g.rate.expect(before+1, now)
	if expected > r.maxWait() {
		return nil, expected, false
	}
	return g.push(r), 0, true
}

// push adds a request; one that comes back goes before those that came after it.
func (g *gate) push(r *request) *waiter {
	w := &waiter{r: r, since: r.arrived, granted: make(chan *serving.Target, 1)}
	g.waiting = append(g.waiting, w)
	slices.SortStableFunc(g.waiting, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.r.priority, b.r.priority), a.since.Compare(b.since))
	})
	return w
}

// leave takes a request out; false if it has been granted a target meanwhile.
func (g *gate) leave(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := slices.Index(g.waiting, w)
	if at < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, at, at+1)
	return true
}

// grant hands targets to requests that wait, as long as place finds any.
func (g *gate) grant(now time.Time, place func(r *request) *serving.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.waiting) > 0 {
		if g.breaker.broken {
			if now.Before(g.breaker.next) {
				return
			}
			g.breaker.next = now.Add(probeLimit)
		}
		at := g.next(now)
		w := g.waiting[at]
		t := place(w.r)
		if t == nil {
			return
		}
		g.waiting = slices.Delete(g.waiting, at, at+1)
		g.rate.count(now)
		w.granted <- t
	}
}

// next returns the request to let go next: of the most urgent ones the oldest that
// can still be in time for its first event, and only then those that can't. A late
// answer is worth the same whether it comes a little or much too late, so letting
// late ones go first would make all that wait behind them late too.
func (g *gate) next(now time.Time) int {
	for i, w := range g.waiting {
		if w.r.priority != g.waiting[0].r.priority {
			break
		}
		if w.inTime(now) {
			return i
		}
	}
	return 0
}

// inTimeShare of the aim for the first event may pass at the gate; the rest is what
// engines take for it at usual load.
const inTimeShare = 0.5

// inTime tells whether a request that waits can still have its first event in time.
func (w *waiter) inTime(now time.Time) bool {
	aim := w.r.route.Aim
	return aim == 0 || now.Sub(w.since) < share(aim, inTimeShare)
}

// rate tells how fast requests are let go.
type rate struct {
	times [rateMemory]time.Time
	n     int
}

const rateMemory = 16

func (r *rate) count(now time.Time) {
	r.times[r.n%rateMemory] = now
	r.n++
}

// expect returns how long it takes until so many more have been let go.
func (r *rate) expect(n int, now time.Time) time.Duration {
	if r.n < rateMemory {
		return 0
	}
	span := now.Sub(r.times[r.n%rateMemory])
	return span / rateMemory * time.Duration(n)
}

// perSecond returns how many requests are let go a second.
func (g *gate) perSecond(now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	each := g.rate.expect(1, now)
	if each <= 0 {
		return 0
	}
	return float64(time.Second) / float64(each)
}

// firstEventShare of a caller's patience is kept for the engine's own work on the
// first event.
const firstEventShare = 0.25

// maxWait is how long a request may wait at the gate: callers leave when the first
// event does not come.
func (r *request) maxWait() time.Duration {
	left := r.deadline.Sub(r.arrived)
	if r.route.Patience > 0 {
		left = min(left, r.route.Patience)
	}
	return share(left, 1-firstEventShare)
}
