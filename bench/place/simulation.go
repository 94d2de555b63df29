package place

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/route"
)

// options are the parameters of one simulation.
type options struct {
	seed            uint64
	engines         int
	entries         int
	dataCentres     int
	queueLimit      int           // capacity of each target queue, in waiting requests
	reportDelay     time.Duration // delay of load reports and cache events
	reportLossShare float64       // share of load reports that are lost
	slowEngine      bool          // engine 0 runs at half speed
	policy          policy
	load            workload
}

const (
	oneWayDelay        = time.Millisecond // network delay between entry and agent
	reportInterval     = 100 * time.Millisecond
	cacheEventInterval = 200 * time.Millisecond
)

// request is a request of a caller, with its state and outcome.
type request struct {
	arrivedAt    time.Duration
	entry        int
	team         string
	weight       float64
	priority     int8
	promptTokens int
	outputTokens int
	blocks       []uint64
	deadline     time.Duration // time limit for the whole answer, from arrivedAt

	cost         route.Cost // remaining cost, as the entry estimates it
	rejections   route.RejectionHistory
	attempts     int
	avoid        map[string]bool
	target       int
	cachedTokens int
	firstTokenAt time.Duration
	endedAt      time.Duration
	rejected     bool
}

// simulation is one run of a workload in virtual time.
type simulation struct {
	opts             options
	policy           policy
	dataCentres      int
	now              time.Duration
	queue            eventQueue
	sequence         uint64
	rng              *rand.Rand
	engines          []*engine
	entries          []*entry
	endedRequests    []*request
	meanOutputTokens float64 // moving average of output lengths; 0: none yet
}

// run runs a simulation until all requests have ended.
func run(o options) *simulation {
	sim := &simulation{opts: o, policy: o.policy, dataCentres: o.dataCentres, rng: rand.New(rand.NewPCG(o.seed, 1))}
	for i := range o.engines {
		sim.engines = append(sim.engines, newEngine(sim, i))
	}
	if o.slowEngine {
		sim.engines[0].speed = 0.5
	}
	for i := range o.entries {
		sim.entries = append(sim.entries, newEntry(sim, i))
	}
	requests := o.load.requests(o.seed, o.entries)
	for _, r := range requests {
		sim.after(r.arrivedAt, func() { sim.entries[r.entry].place(r) })
	}
	for _, e := range sim.engines {
		sim.after(reportInterval*time.Duration(e.index+1)/time.Duration(o.engines+1), func() { sim.sendReports(e) })
		sim.after(cacheEventInterval, func() { sim.sendCacheEvents(e, 1) })
	}
	for len(sim.queue) > 0 && len(sim.endedRequests) < len(requests) {
		ev := heap.Pop(&sim.queue).(*event)
		sim.now = ev.at
		ev.run()
	}
	return sim
}

// sendReports sends the load report of one engine to every entry, with delay and losses, and
// schedules the next one.
func (sim *simulation) sendReports(e *engine) {
	for _, en := range sim.entries {
		if sim.rng.Float64() < sim.opts.reportLossShare {
			continue
		}
		report, reportedAt := e.queue.LoadReport(en.name), sim.now
		sim.after(sim.opts.reportDelay+oneWayDelay, func() { en.applyReport(e.index, report, reportedAt) })
	}
	sim.after(reportInterval, func() { sim.sendReports(e) })
}

// sendCacheEvents sends the cache events of one engine to every entry with the sequence number
// seq, and schedules the next batch.
func (sim *simulation) sendCacheEvents(e *engine, seq uint64) {
	events := e.events
	e.events = nil
	for _, en := range sim.entries {
		sim.after(sim.opts.reportDelay+oneWayDelay, func() { en.applyCacheEvents(e.index, seq, events) })
	}
	sim.after(cacheEventInterval, func() { sim.sendCacheEvents(e, seq+1) })
}

// expectedDecode returns the output tokens to expect of a request.
func (sim *simulation) expectedDecode() float64 {
	if sim.meanOutputTokens == 0 {
		return route.EstimateCost(0, 0, 0).Decode
	}
	return sim.meanOutputTokens
}

// outputAverageWeight is the weight of a new value in the moving average of output lengths.
const outputAverageWeight = 0.01

// finish ends a request that has its whole answer.
func (sim *simulation) finish(r *request) {
	r.endedAt = sim.now
	sim.meanOutputTokens = sim.expectedDecode() + outputAverageWeight*(float64(r.outputTokens)-sim.expectedDecode())
	sim.entries[r.entry].releaseRequest(r)
	sim.endedRequests = append(sim.endedRequests, r)
}

// expire rejects a request whose deadline passed in the queue of an engine.
func (sim *simulation) expire(r *request) {
	sim.entries[r.entry].releaseRequest(r)
	sim.reject(r)
}

// reject ends a request without an answer.
func (sim *simulation) reject(r *request) {
	r.rejected = true
	r.endedAt = sim.now
	sim.endedRequests = append(sim.endedRequests, r)
}

// event is a function to run at an instant of virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// after schedules do to run when d of virtual time has passed.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.sequence++
	heap.Push(&sim.queue, &event{at: sim.now + d, sequence: sim.sequence, run: do})
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
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
