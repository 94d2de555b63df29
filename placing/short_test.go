package placing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Ten engines run of a group of twelve, and refuse every request. Callers would wait for a
// second and a half each, come back as told, and be refused again after the same wait. After
// some seconds, in which engines that merely start again would be back, they are told at once.
// One request at a time goes on trying, so that the group is used as soon as it is whole.
func TestCallersOfAGroupThatLacksEnginesAreToldAtOnce(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	gate := new(Gate)
	broken := func(at time.Time, targets int) {
		gate.Size(12, at)
		gate.noteTargets(targets, at)
		gate.Refused(at)
	}
	r := &Request{Arrived: start, Aim: time.Second, MaxWait: 2 * time.Second}
	broken(start, 10)
	gate.Enter(r, start)
	_, short := gate.Short(start.Add(time.Second))
	g.Expect(short).To(BeFalse(), "its engines may just be starting")

	later := start.Add(6 * time.Second)
	broken(later, 10)
	comeBack, short := gate.Short(later)
	g.Expect(short).To(BeTrue())
	g.Expect(comeBack).To(Equal(6 * time.Second))

	gate.waiting = nil
	_, short = gate.Short(later)
	g.Expect(short).To(BeFalse(), "one is to try")
	gate.Enter(r, later)
	broken(later, 12)
	_, short = gate.Short(later)
	g.Expect(short).To(BeFalse(), "all engines are there, the group is being formed")
}

// Nobody tells any more how large the group is, or it runs requests though fewer targets are
// listed than it has ranks. Then nobody is refused for that.
func TestAShortGroupIsBelievedOnlyWhileItIsTold(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	gate := new(Gate)
	gate.Size(12, start)
	gate.noteTargets(10, start)
	gate.push(&Request{})
	_, short := gate.Short(start.Add(4 * time.Second))
	g.Expect(short).To(BeFalse(), "no engine refuses")
	gate.Refused(start)
	gate.noteTargets(10, start.Add(8*time.Second))
	_, short = gate.Short(start.Add(8 * time.Second))
	g.Expect(short).To(BeFalse())
}
