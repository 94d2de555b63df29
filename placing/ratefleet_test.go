package placing

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// rateFleet simulates, in virtual time, entries that share a target: requests, permit queries and
// gossip between entries, and responses of the target.
type rateFleet struct {
	rng           *rand.Rand
	now           time.Time
	events        eventQueue
	entries       []*rateEntry
	target        rateTarget
	lossRate      float64 // share of messages between entries that are lost
	latency       time.Duration
	coldRate      float64 // rate of the target while it is cold; 0: it is not cold
	slots         int     // requests that the target runs at once
	permitQueries int
	sent          int
}

type rateEntry struct {
	name    string
	tracker *Tracker
	down    bool
	runs    int // number of starts of the entry's process
}

type rateTarget struct {
	rate     float64
	received []time.Time
}

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newRateFleet(entries int, seed uint64) *rateFleet {
	f := &rateFleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), latency: 3 * time.Millisecond}
	f.target.rate = Unlimited
	for i := range entries {
		f.entries = append(f.entries, &rateEntry{name: fmt.Sprintf("e%d", i), tracker: f.newTracker(i)})
	}
	return f
}

func (f *rateFleet) newTracker(i int) *Tracker {
	return NewTracker(fmt.Sprintf("e%d", i), "a", rand.New(rand.NewPCG(f.rng.Uint64(), 2)))
}

func (f *rateFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, event{at: f.now.Add(d), do: do})
}

// deliver runs do after a network delay between two VMs, unless the message is lost.
func (f *rateFleet) deliver(do func()) {
	if f.rng.Float64() >= f.lossRate {
		f.after(f.latency/2+time.Duration(f.rng.Int64N(int64(f.latency))), do)
	}
}

func (f *rateFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// owner returns the permit owner: the first living entry, in every entry's view.
func (f *rateFleet) owner() *rateEntry {
	for _, e := range f.entries {
		if !e.down {
			return e
		}
	}
	return nil
}

// generateRequests makes an entry handle requests at random intervals.
func (f *rateFleet) generateRequests(e *rateEntry, perSecond float64) {
	f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if !e.down {
			f.request(e)
		}
		f.generateRequests(e, perSecond)
	})
}

func (f *rateFleet) request(e *rateEntry) {
	if !e.tracker.Accepts(f.servingTarget(), f.now) {
		return // the request goes to another target
	}
	cold := f.startRate(e)
	if rate, _ := e.tracker.RateLimitOf(limitedRun); rate == Unlimited && cold == 0 {
		f.send(e)
		return
	}
	if e.tracker.stated.isBlocked(limitedRun, f.now) {
		return // the request goes to another target
	}
	f.permitQueries++
	owner, runs := f.owner(), e.runs
	if owner == e {
		f.applyPermit(e, runs, cold, e.tracker.IssuePermit(limitedRun, f.liveShare(), PermitQuery{ColdRate: cold}, f.now))
		return
	}
	e.tracker.StopIssuingPermits(limitedRun)
	f.denyPermit(e, 500*time.Millisecond, cold) // applies unless the response arrives earlier
	rate, reportedAt := e.tracker.RateLimitOf(limitedRun)
	age := f.now.Sub(reportedAt)
	f.deliver(func() {
		if owner.down {
			return
		}
		owner.tracker.RecordRateLimit(RateLimit{Run: limitedRun, Rate: rate}, TimeBounds{Latest: f.now.Add(-age)}, f.now)
		permit := owner.tracker.IssuePermit(limitedRun, f.liveShare(), PermitQuery{ColdRate: cold}, f.now)
		f.deliver(func() { f.applyPermit(e, runs, cold, permit) })
	})
}

// startRate returns the rate of the target while it is cold or has just ended a rest.
func (f *rateFleet) startRate(e *rateEntry) float64 {
	if f.coldRate > 0 {
		return f.coldRate
	}
	return e.tracker.RecoveryRate(f.servingTarget(), f.now)
}

func (f *rateFleet) servingTarget() *serving.Target {
	return &serving.Target{ID: limitedRun.ID, StartedAtMS: limitedRun.StartedAtMS, Slots: f.slots}
}

// restAll makes the target ask all entries for rest, each in an answer of its own.
func (f *rateFleet) restAll(rest time.Duration) {
	for _, e := range f.entries {
		e.tracker.RecordRest(limitedRun, rest+time.Duration(f.rng.Int64N(int64(10*time.Millisecond))), f.now)
	}
}

func (f *rateFleet) denyPermit(e *rateEntry, wait time.Duration, cold float64) {
	if cold > 0 {
		e.tracker.RecordColdPermitDenied(limitedRun, f.now.Add(wait))
		return
	}
	e.tracker.RecordPermitDenied(limitedRun, f.now.Add(wait))
}

func (f *rateFleet) liveShare() float64 {
	living := 0
	for _, e := range f.entries {
		if !e.down {
			living++
		}
	}
	return float64(living) / float64(len(f.entries))
}

