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

// rateFleet plays entries that share targets, in virtual time: requests, the questions and news
// between entries, and answers of targets.
type rateFleet struct {
	rng     *rand.Rand
	now     time.Time
	events  eventQueue
	entries []*rateEntry
	target  rateTarget
	lossy   float64 // part of questions and news that are lost
	slow    time.Duration
	cold    float64 // rate of the target while it is cold; 0: it is not
	asked   int
	sent    int
}

type rateEntry struct {
	name string
	book *Tracker
	down bool
	runs int // starts of its process
}

type rateTarget struct {
	rate float64
	came []time.Time
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
	f := &rateFleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), slow: 3 * time.Millisecond}
	f.target.rate = Unlimited
	for i := range entries {
		f.entries = append(f.entries, &rateEntry{name: fmt.Sprintf("e%d", i), book: f.newBook(i)})
	}
	return f
}

func (f *rateFleet) newBook(i int) *Tracker {
	return NewTracker(fmt.Sprintf("e%d", i), "a", rand.New(rand.NewPCG(f.rng.Uint64(), 2)))
}

func (f *rateFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, event{at: f.now.Add(d), do: do})
}

// carry has something arrive after the way between two VMs, if it does.
func (f *rateFleet) carry(do func()) {
	if f.rng.Float64() >= f.lossy {
		f.after(f.slow/2+time.Duration(f.rng.Int64N(int64(f.slow))), do)
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

// owner is the first living entry, in everybody's view.
func (f *rateFleet) owner() *rateEntry {
	for _, e := range f.entries {
		if !e.down {
			return e
		}
	}
	return nil
}

// requests has an entry handle a request now and then.
func (f *rateFleet) requests(e *rateEntry, perSecond float64) {
	f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if !e.down {
			f.request(e)
		}
		f.requests(e, perSecond)
	})
}

func (f *rateFleet) request(e *rateEntry) {
	if rate, _ := e.book.RateLimitOf(limitedRun); rate == Unlimited && f.cold == 0 {
		f.send(e)
		return
	}
	if e.book.limits.closed(limitedRun, f.now) {
		return // it goes to another target
	}
	f.asked++
	owner, runs := f.owner(), e.runs
	if owner == e {
		f.granted(e, runs, e.book.IssuePermit(limitedRun, f.part(), PermitQuery{ColdRate: f.cold}, f.now))
		return
	}
	e.book.StopIssuingPermits(limitedRun)
	f.noPermit(e, 500*time.Millisecond) // unless an answer comes
	rate, said := e.book.RateLimitOf(limitedRun)
	age := f.now.Sub(said)
	f.carry(func() {
		if owner.down {
			return
		}
		owner.book.RecordRateLimit(RateLimit{Run: limitedRun, Rate: rate}, TimeBounds{Latest: f.now.Add(-age)}, f.now)
		permit := owner.book.IssuePermit(limitedRun, f.part(), PermitQuery{ColdRate: f.cold}, f.now)
		f.carry(func() { f.granted(e, runs, permit) })
	})
}

func (f *rateFleet) noPermit(e *rateEntry, wait time.Duration) {
	if f.cold > 0 {
		e.book.RecordColdPermitDenied(limitedRun, f.now.Add(wait))
		return
	}
	e.book.RecordPermitDenied(limitedRun, f.now.Add(wait))
}

func (f *rateFleet) part() float64 {
	living := 0
	for _, e := range f.entries {
		if !e.down {
			living++
		}
	}
	return float64(living) / float64(len(f.entries))
}

func (f *rateFleet) granted(e *rateEntry, runs int, permit Permit) {
	if e.down || e.runs != runs {
		return
	}
	f.noPermit(e, permit.Wait)
	if permit.Granted {
		f.after(permit.Wait, func() { f.send(e) })
	}
}

// send sends a request; the target's answer names the rate of the moment.
func (f *rateFleet) send(e *rateEntry) {
	f.sent++
	sentAt, runs := f.now, e.runs
	f.after(time.Millisecond, func() {
		f.target.came = append(f.target.came, f.now)
		f.after(50*time.Millisecond, func() {
			rate := f.target.rate
			f.after(time.Millisecond, func() {
				if !e.down && e.runs == runs {
					f.say(e, RateLimit{Run: limitedRun, Rate: rate}, TimeBounds{Earliest: sentAt, Latest: f.now})
				}
			})
		})
	})
}

