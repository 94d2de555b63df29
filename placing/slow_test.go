package placing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// One rank is many times slower than usual, and each of its streams delays all others. The slow
// rank must get no requests, even if it is idle, until it has recovered or most ranks are slow.
func TestVerySlowRankGetsNoRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	tr := testTracker()
	var targets []*serving.Target
	loads := make(map[string]RankLoad)
	for i := range 4 {
		address := fmt.Sprintf("x%d", i)
		targets = append(targets, &serving.Target{ID: address, Service: "s", Address: address, DataCentre: "a"})
		loads[address] = RankLoad{Running: 5, Slowdown: 1}
	}
	report := func(slow ...int) {
		for i, t := range targets {
			load := RankLoad{Running: 5, Slowdown: 1}
			if slices.Contains(slow, i) {
				load = RankLoad{Slowdown: 12}
			}
			loads[t.Address] = load
		}
		tr.ApplyLoadReport("s", targets, loads, NewGroupState(loads, 1.2, 1.2, QueueCounts{}, now))
	}
	report(2)
	g.Expect(tr.withoutSlowRanks(targets, now)).To(Equal([]*serving.Target{targets[0], targets[1], targets[3]}))
	report()
	g.Expect(tr.withoutSlowRanks(targets, now)).To(Equal(targets))
	report(0, 1, 2)
	g.Expect(tr.withoutSlowRanks(targets, now)).To(Equal(targets))
}

// With a slow rank passes take half a second, so a stream of twenty events can't end within eight
// seconds. It must be refused on arrival with the longest Retry-After that callers honour.
func TestStreamThatCannotFinishIsRefusedOnArrival(t *testing.T) {
	g := NewWithT(t)
	q := new(AdmissionQueue)
	now := time.Now()
	canFinish := func(events float64) (time.Duration, bool) {
		r := newWaitingRequest(1, now)
		r.ExpectedEvents, r.Deadline = events, now.Add(8*time.Second)
		return q.CanFinish(r, now)
	}
	recordGaps := func(gap time.Duration) {
		for range 4 * gapSmoothing {
			q.RecordEventGap(gap, now)
		}
	}
	recordGaps(500 * time.Millisecond)
	_, accepted := canFinish(20)
	g.Expect(accepted).To(BeTrue(), "without a slow rank passes recover soon")
	q.setSlowRank(true)
	retryAfter, ok := canFinish(20)
	g.Expect(ok).To(BeFalse())
	g.Expect(retryAfter).To(BeNumerically("~", 8*time.Second/3, time.Millisecond))
	_, ok = canFinish(12)
	g.Expect(ok).To(BeTrue())
	now = now.Add(2 * gapTTL)
	_, ok = canFinish(20)
	g.Expect(ok).To(BeTrue(), "the mean gap has expired")
	recordGaps(500 * time.Millisecond)
	recordGaps(50 * time.Millisecond)
	_, ok = canFinish(20)
	g.Expect(ok).To(BeTrue())
}
