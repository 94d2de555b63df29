package lockstep

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/peers"
)

// treeTestRanks is large enough for a tree.
const treeTestRanks = 24

// selectOwnExperts adds selections so that each rank selects only the expert of its own number.
func selectOwnExperts(g *simGroup) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, r := range g.ranks {
		r.counts[i] += 1000
	}
}

// collectCounts collects selection counts as a leader does, before and after it calls between. It
// returns the selections made in that time and how many states of other agents carried counts.
func collectCounts(f *simFleet, between func()) (sum []float64, remoteCounts int, complete bool) {
	l := newLeader(f.agents[0])
	l.group.refresh()
	l.group.addMember(engineAddress(0))
	q := &peers.Collect{Counts: true}
	for range 2 {
		l.group.collect("g", q) // the first call finds the rank of each member
	}
	between()
	ranks, complete := l.group.collect("g", q)
	sum = make([]float64, f.group.sets*f.group.experts)
	for _, r := range ranks {
		if int(r.state.Experts) == len(sum) {
			if r.localAgent == nil {
				remoteCounts++ // the leader's own counts are not sent over its link
			}
			addSelections(sum, &r.state)
		}
	}
	return sum, remoteCounts, complete
}

func newTreeFleet() *simFleet {
	g := newSimGroup(treeTestRanks, 1, treeTestRanks, 1)
	f := &simFleet{group: g}
	f.addAgents()
	return f
}

// The ranks select different experts. A map made for the selections of some ranks fits the group badly,
// so the leader must get the selections of all ranks, although only a few agents send counts to it.
func TestLeaderCollectsSelectionsOfAllRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newTreeFleet()
		sum, remoteCounts, complete := collectCounts(f, func() { selectOwnExperts(f.group) })
		g.Expect(complete).To(BeTrue())
		g.Expect(remoteCounts).To(BeNumerically("<=", treeTestRanks/maxLeafRanks), "the leader's link is spared")
		for e, n := range sum {
			g.Expect(n).To(BeNumerically("~", 1000, 50), "expert %d", e)
		}
	})
}

// One rank's VM is frozen. Only the counts of this rank may be missing, and the leader must not
// wait for it much longer than askTimeout.
func TestFrozenAgentLosesOnlyItsOwnCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newTreeFleet()
		const frozen = 13
		start := time.Now()
		sum, _, _ := collectCounts(f, func() {
			selectOwnExperts(f.group)
			f.group.ranks[frozen].vm.freeze()
			start = time.Now()
		})
		g.Expect(time.Since(start)).To(BeNumerically("<", askTimeout+100*time.Millisecond))
		f.group.ranks[frozen].vm.unfreeze()
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

// prepareTestMap has a fleet's leader order a map and returns how many ranks prepared it.
func prepareTestMap(f *simFleet) int {
	l := newLeader(f.agents[0])
	l.group.refresh()
	l.group.addMember(engineAddress(0))
	l.group.collect("g", stateOnly) // finds the rank of each member
	ranks, _ := l.group.collect("g", stateOnly)
	l.epoch, l.highestVersion = 1, 1
	l.pending = &pendingMap{version: 5}
	for range f.group.sets {
		l.pending.layouts = append(l.pending.layouts, expert.InitialLayout(len(f.group.ranks), f.group.experts))
	}
	l.layouts = l.pending.layouts
	l.prepare(ranks)
	time.Sleep(2 * simCopy)
	prepared := 0
	for _, r := range f.group.ranks {
		f.group.mu.Lock()
		if r.prepared == 5 {
			prepared++
		}
		f.group.mu.Unlock()
	}
	return prepared
}

// If the leader sent a map to each rank of a large group itself, its link would be full for longer
// than a pass. So agents relay the map.
func TestMapIsRelayedByAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newTreeFleet()
		g.Expect(prepareTestMap(f)).To(Equal(treeTestRanks))
		g.Expect(f.leaderOrders.Load()).To(BeNumerically("<=", treeTestRanks/maxLeafRanks))
	})
}

// The agent that should relay a map is frozen. The ranks below it must still get the map, or no
// switch takes place until the agent is back.
func TestMapReachesRanksBelowAFrozenAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newTreeFleet()
		frozen := f.group.ranks[maxLeafRanks+1]
		time.AfterFunc(10*time.Millisecond, frozen.vm.freeze)
		prepared := 0
		f.tasks.Go(func() { prepared = prepareTestMap(f) })
		f.tasks.Wait()
		frozen.vm.unfreeze()
		g.Expect(prepared).To(BeNumerically(">=", treeTestRanks-1))
		time.Sleep(time.Second)
	})
}

// A service has two groups. Agents would be busy if each leader polled all engines in every round, so it
// polls those of the other group only periodically, and sooner while one of its ranks is missing.
func TestLeaderAsksOnlyItsOwnGroupBetweenSearches(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(newSimGroup(6, 1, 12, 1))
	group := newGroup(f.agents[0])
	now := time.Now()
	for r := range 5 {
		group.addMember(engineAddress(r))
		group.members[engineAddress(r)].groupName = []string{"g", "other"}[r%2]
	}
	g.Expect(group.candidates("g", now)).To(HaveLen(5))
	g.Expect(group.candidates("g", now.Add(time.Second))).To(HaveLen(3))
	group.addMember(engineAddress(5))
	g.Expect(group.candidates("g", now.Add(time.Second))).To(HaveLen(4), "the new engine's group is unknown")
	group.ranksMissing, group.failedSearches = true, 0
	g.Expect(group.candidates("g", now.Add(2*time.Second))).To(HaveLen(6))
	g.Expect(group.candidates("g", now.Add(2100*time.Millisecond))).To(HaveLen(4))
	g.Expect(group.candidates("g", now.Add(2*time.Second+minSearchInterval))).To(HaveLen(4), "the latest search failed")
	g.Expect(group.candidates("g", now.Add(2*time.Second+2*minSearchInterval))).To(HaveLen(6))
	group.failedSearches = 30
	g.Expect(group.candidates("g", now.Add(4*time.Second))).To(HaveLen(4))
	group.ranksMissing = false
	g.Expect(group.candidates("g", now.Add(3*time.Second+maxSearchInterval))).To(HaveLen(6))
}
