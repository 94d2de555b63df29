package placing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// urgencyEntry returns the tracker and the queue of an entry with requests that wait. reported are the
// requests that wait at all entries of a group with headroom for ten more.
func urgencyEntry(target *serving.Target, waiting []*Request, reported QueueCounts, now time.Time) (*Tracker, *AdmissionQueue) {
	tr, q := testTracker(), new(AdmissionQueue)
	loads := map[string]RankLoad{target.Address: {Running: 90}}
	tr.ApplyLoadReport("s", []*serving.Target{target}, loads, NewGroupState(loads, 1, 1, reported, now))
	for _, r := range waiting {
		q.Enqueue(r, now)
	}
	return tr, q
}

// startedBy admits requests with a limit of 100 streams and counts those that start, by priority.
func startedBy(tr *Tracker, q *AdmissionQueue, target *serving.Target, now time.Time) map[int]int {
	started := make(map[int]int)
	pools := singlePool(testPool(fullGroupEntries, target), 100)
	tr.updateHeadroom(pools, q.demand(now), now)
	q.grant(now, func() bool { return tr.canAdmitLate(pools, now) }, func(r *Request) *serving.Target {
		t := tr.reserve(pools, r, now)
		if t != nil {
			started[r.Priority]++
		}
		return t
	})
	return started
}

func waitingAt(priority, count int, objective time.Duration, now time.Time) []*Request {
	var requests []*Request
	for range count {
		r := newWaitingRequest(priority, now)
		r.LatencyObjective = objective
		requests = append(requests, r)
	}
	return requests
}

// Ten slots are free, two urgent requests wait at each of four entries, and ten deferrable ones at each
// of 30 others. By a share that is the same for all requests, one urgent request in 30 would start, and
// the slots would go to requests that can wait.
func TestHeadroomGoesToUrgentRequestsOfAllEntriesFirst(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	reported := QueueCounts{OnTime: 308}
	reported.ByLevel[0], reported.ByLevel[5] = 8, 300
	urgent, deferrable := 0, 0
	for range 4 {
		tr, q := urgencyEntry(target, waitingAt(0, 2, 400*time.Millisecond, now), reported, now)
		urgent += startedBy(tr, q, target, now)[0]
	}
	g.Expect(urgent).To(Equal(8))
	const rounds = 40
	for range rounds * 30 {
		tr, q := urgencyEntry(target, waitingAt(2, 10, time.Second, now), reported, now)
		deferrable += startedBy(tr, q, target, now)[2]
	}
	g.Expect(float64(deferrable)/rounds).To(BeNumerically("~", 2, 1), "the slots that urgent requests leave")
}

// With requests of one level, the division is as if levels did not exist: queue counts with levels and
// without give the same shares.
func TestLevelsDoNotChangeTheDivisionAmongEqualRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	for _, byLevel := range []bool{false, true} {
		reported := QueueCounts{OnTime: 40}
		if byLevel {
			reported.ByLevel[4] = 40
		}
		started := 0
		const rounds = 50
		for range rounds * 8 {
			tr, q := urgencyEntry(target, waitingAt(2, 5, 400*time.Millisecond, now), reported, now)
			started += startedBy(tr, q, target, now)[2]
		}
		g.Expect(float64(started)/rounds).To(BeNumerically("~", 10, 1.5), "with levels: %t", byLevel)
	}
}

// All headroom is taken and a request of this entry ends. Its slot must go to the most urgent request
// that waits here, as the next report may be too late for it.
func TestFreedSlotGoesToTheMostUrgentRequest(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	reported := QueueCounts{OnTime: 900}
	reported.ByLevel[0], reported.ByLevel[5] = 400, 500
	waiting := append(waitingAt(2, 3, time.Second, now), waitingAt(0, 1, 400*time.Millisecond, now)...)
	tr, q := urgencyEntry(target, waiting, reported, now)
	tr.StartAttempt(target, Size{})
	ts := tr.TargetState(target)
	loads := map[string]RankLoad{"1": {Running: 100}}
	tr.ApplyLoadReport("s", []*serving.Target{target}, loads, NewGroupState(loads, 1, 1, reported, now))
	g.Expect(startedBy(tr, q, target, now)).To(BeEmpty())
	tr.EndAttempt(ts, new(Request), now)
	g.Expect(startedBy(tr, q, target, now)).To(Equal(map[int]int{0: 1}))
}
