package lockstep

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/peers"
)

// Eight ranks are armed when their leader freezes. The group is stalled until these ranks are
// disarmed, so they must be disarmed in parallel.
func TestRanksAreDisarmedInParallel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(newSimGroup(12, 1, 24, 1))
		members := newGroup(f.agents[1])
		members.refresh()
		for r := 1; r <= 8; r++ {
			rank := f.group.ranks[r]
			rank.prepared, rank.highest, rank.armed, rank.armedAt = 7, 7, 7, 1
		}
		ranks, complete := members.collect("g", stateOnly)
		g.Expect(complete).To(BeTrue())
		start := time.Now()
		g.Expect(disarmAll(f.agents[1], ranks, 7)).To(BeTrue())
		g.Expect(time.Since(start)).To(BeNumerically("<", 10*time.Millisecond))
		for _, rank := range f.group.ranks {
			g.Expect(rank.armed).To(BeZero())
		}
		time.Sleep(time.Second)
	})
}

// The group is held, no rank is armed, and one agent has not confirmed the fence. This agent may
// still arm its rank, so the hold must stay until the agent confirms, and no longer.
func TestHoldIsNotReleasedBeforeAllAgentsAreFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(newSimGroup(4, 1, 8, 1))
		rank := f.group.ranks[1]
		rank.heldAt = 1
		a := f.agents[1]
		members := newGroup(a)
		members.refresh()
		members.addMember(a.opts.EngineAddr)
		slow := f.agents[3]
		slow.armToken <- struct{}{} // an arm order is in progress at this agent
		seenAt := time.Now()
		recoverGroup(a, members, members.members[a.opts.EngineAddr], "g", seenAt)
		g.Expect(rank.heldAt).To(BeEquivalentTo(1))
		<-slow.armToken
		time.Sleep(heldInterval)
		recoverGroup(a, members, members.members[a.opts.EngineAddr], "g", seenAt)
		g.Expect(rank.heldAt).To(BeZero())
		time.Sleep(time.Second)
	})
}

// The other agents have released the hold of a frozen leader. When the leader resumes and sends arm
// orders for that pass, agents must refuse these orders and no others.
func TestFencedPassIsNotArmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := newSimGroup(4, 1, 8, 1)
		f := &simFleet{group: group}
		rank := group.ranks[1]
		a := newAgent(Options{Engine: &simEngine{simRank: rank, from: rank.vm}, Metrics: metrics.New()})
		f.agents = append(f.agents, a)
		rank.prepared, rank.highest = 7, 7
		g.Expect(a.setFence(fence{epoch: 1, step: 5})).To(BeTrue())
		arm := &peers.RankOrder{Kind: peers.OrderArm, Epoch: 1, Version: 7, Step: 5}
		result, err := a.order(arm)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Refused).To(BeTrue())
		g.Expect(rank.armed).To(BeZero())
		arm.Step = 6
		result, err = a.order(arm)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Accepted).To(BeTrue())
	})
}

// An agent without the map on which changes are based must report that and must not build a map
// from the changes.
func TestChangesWithUnknownBaseAreRejected(t *testing.T) {
	g := NewWithT(t)
	var h mapHistory
	h.put(1, mapEntry{version: 10, sets: [][][]uint16{{{0, 1}, {2, 3}}}})
	changes := []listChange{{set: 0, rank: 1, experts: []uint16{4}}}
	sets, ok := h.apply(1, 10, changes)
	g.Expect(ok).To(BeTrue())
	g.Expect(sets).To(Equal([][][]uint16{{{0, 1}, {4}}}))
	unchanged, ok := h.apply(1, 10, nil)
	g.Expect(ok).To(BeTrue())
	g.Expect(unchanged).To(Equal([][][]uint16{{{0, 1}, {2, 3}}}), "the base is unchanged")
	_, ok = h.apply(1, 11, changes)
	g.Expect(ok).To(BeFalse())
	_, ok = h.apply(2, 10, changes)
	g.Expect(ok).To(BeFalse(), "another epoch starts with other maps")
}

// All engines restart and the group reuses an earlier epoch. An earlier fence must not block arm
// orders, and counts since the restart must not be compared with earlier ones.
func TestEngineRestartClearsAgentState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := newSimGroup(4, 1, 8, 1)
		rank := group.ranks[1]
		rank.startedAtMS = 100
		a := newAgent(Options{Engine: &simEngine{simRank: rank, from: rank.vm}, Metrics: metrics.New(), Log: logr.Discard()})
		rank.counts[0] = 500
		a.collect(&peers.Collect{Counts: true})
		a.setFence(fence{epoch: 1, step: 5})
		a.mapHistory.put(1, mapEntry{version: 10, sets: [][][]uint16{{{0}}}})
		arm := &peers.RankOrder{Kind: peers.OrderArm, Epoch: 1, Version: 7, Step: 5}
		g.Expect(a.isFenced(arm)).To(BeTrue())

		rank.startedAtMS = 200
		rank.counts[0] = 900
		state := a.collect(&peers.Collect{Counts: true})
		g.Expect(state.Bands).To(BeEmpty(), "the counts before the restart are not comparable")
		g.Expect(a.isFenced(arm)).To(BeFalse())
		_, ok := a.mapHistory.apply(1, 10, nil)
		g.Expect(ok).To(BeFalse())
	})
}

// A fence arrives before the engine's first report. The fence must apply to the engine run that is
// then reported.
func TestFenceBeforeFirstEngineReportHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := newSimGroup(4, 1, 8, 1)
		rank := group.ranks[1]
		rank.startedAtMS = 100
		a := newAgent(Options{Engine: &simEngine{simRank: rank, from: rank.vm}, Metrics: metrics.New(), Log: logr.Discard()})
		a.setFence(fence{epoch: 1, step: 5})
		a.collect(stateOnly)
		arm := &peers.RankOrder{Kind: peers.OrderArm, Epoch: 1, Version: 7, Step: 5}
		g.Expect(a.isFenced(arm)).To(BeTrue())
		rank.startedAtMS = 200
		a.collect(stateOnly)
		g.Expect(a.isFenced(arm)).To(BeFalse())
	})
}