func (f *rateFleet) applyPermit(e *rateEntry, runs int, cold float64, permit Permit) {
	if e.down || e.runs != runs {
		return
	}
	f.denyPermit(e, permit.Wait, cold)
	if permit.Granted {
		f.after(permit.Wait, func() { f.send(e) })
	}
}

// send sends a request; the response reports the current rate.
func (f *rateFleet) send(e *rateEntry) {
	f.sent++
	sentAt, runs := f.now, e.runs
	f.after(time.Millisecond, func() {
		f.target.received = append(f.target.received, f.now)
		f.after(50*time.Millisecond, func() {
			rate := f.target.rate
			f.after(time.Millisecond, func() {
				if !e.down && e.runs == runs {
					f.recordRate(e, RateLimit{Run: limitedRun, Rate: rate}, TimeBounds{Earliest: sentAt, Latest: f.now})
				}
			})
		})
	})
}

// recordRate records a rate at an entry, which notifies a few others if needed.
func (f *rateFleet) recordRate(e *rateEntry, reported RateLimit, bounds TimeBounds) {
	if !e.tracker.RecordRateLimit(reported, bounds, f.now).Propagate {
		return
	}
	for range 5 {
		f.notify(e, f.entries[f.rng.IntN(len(f.entries))])
	}
}

func (f *rateFleet) notify(from, to *rateEntry) {
	if from == to || from.down {
		return
	}
	list, sent := from.tracker.RateLimits(16), f.now
	f.deliver(func() {
		for _, limit := range list {
			if !to.down {
				f.recordRate(to, limit.RateLimit, TimeBounds{Earliest: limit.ReportedAt, Latest: f.now.Add(limit.ReportedAt.Sub(sent))})
			}
		}
	})
}

// gossip makes an entry notify a random other entry at intervals.
func (f *rateFleet) gossip(e *rateEntry) {
	f.after(250*time.Millisecond, func() {
		f.notify(e, f.entries[f.rng.IntN(len(f.entries))])
		f.gossip(e)
	})
}

// restart stops an entry's process and starts it again with empty state.
func (f *rateFleet) restart(i int, after time.Duration) {
	e := f.entries[i]
	e.down = true
	f.after(after, func() {
		e.down, e.tracker = false, f.newTracker(i)
		e.runs++
		f.notify(f.entries[cmp.Or(i, 1)-1], e) // the entry gets the state of another entry
	})
}

// Entries crash and messages are lost. The fleet must not exceed a rate limit, and the number of
// permit queries must not grow with the number of entries.
func TestFleetKeepsRateLimitAtAnySize(t *testing.T) {
	for _, entries := range []int{8, 46, 410} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%d entries, seed %d", entries, seed), func(t *testing.T) {
				g := NewWithT(t)
				f := newRateFleet(entries, seed)
				f.lossRate = 0.05
				const offeredRate = 120.0 // requests a second for the target, at all entries together
				for _, e := range f.entries {
					f.generateRequests(e, offeredRate/float64(entries))
					f.gossip(e)
				}
				f.run(5 * time.Second)
				g.Expect(len(f.target.received)).To(BeNumerically(">", 400), "no rate limit is reported yet")
				for _, rate := range []float64{4, 1, 2.5} {
					f.target.rate = rate
					f.run(3 * time.Second)
					from := len(f.target.received)
					f.permitQueries, f.sent = 0, 0
					f.run(6 * time.Second)
					f.restart(f.rng.IntN(entries), 2*time.Second)
					f.run(6 * time.Second)
					f.restart(0, 3*time.Second) // entry 0 is the permit owner
					f.run(8 * time.Second)
					received := f.target.received[from:]
					g.Expect(maxInWindow(received, permitWindow)).To(BeNumerically("<=", int(rate*permitWindow.Seconds())+2), "rate %g", rate)
					g.Expect(float64(len(received))).To(BeNumerically(">=", rate*20*0.5), "rate %g", rate)
					g.Expect(float64(f.permitQueries)).To(BeNumerically("<=", offeredRate*20))
				}
				f.target.rate = Unlimited
				f.run(5 * time.Second)
				from := len(f.target.received)
				f.run(5 * time.Second)
				g.Expect(len(f.target.received)-from).To(BeNumerically(">", 400), "the rate limit has ended")
			})
		}
	}
}

// The rate limit of a target that is gone must not apply to a later run.
func TestRateLimitIsPrunedWithItsTarget(t *testing.T) {
	g := NewWithT(t)
	tr, now := permitTracker(), time.Unix(1000, 0)
	reportRate(tr, limitedRun, 1, now)
	tr.Prune(func(run serving.Run) bool { return run == limitedRun }, now)
	rate, _ := tr.RateLimitOf(limitedRun)
	g.Expect(rate).To(Equal(1.0))
	tr.Prune(func(serving.Run) bool { return false }, now)
	rate, _ = tr.RateLimitOf(limitedRun)
	g.Expect(rate).To(Equal(float64(Unlimited)))
}
