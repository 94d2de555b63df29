package placing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// A cold target accepts at most its rate times coldBurstFactor plus coldSlack requests within any
// second. Source: its operators.
const (
	coldBurstFactor = 1.5
	coldSlack       = 5
)

// Many entries together must not overload a cold target, although each entry sends at less than the
// target's rate and the permit owner crashes.
func TestColdTargetStaysWithinItsRateAtAnyFleetSize(t *testing.T) {
	for _, entries := range []int{8, 46, 410, 1000} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d entries, seed %d", entries, seed), func(t *testing.T) {
				g := NewWithT(t)
				f := newRateFleet(entries, seed)
				f.lossRate, f.coldRate = 0.05, 26
				const offeredRate = 300.0 // requests a second for the target, at all entries together
				for _, e := range f.entries {
					f.generateRequests(e, offeredRate/float64(entries))
				}
				f.run(3 * time.Second)
				f.restart(0, 2*time.Second) // entry 0 is the permit owner
				f.run(5 * time.Second)
				g.Expect(float64(maxInWindow(f.target.received, time.Second))).To(BeNumerically("<=", f.coldRate*coldBurstFactor+coldSlack))
				g.Expect(float64(len(f.target.received))).To(BeNumerically(">=", f.coldRate*8*0.5), "the target gets enough requests")
				f.coldRate = 0
				from := len(f.target.received)
				f.run(5 * time.Second)
				g.Expect(float64(len(f.target.received)-from)).To(BeNumerically(">=", offeredRate*5*0.8), "the target is no longer cold")
			})
		}
	}
}

// After a power loss all targets are cold and all permit owners are new. If a new owner granted no
// permits at first, the whole fleet would be idle.
func TestColdTargetGetsPermitsRightAfterPermitOwnerChange(t *testing.T) {
	g := NewWithT(t)
	tr, now := permitTracker(), time.Unix(1000, 0)
	g.Expect(tr.IssuePermit(limitedRun, 1, PermitQuery{ColdRate: 26}, now).Granted).To(BeTrue())
	tr.StopIssuingPermits(limitedRun)
	g.Expect(tr.IssuePermit(limitedRun, 1, PermitQuery{ColdRate: 26}, now.Add(time.Second)).Granted).To(BeTrue())
}

// A cold target that also reports a rate limit must not get requests at the higher of the two
// rates.
func TestLowerOfColdRateAndRateLimitApplies(t *testing.T) {
	g := NewWithT(t)
	tr, now := permitTracker(), time.Unix(1000, 0)
	reportRate(tr, limitedRun, 1, now)
	tr.IssuePermit(limitedRun, 1, PermitQuery{ColdRate: 26}, now)
	now = now.Add(takeOverDelay)
	g.Expect(tr.IssuePermit(limitedRun, 1, PermitQuery{ColdRate: 26}, now).Granted).To(BeTrue())
	g.Expect(tr.IssuePermit(limitedRun, 1, PermitQuery{ColdRate: 26}, now.Add(100*time.Millisecond)).Granted).To(BeFalse())
	tr.Prune(func(serving.Run) bool { return false }, now)
	g.Expect(tr.IssuePermit(limitedRun, 1, PermitQuery{ColdRate: 26}, now).Granted).To(BeTrue())
}
