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

func testTracker() *Tracker { return NewTracker("e", "a", testRandom) }

func testPool(entries int, targets ...*serving.Target) TargetPool {
	return TargetPool{Service: &serving.Service{Name: "s"}, Targets: targets, EntryCount: entries}
}

func testModel() *serving.EngineModel {
	return &serving.EngineModel{
		Slots: 12, StepsPerPass: 4, BaseStepTime: 4550 * time.Microsecond, StepTimePerStream: 905 * time.Microsecond, ExpertShare: 0.85,
		PrefillRate: 61400, MeanPromptTokens: 800, MeanOutputTokens: 97,
	}
}

// Demand shifts, the expert map fits half as well, and passes take twice as long. At the stream
// limit a pass must stay within the event-gap objective, or all streams are late.
func TestStreamLimitKeepsPassesWithinTheObjective(t *testing.T) {
	g := NewWithT(t)
	m := testModel()
	gapObjective := 120 * time.Millisecond
	for _, imbalance := range []float64{1, 1.5, 2, 2.5} {
		for _, slowdown := range []float64{1, 2} {
			streams := streamLimit(m, gapObjective, imbalance, slowdown)
			prefill := m.MeanPromptTokens / m.PrefillRate / m.MeanOutputTokens * float64(time.Second)
			timePerStream := (float64(m.StepTimePerStream) + prefill) * (0.15 + 0.85*imbalance)
			pass := time.Duration(float64(m.StepsPerPass) * (float64(m.BaseStepTime)*slowdown + streams*timePerStream) * copySlowdown)
			extraStreamTime := time.Duration(float64(m.StepsPerPass) * timePerStream * copySlowdown)
			g.Expect(pass).To(BeNumerically("<=", gapObjective+time.Microsecond), "imbalance %.1f, slowdown %.0f: %.1f streams", imbalance, slowdown, streams)
			g.Expect(streams == float64(m.Slots) || pass+extraStreamTime > gapObjective).To(BeTrue(), "imbalance %.1f, slowdown %.0f: one stream more than %.1f fits", imbalance, slowdown, streams)
		}
	}
	g.Expect(streamLimit(m, gapObjective, 1, 1)).To(Equal(12.0))
	g.Expect(streamLimit(m, 0, 2, 1)).To(Equal(12.0), "without an objective all slots are used")
}

// One rank is twelve times slower than usual, so that passes exceed the objective whatever the
// number of streams. Fewer streams would only leave more callers without a response.
func TestStreamLimitIsAllSlotsWhenObjectiveIsUnreachable(t *testing.T) {
	g := NewWithT(t)
	m := testModel()
	g.Expect(streamLimit(m, 120*time.Millisecond, 1.2, 12)).To(Equal(float64(m.Slots)))
	g.Expect(streamLimit(m, 120*time.Millisecond, 100, 1)).To(Equal(float64(m.Slots)))
}

// More requests wait than the targets sustain. A new request is admitted before those that are
// already late, so their number must not lead to its refusal.
func TestOnTimeRequestIsNotRefusedBecauseOfLateOnes(t *testing.T) {
	g := NewWithT(t)
	q, now := queueAtTenPerSecond()
	for range 15 {
		r := newWaitingRequest(1, now.Add(-time.Second))
		r.LatencyObjective = 500 * time.Millisecond
		_, _, ok := q.Enqueue(r, now)
		g.Expect(ok).To(BeTrue())
	}
	fresh := newWaitingRequest(1, now)
	fresh.LatencyObjective = 500 * time.Millisecond
	_, _, ok := q.Enqueue(fresh, now)
	g.Expect(ok).To(BeTrue())
}

// The agent of one target is unreachable, so the reports of its group omit it. If it counted as
// idle, every entry would send there.
func TestTargetWithoutReportIsNotTakenForIdle(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	tr := testTracker()
	reported, unreported := &serving.Target{ID: "k", Service: "s", Address: "1"}, &serving.Target{ID: "x", Service: "s", Address: "2"}
	tr.ApplyLoadReport("s", []*serving.Target{reported, unreported}, map[string]RankLoad{"1": {Running: 5, Waiting: 1}}, GroupState{MeanRequests: 6, ReportedAt: now})
	g.Expect(tr.load(reported, now)).To(Equal(6))
	g.Expect(tr.load(unreported, now)).To(Equal(6))
	g.Expect(tr.load(unreported, now.Add(2*ReportTTL))).To(BeZero(), "the report of the group has expired")
}

const fullGroupEntries = 46

// newFullGroup returns the tracker of an entry with a report by which one target runs 6 of 10
// requests. waiting is the number of requests that wait at all entries.
func newFullGroup(target *serving.Target, waiting int, now time.Time) *Tracker {
	tr := testTracker()
	loads := map[string]RankLoad{target.Address: {Running: 6}}
	tr.ApplyLoadReport("s", []*serving.Target{target}, loads, NewGroupState(loads, 1, 1, QueueCounts{OnTime: waiting}, now))
	return tr
}