// say has an entry take a rate, and tell a few others if it is news.
func (f *rateFleet) say(e *rateEntry, said RateLimit, at TimeBounds) {
	if !e.book.RecordRateLimit(said, at, f.now).Propagate {
		return
	}
	for range 5 {
		f.tell(e, f.entries[f.rng.IntN(len(f.entries))])
	}
}

func (f *rateFleet) tell(from, to *rateEntry) {
	if from == to || from.down {
		return
	}
	list, sent := from.book.RateLimits(16), f.now
	f.carry(func() {
		for _, o := range list {
			if !to.down {
				f.say(to, o.RateLimit, TimeBounds{Earliest: o.ReportedAt, Latest: f.now.Add(o.ReportedAt.Sub(sent))})
			}
		}
	})
}

// gossip has each entry tell another one in turn.
func (f *rateFleet) gossip(e *rateEntry) {
	f.after(250*time.Millisecond, func() {
		f.tell(e, f.entries[f.rng.IntN(len(f.entries))])
		f.gossip(e)
	})
}

// restart ends an entry's process, and starts it again knowing nothing.
func (f *rateFleet) restart(i int, after time.Duration) {
	e := f.entries[i]
	e.down = true
	f.after(after, func() {
		e.down, e.book = false, f.newBook(i)
		e.runs++
		f.tell(f.entries[cmp.Or(i, 1)-1], e) // it asks another one for all that it knows
	})
}

// Guards against a fleet that overruns a rate while entries crash and news is lost, and against a
// cost that grows with the fleet.
func TestAFleetKeepsToARateAtAnySize(t *testing.T) {
	for _, entries := range []int{8, 46, 410} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%d entries, seed %d", entries, seed), func(t *testing.T) {
				g := NewWithT(t)
				f := newRateFleet(entries, seed)
				f.lossy = 0.05
				const pressed = 120.0 // requests a second for the target, at all entries together
				for _, e := range f.entries {
					f.requests(e, pressed/float64(entries))
					f.gossip(e)
				}
				f.run(5 * time.Second)
				g.Expect(len(f.target.came)).To(BeNumerically(">", 400), "no rate is named yet")
				for _, rate := range []float64{4, 1, 2.5} {
					f.target.rate = rate
					f.run(3 * time.Second)
					from := len(f.target.came)
					f.asked, f.sent = 0, 0
					f.run(6 * time.Second)
					f.restart(f.rng.IntN(entries), 2*time.Second)
					f.run(6 * time.Second)
					f.restart(0, 3*time.Second) // the owner
					f.run(8 * time.Second)
					came := f.target.came[from:]
					g.Expect(mostIn(came, permitWindow)).To(BeNumerically("<=", int(rate*permitWindow.Seconds())+2), "rate %g", rate)
					g.Expect(float64(len(came))).To(BeNumerically(">=", rate*20*0.5), "rate %g", rate)
					g.Expect(float64(f.asked)).To(BeNumerically("<=", pressed*20))
				}
				f.target.rate = Unlimited
				f.run(5 * time.Second)
				from := len(f.target.came)
				f.run(5 * time.Second)
				g.Expect(len(f.target.came)-from).To(BeNumerically(">", 400), "the rate is over")
			})
		}
	}
}

// Guards against what is known of one run of a target being taken for another's.
func TestARateIsForgottenWithItsTarget(t *testing.T) {
	g := NewWithT(t)
	b, now := permitBook(), time.Unix(1000, 0)
	nameRate(b, limitedRun, 1, now)
	b.Prune(func(run serving.Run) bool { return run == limitedRun }, now)
	rate, _ := b.RateLimitOf(limitedRun)
	g.Expect(rate).To(Equal(1.0))
	b.Prune(func(serving.Run) bool { return false }, now)
	rate, _ = b.RateLimitOf(limitedRun)
	g.Expect(rate).To(Equal(float64(Unlimited)))
}
