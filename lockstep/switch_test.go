package lockstep

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// play runs a group of ranks with its agents for a time; during is called beside.
func play(t *testing.T, g *simGroup, d time.Duration, during func(f *simFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(g)
		if during != nil {
			f.done.Go(func() { during(f) })
		}
		time.Sleep(d)
		f.stop()
	})
}

// Demand moves every few seconds on a calm day. The group must follow it with
// maps of its own, in some passes, and never with two maps in one pass.
func TestMapsFollowDemand(t *testing.T) {
	g := NewWithT(t)
	group := newSimGroup(12, 4, 72, 1)
	play(t, group, 12*time.Second, func(*simFleet) {
		for range 3 {
			time.Sleep(4 * time.Second)
			group.move()
		}
	})
	g.Expect(group.mixed).To(BeEmpty())
	g.Expect(group.ranks[0].version).NotTo(BeZero())
	g.Expect(group.passes).To(BeNumerically(">", 250), "of 300")
}

// Engines leave a third of the orders without an answer and carry them out 2 to
// 12 s later, after newer ones. A late arm must find its pass begun, a late hold
// must not leave the group standing, and no pass may see two maps.
func TestLateOrdersNeverMixMaps(t *testing.T) {
	for seed := range uint64(12) {
		g := NewWithT(t)
		group := newSimGroup(9, 2, 36, seed)
		group.lost, group.late = 0.35, true
		play(t, group, 20*time.Second, func(*simFleet) {
			for range 9 {
				time.Sleep(2 * time.Second)
				group.move()
			}
		})
		g.Expect(group.mixed).To(BeEmpty(), "seed %d", seed)
		g.Expect(group.held).To(BeNumerically("<", 2*time.Second), "seed %d", seed)
		g.Expect(group.passes).To(BeNumerically(">", 300), "seed %d", seed)
	}
}

// Any VM freezes for four seconds at any moment, that of the leader in the middle
// of a switch among them, while orders go unanswered. When it wakes up its agent
// goes on where it stopped. No pass may see two maps.
func TestFrozenVMsNeverMixMaps(t *testing.T) {
	for seed := range uint64(16) {
		g := NewWithT(t)
		group := newSimGroup(10, 2, 40, seed)
		group.lost, group.late = 0.1, true
		rng := rand.New(rand.NewPCG(seed, 2))
		play(t, group, 30*time.Second, func(f *simFleet) {
			for range 4 {
				time.Sleep(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
				group.move()
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
				vm := group.ranks[rng.IntN(len(group.ranks))].vm
				vm.freeze()
				time.Sleep(4 * time.Second)
				vm.wake()
			}
		})
		g.Expect(group.mixed).To(BeEmpty(), "seed %d", seed)
		g.Expect(group.passes).To(BeNumerically(">", 100), "seed %d", seed)
	}
}

// A group so large that agents add up counts and pass maps on for others. Orders go
// unanswered and come late, and VMs freeze, those of the agents in between too. No
// pass may see two maps, and the group must go on.
func TestLargeGroupsNeverMixMaps(t *testing.T) {
	for seed := range uint64(6) {
		g := NewWithT(t)
		group := newSimGroup(2*directRanks, 2, 4*directRanks, seed)
		group.lost, group.late = 0.15, true
		rng := rand.New(rand.NewPCG(seed, 4))
		play(t, group, 24*time.Second, func(f *simFleet) {
			for range 4 {
				time.Sleep(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
				group.move()
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				vm := group.ranks[rng.IntN(4)*leafRanks+rng.IntN(3)].vm
				vm.freeze()
				time.Sleep(2 * time.Second)
				vm.wake()
			}
		})
		g.Expect(group.mixed).To(BeEmpty(), "seed %d", seed)
		g.Expect(group.passes).To(BeNumerically(">", 200), "seed %d", seed)
		g.Expect(group.ranks[0].version).NotTo(BeZero(), "seed %d", seed)
	}
}

// freezeLeaderInSwitch freezes the leader's VM for four seconds, right after it has placed
// a hold; frozen is called then.
func freezeLeaderInSwitch(group *simGroup, frozen func()) {
	held := false
	for !held {
		time.Sleep(time.Millisecond)
		group.mu.Lock()
		held = group.ranks[holderRank(len(group.ranks))].heldAt != 0
		group.mu.Unlock()
	}
	group.ranks[0].vm.freeze()
	frozen()
	time.Sleep(4 * time.Second)
	group.ranks[0].vm.wake()
}

// The leader's VM freezes right after it has placed the hold. Its engine can't be
// reached either, so nobody can see whether its rank is armed. The others know
// that it is armed last, and must let the group go within a second or so, not when
// the VM is back.
func TestFrozenLeaderDoesNotStopTheGroup(t *testing.T) {
	g := NewWithT(t)
	group := newSimGroup(12, 4, 72, 3)
	frozen := false
	play(t, group, 10*time.Second, func(*simFleet) {
		freezeLeaderInSwitch(group, func() { frozen = true })
	})
	g.Expect(frozen).To(BeTrue())
	g.Expect(group.mixed).To(BeEmpty())
	g.Expect(group.held).To(BeNumerically("<", 1500*time.Millisecond))
}

// The leader's VM freezes while the group is held, and the store is slow. Every stream
// stands still meanwhile, so the others must not take their usual time limits one after
// the other: the group goes on within 0.35 s.
func TestAGroupHeldByAFrozenLeaderGoesOnSoon(t *testing.T) {
	g := NewWithT(t)
	group := newSimGroup(12, 4, 72, 3)
	play(t, group, 10*time.Second, func(f *simFleet) {
		freezeLeaderInSwitch(group, func() { f.slow.Store(true) })
	})
	g.Expect(group.mixed).To(BeEmpty())
	g.Expect(group.held).To(BeNumerically("<=", 360*time.Millisecond))
}

// Eight ranks are armed when their leader freezes. Their arms are taken back while the
// group stands still, so of all at once and not of one after the other.
func TestArmsAreTakenBackAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(newSimGroup(12, 1, 24, 1))
		members := newGroup(f.agents[1])
		members.reread()
		for r := 1; r <= 8; r++ {
			rank := f.group.ranks[r]
			rank.prepared, rank.highest, rank.armed, rank.armedAt = 7, 7, 7, 1
		}
		ranks, complete := members.collect("g", plain)
		g.Expect(complete).To(BeTrue())
		begun := time.Now()
		g.Expect(disarmAll(f.agents[1], ranks)).To(BeTrue())
		g.Expect(time.Since(begun)).To(BeNumerically("<", 10*time.Millisecond))
		for _, rank := range f.group.ranks {
			g.Expect(rank.armed).To(BeZero())
		}
		time.Sleep(time.Second)
	})
}

