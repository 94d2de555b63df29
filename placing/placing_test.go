package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

var testRandom = rand.New(rand.NewPCG(1, 1))

func testBook() *Tracker { return NewTracker("e", "a", testRandom) }

func testLane(entries int, targets ...*serving.Target) TargetPool {
	return TargetPool{Service: &serving.Service{Name: "s"}, Targets: targets, Entries: entries}
}

func testModel() *serving.EngineModel {
	return &serving.EngineModel{
		Slots: 12, StepsPerPass: 4, BaseStepTime: 4550 * time.Microsecond, StepTimePerStream: 905 * time.Microsecond, ExpertShare: 0.85,
		PrefillRate: 61400, MeanPromptTokens: 800, MeanOutputTokens: 97,
	}
}

// Demand moves, the map fits half as well, and passes take twice as long. With as
// many streams as the limit allows a pass must stay within the aim for pauses, or
// every stream in the group is late at once.
func TestTheLimitKeepsPassesWithinTheAim(t *testing.T) {
	g := NewWithT(t)
	m := testModel()
	aim := 120 * time.Millisecond
	for _, imbalance := range []float64{1, 1.5, 2, 2.5} {
		for _, pace := range []float64{1, 2} {
			n := limit(m, aim, imbalance, pace)
			reading := m.MeanPromptTokens / m.PrefillRate / m.MeanOutputTokens * float64(time.Second)
			each := (float64(m.StepTimePerStream) + reading) * (0.15 + 0.85*imbalance)
			pass := time.Duration(float64(m.StepsPerPass) * (float64(m.BaseStepTime)*pace + n*each) * copySlows)
			more := time.Duration(float64(m.StepsPerPass) * each * copySlows)
			g.Expect(pass).To(BeNumerically("<=", aim+time.Microsecond), "imbalance %.1f, pace %.0f: %.1f streams", imbalance, pace, n)
			g.Expect(n == float64(m.Slots) || pass+more > aim).To(BeTrue(), "imbalance %.1f, pace %.0f: one stream more than %.1f would do", imbalance, pace, n)
		}
	}
	g.Expect(limit(m, aim, 1, 1)).To(Equal(12.0))
	g.Expect(limit(m, 0, 2, 1)).To(Equal(12.0), "without an aim there is nothing to keep")
}

// One rank takes twelve times as long as usual. Its fixed part alone makes passes
// longer than the aim for pauses, so all streams are late however few there are;
// fewer would only leave more callers without an answer.
func TestWhereNoLimitKeepsTheAimAllPlacesAreUsed(t *testing.T) {
	g := NewWithT(t)
	m := testModel()
	g.Expect(limit(m, 120*time.Millisecond, 1.2, 12)).To(Equal(float64(m.Slots)))
	g.Expect(limit(m, 120*time.Millisecond, 100, 1)).To(Equal(float64(m.Slots)))
}

// More requests wait than the targets bear for long. One that comes now would go
// before those that are late already, so it must not be refused for their number.
func TestWhoCanBeInTimeIsNotRefusedForThoseThatCannot(t *testing.T) {
	g := NewWithT(t)
	gt, now := gateAtTenASecond()
	for range 15 {
		r := waiting(1, now.Add(-time.Second))
		r.LatencyObjective = 500 * time.Millisecond
		_, _, ok := gt.Enqueue(r, now)
		g.Expect(ok).To(BeTrue())
	}
	fresh := waiting(1, now)
	fresh.LatencyObjective = 500 * time.Millisecond
	_, _, ok := gt.Enqueue(fresh, now)
	g.Expect(ok).To(BeTrue())
}

// The agent of one target is away, so the reports of its group leave it out. It
// must not look empty, or every entry sends to it and requests queue there while
// others have room.
func TestATargetWithoutAReportIsNotTakenForEmpty(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := testBook()
	known, away := &serving.Target{ID: "k", Service: "s", Address: "1"}, &serving.Target{ID: "x", Service: "s", Address: "2"}
	b.ApplyLoadReport("s", []*serving.Target{known, away}, map[string]RankLoad{"1": {Running: 5, Waiting: 1}}, GroupState{MeanRequests: 6, ReportedAt: now})
	g.Expect(b.load(known, now)).To(Equal(6))
	g.Expect(b.load(away, now)).To(Equal(6))
	g.Expect(b.load(away, now.Add(2*ReportTTL))).To(BeZero(), "nothing is known of the group any more")
}

const fullEntries = 46

// fullGroup returns a book of an entry by whose report one target runs 6 of 10
// requests, and so many wait at all entries.
func fullGroup(target *serving.Target, wanting int, now time.Time) *Tracker {
	b := testBook()
	loads := map[string]RankLoad{target.Address: {Running: 6}}
	b.ApplyLoadReport("s", []*serving.Target{target}, loads, NewGroupState(loads, 1, 1, QueueCounts{InTime: wanting}, now))
	return b
}

