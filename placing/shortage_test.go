package placing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// Ten of twelve engines of a group run and refuse every request. After the time that restarts take,
// callers must be refused at once instead of after a wait of a second and a half each.
func TestLastingEngineShortageIsReported(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	tr := testTracker()
	targets := plainTargets("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
	shortageAt := func(at time.Time, running int) time.Duration {
		tr.SetGroupSize("p", "", 12, at)
		tr.groupPools(TargetPool{Service: &serving.Service{Name: "p", Engine: testModel()}, Targets: targets[:running]}, at)
		tr.RecordGroupRefusal(targets[0], at)
		_, shortage := tr.IsServiceDown("p", at)
		return shortage
	}
	g.Expect(shortageAt(start, 10)).To(BeZero())
	g.Expect(shortageAt(start.Add(time.Second), 10)).To(BeZero(), "the missing engines may be starting")
	g.Expect(shortageAt(start.Add(6*time.Second), 10)).To(Equal(6 * time.Second))
	g.Expect(ShortageRetryAfter(6 * time.Second)).To(Equal(6 * time.Second))
	g.Expect(shortageAt(start.Add(7*time.Second), 12)).To(BeZero(), "all engines are present")
}

// The size of the group is no longer reported, or its engines run requests although fewer targets
// are listed than it has ranks. Neither is a shortage, so no caller may be refused.
func TestEngineShortageNeedsCurrentSizeAndRefusals(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	var s engineShortage
	s.setSize(12, start)
	s.update(10, start)
	g.Expect(s.duration(start.Add(4 * time.Second))).To(Equal(4 * time.Second))
	s.update(10, start.Add(sizeTTL+time.Second))
	g.Expect(s.duration(start.Add(8 * time.Second))).To(BeZero())

	tr := testTracker()
	tr.SetGroupSize("p", "", 12, start)
	pool := TargetPool{Service: &serving.Service{Name: "p", Engine: testModel()}, Targets: plainTargets("a")}
	tr.groupPools(pool, start)
	tr.groupPools(pool, start.Add(4*time.Second))
	down, shortage := tr.IsServiceDown("p", start.Add(4*time.Second))
	g.Expect(down).To(BeFalse())
	g.Expect(shortage).To(BeZero(), "no engine refuses requests")
}