// singlePool returns the only group of a service with a limit of maxStreams per target.
func singlePool(pool TargetPool, maxStreams float64) []groupPool {
	return []groupPool{{TargetPool: pool, key: groupKey{service: pool.Service.Name}, maxStreams: maxStreams}}
}

// sendAll sends waiting requests of an entry until its share of the headroom is used.
func sendAll(tr *Tracker, target *serving.Target, waiting int, now time.Time) (sent int) {
	pool := testPool(fullGroupEntries, target)
	pools := singlePool(pool, 10)
	tr.updateHeadroom(pools, demand{queued: QueueCounts{OnTime: waiting}, enqueued: waiting}, now)
	for range waiting {
		if tr.reserve(pools, new(Request), now) != nil {
			sent++
		}
	}
	return sent
}

// One target has headroom for four requests, and 46 entries with five waiting requests each have
// the same report. Together they may send about four requests, not one or more each.
func TestEntriesShareGroupHeadroom(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	const rounds = 50
	sent := 0
	for range rounds {
		for range fullGroupEntries {
			sent += sendAll(newFullGroup(target, 5*fullGroupEntries, now), target, 5, now)
		}
	}
	g.Expect(float64(sent) / rounds).To(BeNumerically("~", 4, 1.5))
}

// Only two entries have waiting requests. If the headroom were divided by the number of all
// entries, most of it would stay unused while requests wait.
func TestHeadroomGoesToEntriesWithDemand(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	for range 2 {
		g.Expect(sendAll(newFullGroup(target, 4, now), target, 2, now)).To(Equal(2))
	}
}

// The leader agent of the group has stalled, so there are no reports. Eight entries must together
// not send much more than the targets sustain.
func TestEntriesWithoutReportsDoNotOverloadTargets(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	const entries, limit = 8, 5
	var targets []*serving.Target
	for i := range 12 {
		targets = append(targets, &serving.Target{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprint(i)})
	}
	sent := 0
	for range entries {
		tr := testTracker()
		for range entries * limit * len(targets) {
			pools := singlePool(testPool(entries, targets...), limit)
			tr.updateHeadroom(pools, demand{}, now)
			if tr.reserve(pools, new(Request), now) == nil {
				break
			}
			sent++
		}
	}
	g.Expect(sent).To(BeNumerically("~", limit*len(targets), limit*len(targets)/3))
}

// A request of this entry ends at an otherwise full target. Its slot must go to this entry's next
// request.
func TestEntryReusesSlotsOfItsEndedRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	tr := testTracker()
	tr.StartAttempt(target, Size{})
	ts := tr.TargetState(target)
	loads := map[string]RankLoad{"1": {Running: 10}}
	tr.ApplyLoadReport("s", []*serving.Target{target}, loads, NewGroupState(loads, 1, 1, QueueCounts{OnTime: 60}, now))
	g.Expect(sendAll(tr, target, 3, now)).To(BeZero())
	tr.EndAttempt(ts, new(Request), now)
	g.Expect(sendAll(tr, target, 3, now)).To(Equal(1))
}

func always() bool { return true }

// admitAll admits all requests of a queue and returns them in the order of admission.
func admitAll(q *AdmissionQueue, now time.Time) (order []*Request) {
	q.grant(now, always, func(r *Request) *serving.Target {
		order = append(order, r)
		return &serving.Target{}
	})
	return order
}

// queueAtTenPerSecond returns a queue that has admitted ten requests a second, and the current
// time.
func queueAtTenPerSecond() (*AdmissionQueue, time.Time) {
	q, now := new(AdmissionQueue), time.Now()
	for range rateSamples {
		q.rate.record(now)
		now = now.Add(100 * time.Millisecond)
	}
	return q, now
}

func newWaitingRequest(priority int, arrived time.Time) *Request {
	return &Request{Priority: priority, Arrived: arrived, MaxWait: 1500 * time.Millisecond}
}

// More requests arrive than targets have headroom for. More urgent ones are admitted first, equally
// urgent ones in the order of arrival.
func TestAdmissionIsByPriorityThenArrival(t *testing.T) {
	g := NewWithT(t)
	q := new(AdmissionQueue)
	now := time.Now()
	reqs := []*Request{newWaitingRequest(2, now), newWaitingRequest(1, now.Add(1)), newWaitingRequest(1, now.Add(2)), newWaitingRequest(0, now.Add(3))}
	for _, r := range reqs {
		_, _, ok := q.Enqueue(r, now)
		g.Expect(ok).To(BeTrue())
	}
	g.Expect(admitAll(q, now)).To(Equal([]*Request{reqs[3], reqs[1], reqs[2], reqs[0]}))
}

