package placing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// One rank is many times as slow as usual, and each of its streams holds up all others.
// It gets none, though it is the only one that is empty; once it is as fast as before it
// gets work again. If most ranks are slow there is no better place, and all are used.
func TestAVerySlowRankGetsNothing(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := testBook()
	var targets []*serving.Target
	loads := make(map[string]RankLoad)
	for i := range 4 {
		address := fmt.Sprintf("x%d", i)
		targets = append(targets, &serving.Target{ID: address, Service: "s", Address: address, DataCentre: "a"})
		loads[address] = RankLoad{Running: 5, Slowdown: 1}
	}
	report := func(slow ...int) {
		for i, t := range targets {
			l := RankLoad{Running: 5, Slowdown: 1}
			if slices.Contains(slow, i) {
				l = RankLoad{Slowdown: 12}
			}
			loads[t.Address] = l
		}
		b.ApplyLoadReport("s", targets, loads, NewGroupState(loads, 1.2, 1.2, QueueCounts{}, now))
	}
	report(2)
	g.Expect(b.withoutSlow(targets, now)).To(Equal([]*serving.Target{targets[0], targets[1], targets[3]}))
	report()
	g.Expect(b.withoutSlow(targets, now)).To(Equal(targets))
	report(0, 1, 2)
	g.Expect(b.withoutSlow(targets, now)).To(Equal(targets))
}

// A rank is slow and passes take half a second. Who has eight seconds and wants twenty
// events can't be served in them: it is told so on arrival, with the longest time that it
// may wait before it comes back. Shorter ones are taken, and all are once passes are short
// again, or nothing is known of them any more.
func TestWhoCannotFinishIsToldOnArrival(t *testing.T) {
	g := NewWithT(t)
	gt := new(AdmissionQueue)
	now := time.Now()
	enter := func(events float64) (time.Duration, bool) {
		r := waiting(1, now)
		r.ExpectedEvents, r.Deadline = events, now.Add(8*time.Second)
		return gt.CanFinish(r, now)
	}
	pauses := func(pause time.Duration) {
		for range 4 * paceWeight {
			gt.RecordEventGap(pause, now)
		}
	}
	pauses(500 * time.Millisecond)
	_, taken := enter(20)
	g.Expect(taken).To(BeTrue(), "without a slow rank passes are short again soon")
	gt.noteSlowRank(true)
	wait, ok := enter(20)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeNumerically("~", 8*time.Second/3, time.Millisecond))
	_, ok = enter(12)
	g.Expect(ok).To(BeTrue())
	now = now.Add(2 * paceTTL)
	_, ok = enter(20)
	g.Expect(ok).To(BeTrue(), "nothing runs that could tell")
	pauses(500 * time.Millisecond)
	pauses(50 * time.Millisecond)
	_, ok = enter(20)
	g.Expect(ok).To(BeTrue())
}
