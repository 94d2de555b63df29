package place

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/route"
)

// options of one run.
type options struct {
	seed    uint64
	engines int
	entries int
	dcs     int
	queue   int           // places in a gate's queue
	lag     time.Duration // of reports and cache events
	lost    float64       // share of reports that are lost
	slow    bool          // engine 0 runs at half speed
	policy  policy
	load    workload
}

const (
	hop         = time.Millisecond // one way between entry and agent
	reportEvery = 100 * time.Millisecond
	cacheEvery  = 200 * time.Millisecond
)

// request is one caller's request and what became of it.
type request struct {
	at       time.Duration
	entry    int
	team     string
	weight   float64
	priority int8
	prompt   int
	output   int
	blocks   []uint64
	deadline time.Duration // for the whole answer, from at

	cost       route.Cost // left, by the entry's books
	trail      route.RejectionHistory
	tries      int
	avoid      map[string]bool
	target     int
	hit        int
	firstToken time.Duration
	done       time.Duration
	refused    bool
}

// world is one run in virtual time.
type world struct {
	opts    options
	policy  policy
	dcs     int
	now     time.Duration
	queue   eventQueue
	order   uint64
	rng     *rand.Rand
	engines []*engine
	entries []*entryState
	ended   []*request
	answers float64 // mean length of answers learnt
}

func run(o options) *world {
	w := &world{opts: o, policy: o.policy, dcs: o.dcs, rng: rand.New(rand.NewPCG(o.seed, 1))}
	for i := range o.engines {
		w.engines = append(w.engines, newEngine(w, i))
	}
	if o.slow {
		w.engines[0].speed = 0.5
	}
	for i := range o.entries {
		w.entries = append(w.entries, newEntryState(w, i))
	}
	requests := o.load.requests(o.seed, o.entries)
	for _, r := range requests {
		w.after(r.at, func() { w.entries[r.entry].arrive(r) })
	}
	for _, e := range w.engines {
		w.after(reportEvery*time.Duration(e.index+1)/time.Duration(o.engines+1), func() { w.reports(e) })
		w.after(cacheEvery, func() { w.cacheEvents(e, 1) })
	}
	for len(w.queue) > 0 && len(w.ended) < len(requests) {
		ev := heap.Pop(&w.queue).(*event)
		w.now = ev.at
		ev.do()
	}
	return w
}

// reports sends one engine's account to every entry, late, and plans the next.
func (w *world) reports(e *engine) {
	for _, en := range w.entries {
		if w.rng.Float64() < w.opts.lost {
			continue
		}
		account, made := e.gate.LoadReport(en.name), w.now
		w.after(w.opts.lag+hop, func() { en.report(e.index, account, made) })
	}
	w.after(reportEvery, func() { w.reports(e) })
}

func (w *world) cacheEvents(e *engine, seq uint64) {
	events := e.events
	e.events = nil
	for _, en := range w.entries {
		w.after(w.opts.lag+hop, func() { en.cacheEvents(e.index, seq, events) })
	}
	w.after(cacheEvery, func() { w.cacheEvents(e, seq+1) })
}

func (w *world) expectedDecode() float64 {
	if w.answers == 0 {
		return route.EstimateCost(0, 0, 0).Decode
	}
	return w.answers
}

const answerStep = 0.01

func (w *world) finished(r *request) {
	r.done = w.now
	w.answers = w.expectedDecode() + answerStep*(float64(r.output)-w.expectedDecode())
	w.entries[r.entry].finished(r)
	w.ended = append(w.ended, r)
}

func (w *world) late(r *request) {
	w.entries[r.entry].finished(r)
	w.refuse(r)
}

func (w *world) refuse(r *request) {
	r.refused = true
	r.done = w.now
	w.ended = append(w.ended, r)
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, &event{at: w.now + d, order: w.order, do: do})
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	ev := old[len(old)-1]
	*q = old[:len(old)-1]
	return ev
}