// Two requests have waited longer than their objective allows and two have not. The latter are
// admitted first.
func TestOnTimeRequestsAreAdmittedFirst(t *testing.T) {
	g := NewWithT(t)
	q := new(AdmissionQueue)
	now := time.Now()
	var reqs []*Request
	for _, age := range []time.Duration{900, 700, 200, 100} {
		r := newWaitingRequest(1, now.Add(-age*time.Millisecond))
		r.LatencyObjective = 500 * time.Millisecond
		reqs = append(reqs, r)
		_, _, ok := q.Enqueue(r, now)
		g.Expect(ok).To(BeTrue())
	}
	g.Expect(admitAll(q, now)).To(Equal([]*Request{reqs[2], reqs[3], reqs[0], reqs[1]}))
}

// The queue admits ten requests a second and callers wait for two seconds. A request whose expected
// wait is longer is refused on arrival with a Retry-After.
func TestRequestWithTooLongExpectedWaitIsRefusedOnArrival(t *testing.T) {
	g := NewWithT(t)
	q, now := queueAtTenPerSecond()
	accepted := 0
	var wait time.Duration
	for range 30 {
		_, w, ok := q.Enqueue(newWaitingRequest(1, now), now)
		if !ok {
			wait = w
			break
		}
		accepted++
	}
	g.Expect(accepted).To(BeNumerically("~", 15, 2), "three quarters of two seconds at ten a second")
	g.Expect(wait).To(BeNumerically("~", 1600*time.Millisecond, 200*time.Millisecond))
	_, _, ok := q.Enqueue(newWaitingRequest(0, now), now)
	g.Expect(ok).To(BeTrue(), "a more urgent request does not wait behind the others")
}

// A rank has died and every engine of its group refuses. One probe at a time is let through, and
// the first response closes the breaker.
func TestGroupThatIsDownGetsOneProbeAtATime(t *testing.T) {
	g := NewWithT(t)
	q := new(AdmissionQueue)
	now := time.Now()
	tr := testTracker()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	pool := testPool(1, target)
	pool.Service.Engine = testModel()
	for range 5 {
		_, _, ok := q.Enqueue(newWaitingRequest(1, now), now)
		g.Expect(ok).To(BeTrue())
	}
	admit := func() int {
		before := q.QueueCounts(now)
		Admit(q, tr, pool, now)
		after := q.QueueCounts(now)
		return before.OnTime + before.Late - after.OnTime - after.Late
	}
	tr.RecordGroupRefusal(target, now)
	g.Expect(admit()).To(BeZero())
	now = now.Add(probeInterval)
	g.Expect(admit()).To(Equal(1))
	g.Expect(admit()).To(BeZero())
	tr.RecordGroupResponse(target, now)
	g.Expect(admit()).To(Equal(4))
}

// A target crashes, is ejected, and another target takes over its address. When it restarts under
// its old ID, the state of the earlier run must not count.
func TestRestartedTargetHasFreshState(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	tr := NewTracker("e", "a", rand.New(rand.NewPCG(1, 1)))
	old := &serving.Target{ID: "i", StartedAtMS: 1, Service: "s", Address: "x"}
	other := &serving.Target{ID: "j", StartedAtMS: 1, Service: "s", Address: "y"}
	noneExcluded := func(*serving.Target) bool { return false }
	for range 20 {
		tr.RecordOutcome(old, false, now)
	}
	for range 5 {
		tr.StartAttempt(old, Size{})
	}
	tr.MarkReplaced(old)
	for range 20 {
		g.Expect(tr.Place([]*serving.Target{old, other}, noneExcluded, now)).To(Equal(other))
	}
	restarted := &serving.Target{ID: "i", StartedAtMS: 2, Service: "s", Address: "x"}
	tr.StartAttempt(other, Size{})
	g.Expect(tr.Place([]*serving.Target{restarted, other}, noneExcluded, now)).To(Equal(restarted))
	g.Expect(tr.Snapshot(restarted, now).Requests).To(BeZero())
}

// The leader agent stalls, so the map is not rebalanced. At the usual limit all streams of a group
// of 12 missed the event-gap objective for 4 s; the limit must use the recent peak of imbalance.
func TestStreamLimitWithoutReportsUsesPeakImbalance(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	tr := testTracker()
	s := &serving.Service{Name: "s", Engine: testModel()}
	const gapObjective = 120 * time.Millisecond
	tr.ApplyLoadReport("s", nil, nil, NewGroupState(nil, 1.2, 3, QueueCounts{}, now))
	pool, key := TargetPool{Service: s, EventGapObjective: gapObjective}, groupKey{service: "s"}
	reported := tr.groupStreamLimit(key, pool, 1, now)
	unreported := tr.groupStreamLimit(key, pool, 1, now.Add(2*ReportTTL))
	g.Expect(unreported).To(Equal(streamLimit(testModel(), gapObjective, 3, 1)))
	g.Expect(unreported).To(BeNumerically("<=", reported))
	g.Expect(testTracker().groupStreamLimit(key, pool, 1, now)).To(Equal(streamLimit(testModel(), gapObjective, defaultImbalance, 1)), "no imbalance is known yet")
}