// The group is held, nobody is armed, and one agent takes its time to tell that it has
// fenced the pass. It may still arm its rank, so the group stays held until it has told,
// and no longer.
func TestAGroupIsNotLetGoBeforeAllHaveFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(newSimGroup(4, 1, 8, 1))
		rank := f.group.ranks[1]
		rank.heldAt = 1
		a := f.agents[1]
		members := newGroup(a)
		members.reread()
		members.add(a.opts.EngineAddr)
		slow := f.agents[3]
		slow.arming <- struct{}{} // an arm is being given there
		seen := time.Now()
		resolve(a, members, members.members[a.opts.EngineAddr], "g", seen)
		g.Expect(rank.heldAt).To(BeEquivalentTo(1))
		<-slow.arming
		time.Sleep(heldEvery)
		resolve(a, members, members.members[a.opts.EngineAddr], "g", seen)
		g.Expect(rank.heldAt).To(BeZero())
		time.Sleep(time.Second)
	})
}

// The others have given up on a frozen leader and let the group go. When it wakes
// up, its arms for that pass arrive: the agents refuse them, and only those.
func TestAFencedPassIsNotArmed(t *testing.T) {
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

// An agent that was not given the map that the changes lead on from says so, and
// does not make a map of its own of them.
func TestChangesNeedTheirBase(t *testing.T) {
	g := NewWithT(t)
	var k knownMaps
	k.put(1, 10, [][][]uint16{{{0, 1}, {2, 3}}})
	changes := []listChange{{set: 0, rank: 1, experts: []uint16{4}}}
	sets, ok := k.apply(1, 10, changes)
	g.Expect(ok).To(BeTrue())
	g.Expect(sets).To(Equal([][][]uint16{{{0, 1}, {4}}}))
	again, ok := k.apply(1, 10, nil)
	g.Expect(ok).To(BeTrue())
	g.Expect(again).To(Equal([][][]uint16{{{0, 1}, {2, 3}}}), "the base is as it was")
	_, ok = k.apply(1, 11, changes)
	g.Expect(ok).To(BeFalse())
	_, ok = k.apply(2, 10, changes)
	g.Expect(ok).To(BeFalse(), "another epoch begins with other maps")
}

// Demand is as it was, and the choices of the last passes differ by chance: that is
// no move. Then it does move, and is seen within two looks.
func TestAMoveOfDemandIsToldFromChance(t *testing.T) {
	g := NewWithT(t)
	m := &serving.EngineModel{LayerSets: 1, Experts: 12}
	layouts := []expert.Layout{expert.InitialLayout(4, 12)}
	rng := rand.New(rand.NewPCG(4, 4))
	d := newDemand(12)
	now := time.Now()
	look := func(wanted int) bool {
		counts := make([]float64, 12)
		for e := range counts {
			counts[e] = 1000 * (0.9 + 0.2*rng.Float64())
		}
		counts[wanted] *= 8
		now = now.Add(100 * time.Millisecond)
		d.observe(now, counts)
		return d.moved(layouts, m)
	}
	for range 50 {
		g.Expect(look(0)).To(BeFalse())
	}
	layouts[0] = expert.Balance(layouts[0], d.loads(), expert.BalanceLimits{ExpertsPerRank: 4, MaxNewPerRank: 3, MaxSteps: 50})
	for range 50 {
		g.Expect(look(0)).To(BeFalse())
	}
	first, second := look(7), look(7)
	g.Expect(first || second).To(BeTrue())
}

// All engines of a group start again under their ids, and the group begins with the
// epoch that it had. A fence of before must not stop arms of after, and what an engine
// has counted since it began is not taken for a difference to what it had before.
func TestAnEngineThatStartsAgainBeginsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := newSimGroup(4, 1, 8, 1)
		rank := group.ranks[1]
		rank.born = 100
		a := newAgent(Options{Engine: &simEngine{simRank: rank, from: rank.vm}, Metrics: metrics.New(), Log: logr.Discard()})
		rank.counts[0] = 500
		a.collect(&peers.Collect{Counts: true})
		a.setFence(fence{epoch: 1, step: 5})
		a.maps.put(1, 10, [][][]uint16{{{0}}})
		arm := &peers.RankOrder{Kind: peers.OrderArm, Epoch: 1, Version: 7, Step: 5}
		g.Expect(a.fenced(arm)).To(BeTrue())

		rank.born = 200
		rank.counts[0] = 900
		state := a.collect(&peers.Collect{Counts: true})
		g.Expect(state.Bands).To(BeEmpty(), "nothing is known of what was counted before")
		g.Expect(a.fenced(arm)).To(BeFalse())
		_, ok := a.maps.apply(1, 10, nil)
		g.Expect(ok).To(BeFalse())
	})
}

