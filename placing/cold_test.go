package placing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// What a cold target bears in a second beyond its rate, as its operators state it.
const (
	coldOver  = 1.5
	coldSlack = 5
)

// Guards against entries that overrun a cold target together, each with a part of its rate or less,
// and while the entry that issues its permits crashes.
func TestAFleetKeepsAColdTargetUnderItsBoundAtAnySize(t *testing.T) {
	for _, entries := range []int{8, 46, 410, 1000} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d entries, seed %d", entries, seed), func(t *testing.T) {
				g := NewWithT(t)
				f := newRateFleet(entries, seed)
				f.lossy, f.cold = 0.05, 26
				const pressed = 300.0 // requests a second for the target, at all entries together
				for _, e := range f.entries {
					f.requests(e, pressed/float64(entries))
				}
				f.run(3 * time.Second)
				f.restart(0, 2*time.Second) // the owner
				f.run(5 * time.Second)
				g.Expect(float64(mostIn(f.target.came, time.Second))).To(BeNumerically("<=", f.cold*coldOver+coldSlack))
				g.Expect(float64(len(f.target.came))).To(BeNumerically(">=", f.cold*8*0.5), "the target is of use")
				f.cold = 0
				from := len(f.target.came)
				f.run(5 * time.Second)
				g.Expect(float64(len(f.target.came)-from)).To(BeNumerically(">=", pressed*5*0.8), "it is cold no longer")
			})
		}
	}
}

// Guards against a cold target of which nothing is granted while permits change hands: after a loss
// of power all targets are cold and all permits do.
func TestAColdTargetGetsWorkAsSoonAsItsPermitsChangeHands(t *testing.T) {
	g := NewWithT(t)
	b, now := permitBook(), time.Unix(1000, 0)
	g.Expect(b.IssuePermit(limitedRun, 1, PermitQuery{ColdRate: 26}, now).Granted).To(BeTrue())
	b.StopIssuingPermits(limitedRun)
	g.Expect(b.IssuePermit(limitedRun, 1, PermitQuery{ColdRate: 26}, now.Add(time.Second)).Granted).To(BeTrue())
}

// Guards against a target that is cold and names a rate, and gets what the higher of both allows.
func TestTheLowerOfTwoRatesCounts(t *testing.T) {
	g := NewWithT(t)
	b, now := permitBook(), time.Unix(1000, 0)
	nameRate(b, limitedRun, 1, now)
	b.IssuePermit(limitedRun, 1, PermitQuery{ColdRate: 26}, now)
	now = now.Add(takeOver)
	g.Expect(b.IssuePermit(limitedRun, 1, PermitQuery{ColdRate: 26}, now).Granted).To(BeTrue())
	g.Expect(b.IssuePermit(limitedRun, 1, PermitQuery{ColdRate: 26}, now.Add(100*time.Millisecond)).Granted).To(BeFalse())
	b.Prune(func(serving.Run) bool { return false }, now)
	g.Expect(b.IssuePermit(limitedRun, 1, PermitQuery{ColdRate: 26}, now).Granted).To(BeTrue())
}
