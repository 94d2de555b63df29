package placing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

const permitWindow = 4 * time.Second

// maxInWindow returns the largest number of times that fall into one window.
func maxInWindow(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// Frequent permit queries and changes of the rate must not lead to more permits than the rate
// allows.
func TestPermitsKeepTheRateInEveryWindow(t *testing.T) {
	for seed := range uint64(30) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		tr, start := permitTracker(), time.Unix(1000, 0)
		var granted []time.Time
		now, highest := start, 0.0
		for range 4000 {
			now = now.Add(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
			if rng.IntN(500) == 0 || now.Equal(start) || highest == 0 {
				rate := 0.2 + 8*rng.Float64()
				highest = max(highest, rate)
				tr.RecordRateLimit(RateLimit{Run: limitedRun, Rate: rate}, TimeBounds{Earliest: now, Latest: now.Add(1)}, now)
			}
			q := PermitQuery{MaxWait: time.Duration(rng.Int64N(int64(300 * time.Millisecond))), RejectIfDenied: rng.IntN(2) == 0}
			if permit := tr.IssuePermit(limitedRun, 1, q, now); permit.Granted {
				g.Expect(permit.Wait).To(BeNumerically("<=", q.MaxWait))
				granted = append(granted, now.Add(permit.Wait))
			}
		}
		g.Expect(granted).NotTo(BeEmpty())
		g.Expect(float64(maxInWindow(granted, permitWindow))).To(BeNumerically("<=", highest*permitWindow.Seconds()+1), "seed %d", seed)
	}
}

func permitTracker() *Tracker { return NewTracker("e", "a", rand.New(rand.NewPCG(1, 2))) }

func reportRate(tr *Tracker, run serving.Run, rate float64, now time.Time) {
	tr.RecordRateLimit(RateLimit{Run: run, Rate: rate}, TimeBounds{Earliest: now, Latest: now}, now)
}

// An entry becomes the permit owner and the previous owner has not learnt of it. The two must not
// grant permits at the same time.
func TestNewPermitOwnerGrantsNoPermitDuringTakeOverDelay(t *testing.T) {
	g := NewWithT(t)
	tr, now := permitTracker(), time.Unix(1000, 0)
	reportRate(tr, limitedRun, 10, now)
	g.Expect(tr.IssuePermit(limitedRun, 1, PermitQuery{}, now)).To(Equal(Permit{Wait: takeOverDelay}))
	g.Expect(tr.IssuePermit(limitedRun, 1, PermitQuery{}, now.Add(takeOverDelay)).Granted).To(BeTrue())
	tr.StopIssuingPermits(limitedRun)
	later := now.Add(time.Minute)
	g.Expect(tr.IssuePermit(limitedRun, 1, PermitQuery{}, later).Granted).To(BeFalse())
}

// The fleet is partitioned. Its sides together must not grant more than the rate.
func TestEachSideOfAPartitionGrantsItsPartOfTheRate(t *testing.T) {
	g := NewWithT(t)
	var granted []time.Time
	start := time.Unix(1000, 0)
	for _, liveShare := range []float64{3.0 / 8, 5.0 / 8} {
		tr := permitTracker()
		reportRate(tr, limitedRun, 2, start)
		for elapsed := time.Duration(0); elapsed < 30*time.Second; elapsed += 10 * time.Millisecond {
			if tr.IssuePermit(limitedRun, liveShare, PermitQuery{}, start.Add(elapsed)).Granted {
				granted = append(granted, start.Add(elapsed))
			}
		}
	}
	g.Expect(len(granted)).To(BeNumerically("~", 60, 4))
	g.Expect(maxInWindow(granted, permitWindow)).To(BeNumerically("<=", 10), "the permits of the rate, and one more for each side")
}

// Many callers are refused at once. Their Retry-After values must be spread, or all of them would
// return at the time of the same permit.
func TestRetryAfterOfRefusedCallersIsSpread(t *testing.T) {
	g := NewWithT(t)
	tr, now := permitTracker(), time.Unix(1000, 0)
	reportRate(tr, limitedRun, 2, now)
	now = now.Add(2 * time.Second)
	tr.IssuePermit(limitedRun, 1, PermitQuery{}, now)
	now = now.Add(takeOverDelay)
	g.Expect(tr.IssuePermit(limitedRun, 1, PermitQuery{}, now).Granted).To(BeTrue())
	query := PermitQuery{MaxWait: 100 * time.Millisecond, RejectIfDenied: true}
	for i := 1; i <= 10; i++ {
		g.Expect(tr.IssuePermit(limitedRun, 1, query, now).RetryAfter).To(Equal(time.Duration(i) * 500 * time.Millisecond))
	}
	for range 100 {
		g.Expect(tr.IssuePermit(limitedRun, 1, query, now).RetryAfter).To(BeNumerically("<=", maxRetrySpread+500*time.Millisecond))
	}
}

// A target reports a rate of zero for a while. If it is never sent another request, it can't report
// a higher rate.
func TestTargetWithRateZeroIsProbed(t *testing.T) {
	g := NewWithT(t)
	tr, now := permitTracker(), time.Unix(1000, 0)
	reportRate(tr, limitedRun, 0, now)
	var granted []time.Time
	for elapsed := time.Duration(0); elapsed < 2*time.Minute; elapsed += 50 * time.Millisecond {
		if tr.IssuePermit(limitedRun, 1, PermitQuery{}, now.Add(elapsed)).Granted {
			granted = append(granted, now.Add(elapsed))
		}
	}
	g.Expect(len(granted)).To(And(BeNumerically(">=", 3), BeNumerically("<=", 4)))
	raised := granted[len(granted)-1].Add(time.Second)
	reportRate(tr, limitedRun, 5, raised)
	g.Expect(tr.IssuePermit(limitedRun, 1, PermitQuery{}, raised).Granted).To(BeTrue(), "the earlier, lower rate causes no delay")
}

// All targets need permits, which are granted outside the admission queue. No request may be left
// waiting in that queue.
func TestQueueIsReleasedWhenAllTargetsAreRateLimited(t *testing.T) {
	g := NewWithT(t)
	tr, q, now := permitTracker(), new(AdmissionQueue), time.Unix(1000, 0)
	targets := []*serving.Target{{ID: "i1", Service: "s"}, {ID: "i2", Service: "s"}}
	pool := TargetPool{Service: &serving.Service{Name: "s", Engine: &serving.EngineModel{Slots: 4}}, Targets: targets, EntryCount: 1}
	reportRate(tr, targets[0].Run(), 1, now)
	tr.RecordPermitDenied(targets[0].Run(), now.Add(time.Second))
	w, _, _ := q.Enqueue(&Request{Arrived: now}, now)
	Admit(q, tr, pool, now)
	g.Expect(<-w.Granted()).To(Equal(targets[1]))

	reportRate(tr, targets[1].Run(), 1, now)
	w, _, _ = q.Enqueue(&Request{Arrived: now}, now)
	Admit(q, tr, pool, now)
	g.Expect(<-w.Granted()).To(BeNil())
	g.Expect(q.HasWaiting()).To(BeFalse())
	noneExcluded := func(*serving.Target) bool { return false }
	limited, ownerRetry := tr.TargetsNeedingPermits(targets, noneExcluded, now)
	g.Expect(limited).To(Equal([]*serving.Target{targets[1], targets[0]}), "the target with an available permit comes first")
	g.Expect(ownerRetry).To(BeZero())
	tr.RecordOwnerUnreachable(targets[1].Run(), now.Add(time.Second))
	limited, ownerRetry = tr.TargetsNeedingPermits(targets, noneExcluded, now)
	g.Expect(limited).To(Equal(targets[:1]))
	g.Expect(ownerRetry).To(Equal(time.Second))
}

// Messages must not grow with the number of rate limits, and each limit must be propagated
// eventually.
func TestAllRateLimitsArePropagatedInBoundedMessages(t *testing.T) {
	g := NewWithT(t)
	tr, now := permitTracker(), time.Unix(1000, 0)
	propagated := make(map[string]bool)
	for i := range 200 {
		reportRate(tr, serving.Run{ID: string(rune('a'+i%20)) + string(rune('a'+i/20))}, 1, now.Add(time.Duration(i)))
	}
	newest := serving.Run{ID: "newest"}
	reportRate(tr, newest, 1, now.Add(time.Second))
	for range 200 {
		list := tr.RateLimits(16)
		g.Expect(list).To(HaveLen(16))
		g.Expect(slices.ContainsFunc(list, func(limit ReportedRateLimit) bool { return limit.Run == newest })).To(BeTrue())
		for _, limit := range list {
			propagated[limit.Run.ID] = true
		}
	}
	g.Expect(propagated).To(HaveLen(201))
}
