package placing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

func allKnown(serving.Run) bool  { return true }
func noneKnown(serving.Run) bool { return false }

// Guards against a leaving target that gets requests again when its record is gone for a while, as
// after an outage of the store, and against a later run that gets none.
func TestLeavingBindsForTheWholeRun(t *testing.T) {
	g := NewWithT(t)
	tr, now := restTracker(), time.Unix(1000, 0)
	leaving, other := restTargets()
	both := []*serving.Target{leaving, other}
	g.Expect(tr.RecordLeaving(Leaving{Run: leaving.Run(), SaidAt: now}, now)).To(BeTrue())
	g.Expect(tr.RecordLeaving(Leaving{Run: leaving.Run(), SaidAt: now}, now)).To(BeFalse())
	tr.Prune(noneKnown, now.Add(time.Minute))
	tr.Prune(allKnown, now.Add(time.Hour))
	for range 20 {
		g.Expect(tr.Place(both, accepting, now.Add(time.Hour))).To(Equal(other))
	}
	g.Expect(tr.Accepts(leaving, now)).To(BeFalse())
	g.Expect(tr.Accepts(&serving.Target{ID: leaving.ID, StartedAtMS: 7}, now)).To(BeTrue())
}

// Guards against statements of targets that are long gone, which entries would pass to each other
// for good.
func TestLeavingOfLostTargetIsForgotten(t *testing.T) {
	g := NewWithT(t)
	tr, now := restTracker(), time.Unix(1000, 0)
	leaving, _ := restTargets()
	l := Leaving{Run: leaving.Run(), SaidAt: now}
	tr.RecordLeaving(l, now)
	g.Expect(tr.Leavings(16, 2, now)).To(ConsistOf(l))
	later := now.Add(leavingTTL)
	g.Expect(tr.Leavings(16, 2, later)).To(BeEmpty())
	tr.Prune(noneKnown, later)
	g.Expect(tr.stated.leavings).To(BeEmpty())
	g.Expect(tr.RecordLeaving(l, later)).To(BeFalse())
	g.Expect(tr.stated.leavings).To(BeEmpty())
}

// Many targets leave at once, as in a release. Guards against messages that grow with their number,
// and against an older statement that an entry which has missed it never gets.
func TestLeavingsInOneMessageAreBounded(t *testing.T) {
	g := NewWithT(t)
	tr, now := restTracker(), time.Unix(1000, 0)
	for i := range 1100 {
		tr.RecordLeaving(Leaving{Run: serving.Run{ID: fmt.Sprint(i)}, SaidAt: now}, now.Add(time.Duration(i)*time.Millisecond))
	}
	g.Expect(tr.Leavings(16, 2, now.Add(2*time.Second))).To(HaveLen(16))
	seen := make(map[string]bool)
	for range 16000 {
		list := tr.Leavings(16, 2, now.Add(2*leavingSpreadTime))
		g.Expect(list).To(HaveLen(2))
		for _, l := range list {
			seen[l.Run.ID] = true
		}
	}
	g.Expect(seen).To(HaveLen(1100))
}
