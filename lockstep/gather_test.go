package lockstep

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/peers"
)

const gatherTestRanks = 24

// chooseOwn lets each rank's requests choose only the expert of its own number.
func chooseOwn(g *simGroup) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, r := range g.ranks {
		r.counts[i] += 1000
	}
}

// collected asks a group for counts as its leader does, twice, and returns what was
// chosen between.
func collected(f *simFleet, between func()) (sum []float64, asked int, complete bool) {
	l := newLeader(f.agents[0])
	l.group.reread()
	l.group.add(engineAddress(0))
	q := &peers.Collect{Counts: true}
	for range 2 {
		l.group.collect("g", q) // the first finds out who the ranks are
	}
	between()
	ranks, complete := l.group.collect("g", q)
	sum = make([]float64, f.group.sets*f.group.experts)
	for _, r := range ranks {
		if int(r.state.Experts) == len(sum) {
			if r.own == nil {
				asked++ // the leader's own counts do not cross its link
			}
			addChoices(sum, &r.state)
		}
	}
	return sum, asked, complete
}

func gatherFleet() *simFleet {
	g := newSimGroup(gatherTestRanks, 1, gatherTestRanks, 1)
	f := &simFleet{group: g}
	f.addAgents()
	return f
}

// Requests of each rank choose other experts. Maps made for the choices of some
// ranks fit the whole group badly, and every pass takes longer. So the leader must
// learn the choices of all ranks, though only some tell it.
func TestTheLeaderLearnsTheChoicesOfAllRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := gatherFleet()
		sum, asked, complete := collected(f, func() { chooseOwn(f.group) })
		g.Expect(complete).To(BeTrue())
		g.Expect(asked).To(BeNumerically("<=", gatherTestRanks/leafRanks), "the leader's link is spared")
		for e, n := range sum {
			g.Expect(n).To(BeNumerically("~", 1000, 50), "expert %d", e)
		}
	})
}

// The VM of one rank stands still. Its counts are missing, those of all others are
// not, and the leader does not wait for it for longer than for a pass.
func TestAFrozenNeighbourCostsItsOwnCountsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := gatherFleet()
		const frozen = 13
		begun := time.Now()
		sum, _, _ := collected(f, func() {
			chooseOwn(f.group)
			f.group.ranks[frozen].vm.freeze()
			begun = time.Now()
		})
		g.Expect(time.Since(begun)).To(BeNumerically("<", askLimit+100*time.Millisecond))
		f.group.ranks[frozen].vm.wake()
		missing := 0
		for _, n := range sum {
			if n == 0 {
				missing++
			}
		}
		g.Expect(missing).To(Equal(1))
		time.Sleep(time.Second)
	})
}

// prepared has a fleet's leader order a map, and returns how many ranks have it.
func prepared(f *simFleet) int {
	l := newLeader(f.agents[0])
	l.group.reread()
	l.group.add(engineAddress(0))
	l.group.collect("g", plain) // finds out who the ranks are
	ranks, _ := l.group.collect("g", plain)
	l.epoch, l.newest = 1, 1
	l.pending = &pending{version: 5}
	for range f.group.sets {
		l.pending.layouts = append(l.pending.layouts, expert.InitialLayout(len(f.group.ranks), f.group.experts))
	}
	l.layouts = l.pending.layouts
	l.prepare(ranks)
	time.Sleep(2 * simCopy)
	have := 0
	for _, r := range f.group.ranks {
		f.group.mu.Lock()
		if r.prepared == 5 {
			have++
		}
		f.group.mu.Unlock()
	}
	return have
}

// A map for a large group is ordered. If the leader sent it to each rank itself its
// link would be full for longer than a pass, so the agents pass it on.
func TestTheAgentsPassAMapOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := gatherFleet()
		g.Expect(prepared(f)).To(Equal(gatherTestRanks))
		g.Expect(f.orders.Load()).To(BeNumerically("<=", gatherTestRanks/leafRanks))
	})
}

// The agent that should pass a map on stands still. The ranks behind it must get the
// map all the same, or no switch takes place until the agent is back.
func TestAMapReachesRanksBehindAFrozenAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := gatherFleet()
		frozen := f.group.ranks[leafRanks+1]
		time.AfterFunc(10*time.Millisecond, frozen.vm.freeze)
		have := 0
		f.done.Go(func() { have = prepared(f) })
		f.done.Wait()
		frozen.vm.wake()
		g.Expect(have).To(BeNumerically(">=", gatherTestRanks-1))
		time.Sleep(time.Second)
	})
}

// A service has two groups. Their leaders ask all engines once, and then each only those of
// its own group: asked by every leader in every round the agents of many groups would do
// nothing else. When a rank is missing all are asked again, since a new engine may have
// joined at an address of the other group, and now and then in any case.
func TestALeaderAsksTheEnginesOfItsOwnGroup(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(newSimGroup(6, 1, 12, 1))
	group := newGroup(f.agents[0])
	now := time.Now()
	for r := range 5 {
		group.add(engineAddress(r))
		group.members[engineAddress(r)].group = []string{"g", "other"}[r%2]
	}
	g.Expect(group.mayBelong("g", now)).To(HaveLen(5))
	g.Expect(group.mayBelong("g", now.Add(time.Second))).To(HaveLen(3))
	group.add(engineAddress(5))
	g.Expect(group.mayBelong("g", now.Add(time.Second))).To(HaveLen(4), "it has not told yet")
	group.lacking, group.inVain = true, 0
	g.Expect(group.mayBelong("g", now.Add(2*time.Second))).To(HaveLen(6))
	g.Expect(group.mayBelong("g", now.Add(2100*time.Millisecond))).To(HaveLen(4))
	g.Expect(group.mayBelong("g", now.Add(2*time.Second+lackingEvery))).To(HaveLen(4), "it has asked in vain")
	g.Expect(group.mayBelong("g", now.Add(2*time.Second+2*lackingEvery))).To(HaveLen(6))
	group.inVain = 30
	g.Expect(group.mayBelong("g", now.Add(4*time.Second))).To(HaveLen(4))
	group.lacking = false
	g.Expect(group.mayBelong("g", now.Add(3*time.Second+searchEvery))).To(HaveLen(6))
}
