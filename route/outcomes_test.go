package route_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
)

// However requests and failures follow each other, retries stay a share of the
// requests: what was saved up and the overdraft are the only addition.
func TestRetriesAreAShareOfRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		var b route.RetryBudget
		asked, retried := 0, 0
		for _, wanted := range rapid.SliceOfN(rapid.IntRange(0, 5), 1, 500).Draw(t, "retries wanted") {
			asked++
			b.RecordRequest(share)
			for range wanted {
				if b.TakeRetry() {
					retried++
				}
			}
		}
		if limit := share*float64(asked) + 3 + 1e-6; float64(retried) > limit {
			t.Fatalf("%d retries of %d requests, limit %f", retried, asked, limit)
		}
	})
}

// What must not run twice is retried only if it did not run, or at its home.
func TestNothingThatMayHaveRunIsRetriedElsewhere(t *testing.T) {
	g := NewWithT(t)
	for _, info := range result.All() {
		if info.Run != result.RunMaybe || info.Code == result.WireClosed || info.Code == result.TargetLost {
			continue
		}
		g.Expect(route.RetryRuleFor(info.Code, false)).To(Equal(route.RetryNever), info.Name)
	}
}

// Failing targets are kept out, come back slowly, and never all of them.
func TestEjection(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	names := []string{"a", "b", "c", "d"}
	always, never := func() float64 { return 0 }, func() float64 { return 0.999 }
	j := route.NewEjector[string]()
	for range 5 {
		j.RecordResult("a", false, now)
	}
	g.Expect(j.Excluded(names, now.Add(time.Second), always)).To(HaveKey("a"))
	g.Expect(j.Excluded(names, now.Add(3*time.Second), always)).To(BeEmpty())
	g.Expect(j.Excluded(names, now.Add(3*time.Second), never)).To(HaveKey("a"), "it comes back slowly")
	g.Expect(j.Excluded(names, now.Add(time.Minute), never)).To(BeEmpty())
	for _, name := range names {
		j.Eject(name, now.Add(time.Minute))
	}
	g.Expect(j.Excluded(names, now.Add(time.Minute+time.Second), always)).To(HaveLen(2))
	g.Expect(route.IsTargetFault(result.DeadlinePast)).To(BeFalse(), "slow is not dead")
}

// Suspicion, conviction and acquittal.
func TestQuarantine(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	verdict := func(q *route.Quarantine, f uint64) route.QuarantineAction {
		v, _ := q.Check(f, now)
		return v
	}
	q := route.NewQuarantine()
	q.RecordCrash(1, false, []uint64{10, 11}, now, now)
	q.RecordCrash(1, false, []uint64{10, 11}, now, now) // heard twice
	g.Expect(verdict(q, 10)).To(Equal(route.QuarantineRunAlone))
	q.Clear(11)
	g.Expect(verdict(q, 11)).To(Equal(route.QuarantineAllow))
	g.Expect(q.RecordCrash(2, true, []uint64{10}, now, now)).To(Equal(1))
	g.Expect(verdict(q, 10)).To(Equal(route.QuarantineReject))
	now = now.Add(6 * time.Minute)
	g.Expect(verdict(q, 10)).To(Equal(route.QuarantineAllow), "for a time only")
	for id := range uint64(4) {
		q.RecordCrash(100+id, false, []uint64{1000 + id}, now, now)
	}
	q.RecordCrash(200, true, []uint64{1000}, now, now)
	g.Expect(verdict(q, 1000)).To(Equal(route.QuarantineRunAlone), "others crash too")
}