// oneLane leads to the only group of a service, whose targets may run so many streams.
func oneLane(l TargetPool, most float64) []groupLane {
	return []groupLane{{TargetPool: l, key: groupKey{service: l.Service.Name}, most: most}}
}

// sendAll sends what waits at an entry as far as its share of the room goes.
func sendAll(b *Tracker, target *serving.Target, waiting int, now time.Time) (sent int) {
	l := testLane(fullEntries, target)
	lanes := oneLane(l, 10)
	b.prepare(lanes, demand{waiting: QueueCounts{InTime: waiting}, entered: waiting}, now)
	for range waiting {
		if b.reserve(lanes, new(Request), now) != nil {
			sent++
		}
	}
	return sent
}

// All targets are full but one, with room for four, and 46 entries with five requests
// each have the same report. Together they may send about four, not one or more each.
func TestTheRoomOfAGroupIsSharedByTheEntries(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	const rounds = 50
	sent := 0
	for range rounds {
		for range fullEntries {
			sent += sendAll(fullGroup(target, 5*fullEntries, now), target, 5, now)
		}
	}
	g.Expect(float64(sent) / rounds).To(BeNumerically("~", 4, 1.5))
}

// The same room, and only two entries have requests that wait. They must get it: if
// it were divided by the number of entries, requests would wait beside empty places.
func TestRoomGoesToTheEntriesThatWantIt(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	for range 2 {
		g.Expect(sendAll(fullGroup(target, 4, now), target, 2, now)).To(Equal(2))
	}
}

// The agent that reports for the group stands still. Eight entries go on with what
// they know themselves; together they must not send much more than the targets
// bear, or all that runs there is late.
func TestEntriesThatGetNoReportsDoNotFillTheTargets(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	const entries, limit = 8, 5
	var targets []*serving.Target
	for i := range 12 {
		targets = append(targets, &serving.Target{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprint(i)})
	}
	sent := 0
	for range entries {
		b := testBook()
		for range entries * limit * len(targets) {
			lanes := oneLane(testLane(entries, targets...), limit)
			b.prepare(lanes, demand{}, now)
			if b.reserve(lanes, new(Request), now) == nil {
				break
			}
			sent++
		}
	}
	g.Expect(sent).To(BeNumerically("~", limit*len(targets), limit*len(targets)/3))
}

// A request of this entry ends at a target that is full otherwise: the place that
// it frees is for the next of this entry's.
func TestAnEntryUsesAgainWhatItsOwnRequestsFree(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	b := testBook()
	b.StartAttempt(target, Size{})
	a := b.TargetState(target)
	loads := map[string]RankLoad{"1": {Running: 10}}
	b.ApplyLoadReport("s", []*serving.Target{target}, loads, NewGroupState(loads, 1, 1, QueueCounts{InTime: 60}, now))
	g.Expect(sendAll(b, target, 3, now)).To(BeZero())
	b.EndAttempt(a, new(Request), now)
	g.Expect(sendAll(b, target, 3, now)).To(Equal(1))
}

func always() bool { return true }

// letGo lets all requests of a gate go, and returns them in the order they went in.
func letGo(gt *AdmissionQueue, now time.Time) (order []*Request) {
	gt.grant(now, always, func(r *Request) *serving.Target {
		order = append(order, r)
		return &serving.Target{}
	})
	return order
}

// gateAtTenASecond returns a gate that has let ten requests go a second, and the time.
func gateAtTenASecond() (*AdmissionQueue, time.Time) {
	gt, now := new(AdmissionQueue), time.Now()
	for range rateMemory {
		gt.rate.count(now)
		now = now.Add(100 * time.Millisecond)
	}
	return gt, now
}

func waiting(priority int, arrived time.Time) *Request {
	return &Request{Priority: priority, Arrived: arrived, MaxWait: 1500 * time.Millisecond}
}

// More requests come than targets have room for. The more urgent go first, and
// equals in the order of their arrival.
func TestTheGateGoesByPriorityThenArrival(t *testing.T) {
	g := NewWithT(t)
	gt := new(AdmissionQueue)
	now := time.Now()
	reqs := []*Request{waiting(2, now), waiting(1, now.Add(1)), waiting(1, now.Add(2)), waiting(0, now.Add(3))}
	for _, r := range reqs {
		_, _, ok := gt.Enqueue(r, now)
		g.Expect(ok).To(BeTrue())
	}
	g.Expect(letGo(gt, now)).To(Equal([]*Request{reqs[3], reqs[1], reqs[2], reqs[0]}))
}

