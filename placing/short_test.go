package placing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// Ten engines run of a group of twelve, and refuse every request. Callers would wait for a
// second and a half each, come back as told, and be refused again after the same wait. After
// some seconds, in which engines that merely start again would be back, it is known that
// there is nothing to wait for; once all engines are there it is not.
func TestAGroupThatLacksEnginesIsKnownAsSuch(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	b := testBook()
	targets := plainTargets("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
	look := func(at time.Time, running int) time.Duration {
		b.SetGroupSize("p", "", 12, at)
		b.lanes(TargetPool{Service: &serving.Service{Name: "p", Engine: testModel()}, Targets: targets[:running]}, at)
		b.RecordGroupRefusal(targets[0], at)
		_, short := b.IsServiceDown("p", at)
		return short
	}
	g.Expect(look(start, 10)).To(BeZero())
	g.Expect(look(start.Add(time.Second), 10)).To(BeZero(), "its engines may just be starting")
	g.Expect(look(start.Add(6*time.Second), 10)).To(Equal(6 * time.Second))
	g.Expect(ShortageRetryAfter(6 * time.Second)).To(Equal(6 * time.Second))
	g.Expect(look(start.Add(7*time.Second), 12)).To(BeZero(), "all engines are there, the group is being formed")
}

// Nobody tells any more how large the group is, or it runs requests though fewer targets are
// listed than it has ranks. Then nobody is refused for that.
func TestAShortGroupIsBelievedOnlyWhileItIsTold(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	var s shortGroup
	s.size(12, start)
	s.note(10, start)
	g.Expect(s.lasting(start.Add(4 * time.Second))).To(Equal(4 * time.Second))
	s.note(10, start.Add(sizeTTL+time.Second))
	g.Expect(s.lasting(start.Add(8 * time.Second))).To(BeZero())

	b := testBook()
	b.SetGroupSize("p", "", 12, start)
	l := TargetPool{Service: &serving.Service{Name: "p", Engine: testModel()}, Targets: plainTargets("a")}
	b.lanes(l, start)
	b.lanes(l, start.Add(4*time.Second))
	broken, short := b.IsServiceDown("p", start.Add(4*time.Second))
	g.Expect(broken).To(BeFalse())
	g.Expect(short).To(BeZero(), "no engine refuses")
}
