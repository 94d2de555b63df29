package placing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// twoGroups returns a book that knows two groups of two targets each, by how many requests
// each target of the first and of the second runs, and the lane to all of them.
func twoGroups(first, second int, now time.Time) (*Tracker, TargetPool) {
	b := testBook()
	targets := plainTargets("a", "b", "c", "d")
	report := func(name string, list []*serving.Target, running int) {
		loads := make(map[string]RankLoad)
		for _, t := range list {
			loads[t.Address] = RankLoad{Running: running}
		}
		state := NewGroupState(loads, 1, 1, QueueCounts{InTime: 20}, now)
		state.Name = name
		b.ApplyLoadReport("p", list, loads, state)
	}
	report("g", targets[:2], first)
	report("h", targets[2:], second)
	s := &serving.Service{Name: "p", Engine: testModel()}
	return b, TargetPool{Service: s, Targets: targets, Entries: 1}
}

// sentTo counts which targets so many requests go to.
func sentTo(b *Tracker, l TargetPool, requests int, now time.Time) map[string]int {
	gt := new(AdmissionQueue)
	var waiters []*Waiter
	for range requests {
		w, _, _ := gt.Enqueue(waiting(1, now), now)
		waiters = append(waiters, w)
	}
	Admit(gt, b, l, now)
	count := make(map[string]int)
	for _, w := range waiters {
		select {
		case t := <-w.Granted():
			count[t.ID]++
		default:
		}
	}
	return count
}

// A service has two groups, and all places of one are taken. An entry that knew one group
// only would take its room for that of all, and either fill what is full or leave free what
// is free. Requests go to the group with room, as far as that has any.
func TestTheRoomOfEachGroupCounts(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	slots := testModel().Slots
	b, l := twoGroups(slots, slots-3, now)
	sent := sentTo(b, l, 20, now)
	g.Expect(sent["a"] + sent["b"]).To(BeZero())
	g.Expect(sent["c"] + sent["d"]).To(Equal(6))
}

// A rank of one group has died, and every engine of that group refuses. The other group runs
// as before: requests go there, and one at a time looks whether the first is back.
func TestABrokenGroupDoesNotStopTheOthers(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b, l := twoGroups(0, 0, now)
	b.RecordGroupRefusal(l.Targets[0], now)
	sent := sentTo(b, l, 8, now)
	g.Expect(sent["a"] + sent["b"]).To(BeZero())
	g.Expect(sent["c"] + sent["d"]).To(Equal(8))
	broken, _ := b.IsServiceDown("p", now)
	g.Expect(broken).To(BeFalse())
	now = now.Add(probePause)
	sent = sentTo(b, l, 8, now)
	g.Expect(sent["a"] + sent["b"]).To(Equal(1))
	b.RecordGroupResponse(l.Targets[0], now)
	sent = sentTo(b, l, 8, now)
	g.Expect(sent["a"]+sent["b"]).To(BeNumerically(">", 2), "it is the emptier one")
}

// Each group has its own map. What is so far from even that it bears few streams is one
// group, and the other one bears as many as usual.
func TestEachGroupHasItsOwnLimit(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b, l := twoGroups(0, 0, now)
	uneven := NewGroupState(nil, 3, 3, QueueCounts{}, now)
	uneven.Name = "g"
	b.ApplyLoadReport("p", nil, nil, uneven)
	l.EventGapObjective = 120 * time.Millisecond
	lanes := b.lanes(l, now)
	g.Expect(lanes).To(HaveLen(2))
	most := map[string]float64{}
	for _, o := range lanes {
		most[o.key.name] = o.most
	}
	g.Expect(most["g"]).To(BeNumerically("<", most["h"]))
}

// A service has a whole group and two engines more, which are too few for another one and
// refuse every request. An entry that took them for empty would send there first, and each
// refusal costs the caller a try of the few that all callers share. They get nothing
// while the group runs, and what they refuse does not close it.
func TestEnginesOfNoGroupComeLast(t *testing.T) {
	for _, told := range []bool{false, true} {
		g := NewWithT(t)
		now := time.Now()
		b, l := twoGroups(testModel().Slots-2, 0, now)
		if told {
			incomplete := NewGroupState(nil, 0, 0, QueueCounts{}, now)
			incomplete.Name, incomplete.Complete = "h", false
			b.ApplyLoadReport("p", nil, nil, incomplete)
		} else {
			delete(b.groups, groupKey{service: "p", name: "h"})
			b.account(l.Targets[2]).group, b.account(l.Targets[3]).group = "", ""
		}
		b.SetGroupSize("p", "h", 12, now)
		expectNothing(g, b, l, now)
	}
}

// expectNothing expects that the last two targets get nothing while the first two run.
func expectNothing(g *WithT, b *Tracker, l TargetPool, now time.Time) {
	sent := sentTo(b, l, 40, now)
	g.Expect(sent["c"] + sent["d"]).To(BeZero())
	g.Expect(sent["a"] + sent["b"]).To(BeNumerically(">", 0))
	b.RecordGroupRefusal(l.Targets[2], now)
	broken, _ := b.IsServiceDown("p", now)
	g.Expect(broken).To(BeFalse())
	b.RecordGroupRefusal(l.Targets[0], now)
	sent = sentTo(b, l, 4, now)
	g.Expect(sent["c"]+sent["d"]).To(BeZero(), "they have refused just now")
}