// Two requests have waited for longer than their aim allows and two have not. Those
// that can still be in time go first, whatever comes after goes in order.
func TestWhoCanStillBeInTimeGoesFirst(t *testing.T) {
	g := NewWithT(t)
	gt := new(AdmissionQueue)
	now := time.Now()
	var reqs []*Request
	for _, age := range []time.Duration{900, 700, 200, 100} {
		r := waiting(1, now.Add(-age*time.Millisecond))
		r.LatencyObjective = 500 * time.Millisecond
		reqs = append(reqs, r)
		_, _, ok := gt.Enqueue(r, now)
		g.Expect(ok).To(BeTrue())
	}
	g.Expect(letGo(gt, now)).To(Equal([]*Request{reqs[2], reqs[3], reqs[0], reqs[1]}))
}

// The queue moves at ten requests a second, and callers stay for two seconds. Who
// would wait for longer is refused on arrival with the time after which there is
// room, and not after having waited in vain.
func TestTheGateRefusesAtOnceWhoWouldWaitTooLong(t *testing.T) {
	g := NewWithT(t)
	gt, now := gateAtTenASecond()
	accepted := 0
	var wait time.Duration
	for range 30 {
		_, w, ok := gt.Enqueue(waiting(1, now), now)
		if !ok {
			wait = w
			break
		}
		accepted++
	}
	g.Expect(accepted).To(BeNumerically("~", 15, 2), "three quarters of two seconds at ten a second")
	g.Expect(wait).To(BeNumerically("~", 1600*time.Millisecond, 200*time.Millisecond))
	_, _, ok := gt.Enqueue(waiting(0, now), now)
	g.Expect(ok).To(BeTrue(), "a more urgent request does not wait behind the others")
}

// A rank has died and every engine of its group refuses. Requests wait; one at a
// time is let through to see, and the first that is answered opens the gate.
func TestABrokenGroupIsProbedByOne(t *testing.T) {
	g := NewWithT(t)
	gt := new(AdmissionQueue)
	now := time.Now()
	b := testBook()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	l := testLane(1, target)
	l.Service.Engine = testModel()
	for range 5 {
		_, _, ok := gt.Enqueue(waiting(1, now), now)
		g.Expect(ok).To(BeTrue())
	}
	let := func() int {
		before := gt.QueueCounts(now)
		Admit(gt, b, l, now)
		after := gt.QueueCounts(now)
		return before.InTime + before.Late - after.InTime - after.Late
	}
	b.RecordGroupRefusal(target, now)
	g.Expect(let()).To(BeZero())
	now = now.Add(probePause)
	g.Expect(let()).To(Equal(1))
	g.Expect(let()).To(BeZero())
	b.RecordGroupResponse(target, now)
	g.Expect(let()).To(Equal(4))
}

// A target crashes, is kept out for it, and another one answers at its address. Then it
// starts again under its old id. What was booked of the earlier run concerns the new one
// no more: it is empty, it is there, and it gets work at once.
func TestATargetThatStartsAgainBeginsAnew(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := NewTracker("e", "a", rand.New(rand.NewPCG(1, 1)))
	old := &serving.Target{ID: "i", StartedAtMS: 1, Service: "s", Address: "x"}
	other := &serving.Target{ID: "j", StartedAtMS: 1, Service: "s", Address: "y"}
	none := func(*serving.Target) bool { return false }
	for range 20 {
		b.RecordOutcome(old, false, now)
	}
	for range 5 {
		b.StartAttempt(old, Size{})
	}
	b.MarkReplaced(old)
	for range 20 {
		g.Expect(b.Place([]*serving.Target{old, other}, none, now)).To(Equal(other))
	}
	again := &serving.Target{ID: "i", StartedAtMS: 2, Service: "s", Address: "x"}
	b.StartAttempt(other, Size{})
	g.Expect(b.Place([]*serving.Target{again, other}, none, now)).To(Equal(again))
	g.Expect(b.Snapshot(again, now).Requests).To(BeZero())
}

// The agent that reports for a group stands still, so the map does not follow demand
// either. The limit goes by the worst that was seen lately and not by what was so last:
// with the usual limit passes of a group of 12 came to lie just beyond the aim for four
// seconds, and all streams were late.
func TestASilentLeaderLimitsByTheWorstSeen(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := testBook()
	s := &serving.Service{Name: "s", Engine: testModel()}
	const aim = 120 * time.Millisecond
	b.ApplyLoadReport("s", nil, nil, NewGroupState(nil, 1.2, 3, QueueCounts{}, now))
	l, key := TargetPool{Service: s, EventGapObjective: aim}, groupKey{service: "s"}
	reported := b.limitOf(key, l, 1, now)
	silent := b.limitOf(key, l, 1, now.Add(2*ReportTTL))
	g.Expect(silent).To(Equal(limit(testModel(), aim, 3, 1)))
	g.Expect(silent).To(BeNumerically("<=", reported))
	g.Expect(testBook().limitOf(key, l, 1, now)).To(Equal(limit(testModel(), aim, calmImbalance, 1)), "nothing was seen yet")
}