// An agent is told to fence a pass before it has heard of its engine. The fence holds for
// the run that the engine then turns out to have.
func TestAFenceBeforeTheFirstReportHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := newSimGroup(4, 1, 8, 1)
		rank := group.ranks[1]
		rank.born = 100
		a := newAgent(Options{Engine: &simEngine{simRank: rank, from: rank.vm}, Metrics: metrics.New(), Log: logr.Discard()})
		a.setFence(fence{epoch: 1, step: 5})
		a.collect(plain)
		arm := &peers.RankOrder{Kind: peers.OrderArm, Epoch: 1, Version: 7, Step: 5}
		g.Expect(a.fenced(arm)).To(BeTrue())
		rank.born = 200
		a.collect(plain)
		g.Expect(a.fenced(arm)).To(BeFalse())
	})
}

// Everything has lost power. The agents are up before the store is. The group must be
// led, and have a map that fits, soon after the store is back, and not when the pause
// between two good reads is over.
func TestAGroupIsLedSoonAfterTheStoreIsBack(t *testing.T) {
	g := NewWithT(t)
	group := newSimGroup(12, 4, 72, 5)
	var version uint64
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(group)
		f.down.Store(true)
		f.start()
		time.Sleep(800 * time.Millisecond)
		f.down.Store(false)
		time.Sleep(time.Second)
		group.mu.Lock()
		version = group.ranks[0].version
		group.mu.Unlock()
		f.stop()
	})
	g.Expect(version).NotTo(BeZero())
}

// The store has just come back, and most records of targets have not: or a read is
// stale. The group keeps the members that it had until that has lasted as long as
// records may take to come back.
func TestOneReadingDoesNotEmptyAGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(newSimGroup(4, 1, 8, 1))
		a := f.agents[0]
		group := newGroup(a)
		group.reread()
		g.Expect(group.members).To(HaveLen(4))
		a.opts.Store = simStore{ranks: 1}
		time.Sleep(rereadEvery)
		group.reread()
		g.Expect(group.members).To(HaveLen(4))
		time.Sleep(rereadEvery)
		group.reread()
		g.Expect(group.members).To(HaveLen(1))
	})
}

// The same in a group so large that it is asked along a tree. The agent that looks after
// the hold must know beforehand which member leads: a tree with the frozen leader in it
// would keep those behind it waiting while every stream stands still.
func TestALargeGroupHeldByAFrozenLeaderGoesOnSoon(t *testing.T) {
	for seed := range uint64(4) {
		g := NewWithT(t)
		group := newSimGroup(48, 2, 96, seed)
		play(t, group, 10*time.Second, func(f *simFleet) {
			time.Sleep(time.Second)
			group.move()
			freezeLeaderInSwitch(group, func() { f.slow.Store(true) })
		})
		g.Expect(group.mixed).To(BeEmpty(), "seed %d", seed)
		g.Expect(group.held).To(BeNumerically("<=", 360*time.Millisecond), "seed %d", seed)
	}
}
