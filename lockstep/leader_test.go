package lockstep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// After a restart of all agents, the new leader assigns a map version that some ranks take for old
// and refuse. It must replace the map soon, not after prepareTimeout: passes are slow until then.
func TestRefusedVersionIsReplacedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := newSimGroup(treeTestRanks, 2, 2*treeTestRanks, 4)
		for _, r := range group.ranks[5:9] {
			r.highest = 2 * versionStride
		}
		f := startFleet(group)
		delay := timeToSwitch(group)
		f.stop()
		g.Expect(delay).To(BeNumerically("<", 2500*time.Millisecond))
		g.Expect(group.mixedSteps).To(BeEmpty())
	})
}

// Agents remember the map versions that they received. A new leader must continue from these
// versions even if no rank reports them.
func TestNewLeaderContinuesFromVersionsReceivedByAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := newSimGroup(treeTestRanks, 1, treeTestRanks, 4)
		f := newFleet(group)
		f.agents[7].mapHistory.put(1, mapEntry{version: 5 * versionStride})
		l := newLeader(f.agents[0])
		l.group.refresh()
		l.group.addMember(engineAddress(0))
		l.epoch, l.layouts, l.demand = 1, []expert.Layout{expert.InitialLayout(treeTestRanks, treeTestRanks)}, newDemand(treeTestRanks)
		ranks, complete := l.group.collect("g", stateOnly)
		g.Expect(complete).To(BeTrue())
		l.observe(ranks)
		g.Expect(nextVersion(l.highestVersion)).To(BeNumerically(">", 6*versionStride))
	})
}

// A switch succeeds without the leader noticing, because the response to its last order is lost.
// The leader must restore the map from its own history without asking any rank.
func TestLeaderRestoresItsOwnRecentMap(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(newSimGroup(4, 1, 8, 1))
	l := newLeader(f.agents[0])
	layouts := []expert.Layout{expert.InitialLayout(4, 8)}
	l.recentMaps = []pendingMap{{version: 7}, {version: 9, layouts: layouts}}
	g.Expect(l.restoreMap(8)).To(BeFalse())
	g.Expect(l.restoreMap(9)).To(BeTrue())
	g.Expect(l.version).To(BeEquivalentTo(9))
	g.Expect(l.layouts).To(Equal(layouts))
}

// A new leader of a large group reads the map in use from all ranks in parallel. One rank after the
// other would take seconds during which no map follows demand.
func TestMapIsReadFromAllRanksInParallel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newTreeFleet()
		for _, r := range f.group.ranks {
			r.version = 3
		}
		l := newLeader(f.agents[0])
		l.group.refresh()
		l.group.addMember(engineAddress(0))
		l.group.collect("g", stateOnly)
		l.group.model = simConfig(f.group).Services[0].Engine
		ranks, _ := l.group.collect("g", stateOnly)
		start := time.Now()
		g.Expect(l.readMapFromRanks(ranks, 3)).To(BeTrue())
		g.Expect(time.Since(start)).To(BeNumerically("<", 50*time.Millisecond))
		g.Expect(l.layouts).To(Equal([]expert.Layout{expert.InitialLayout(treeTestRanks, treeTestRanks)}))
	})
}

// The agent of the rank that holds the group does not respond for a second, as after a restart of the
// fleet. The leader must hold and release the group through the engines without waiting for that agent.
func TestBusyHolderAgentDoesNotDelayASwitch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := newSimGroup(4, 1, 8, 1)
		f := newFleet(group)
		for _, r := range group.ranks {
			r.prepared, r.highest, r.next = 7, 7, r.lists
		}
		l := newLeader(f.agents[0])
		l.group.refresh()
		l.group.addMember(engineAddress(0))
		ranks, _ := l.group.collect("g", stateOnly)
		ctx, cancel := context.WithCancel(context.Background())
		f.tasks.Go(func() { group.run(ctx) })
		holder := ranks[holderRank(len(ranks))].member
		busy := &busyClient{busyUntil: time.Now().Add(time.Second), PeerClient: holder.agent.client}
		holder.agent = &agentClient{client: busy}
		start := time.Now()
		heldStep, held := holdGroup(f.agents[0], holder, 1)
		g.Expect(held).To(BeTrue())
		g.Expect(time.Since(start)).To(BeNumerically("<", simPass))
		f.tasks.Go(func() { releaseGroup(f.agents[0], &hold{holder: holder, epoch: 1, step: heldStep, heldAt: start}) })
		time.Sleep(2 * simPass)
		group.mu.Lock()
		step := group.step
		group.mu.Unlock()
		g.Expect(step).To(BeNumerically(">=", heldStep), "passes continue")
		cancel()
		f.tasks.Wait()
		time.Sleep(time.Second)
	})
}

// busyClient is a client of an agent whose requests time out until busyUntil.
type busyClient struct {
	PeerClient
	busyUntil time.Time
}

// Ask implements PeerClient.
func (b *busyClient) Ask(ctx context.Context, kind peers.Kind, q msgp.Marshaler, answer msgp.Unmarshaler, limit time.Duration) error {
	if time.Now().Before(b.busyUntil) {
		time.Sleep(limit)
		return errNoAnswer
	}
	return b.PeerClient.Ask(ctx, kind, q, answer, limit)
}

// In a fleet that has shrunk, 21 ranks with five places each cannot hold 252 experts, and engines
// refuse every map. The leader must send no map, and still report the imbalance to entries.
func TestGroupWithTooFewPlacesKeepsItsMap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := newSimGroup(21, 2, 252, 6)
		group.places = 5
		f := startFleet(group)
		time.Sleep(5 * time.Second)
		f.agents[0].mu.Lock()
		loads := f.agents[0].groupLoads.loads
		f.agents[0].mu.Unlock()
		f.stop()
		g.Expect(f.leaderOrders.Load()).To(BeZero())
		g.Expect(loads.Imbalance).To(BeNumerically(">", 1))
		g.Expect(loads.Ranks).To(BeEquivalentTo(21))
	})
}

// Ranks refuse every map for a reason unknown to the leader. It must not plan and send maps without
// pause: each map occupies the leader's CPU and all links.
func TestRefusedMapsAreSentWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := newSimGroup(8, 1, 16, 6)
		for _, r := range group.ranks {
			r.highest = 1 << 62
		}
		f := startFleet(group)
		time.Sleep(30 * time.Second)
		f.stop()
		g.Expect(f.leaderOrders.Load()).To(BeNumerically("<", 8*8), "each map takes one order to each of eight ranks")
	})
}

// A leader reads the store while engines are still registering, as after a power loss. It must
// begin to lead its group soon after the last engine has registered, not seconds later.
func TestLeaderFindsEnginesThatRegisterAfterItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const ranks = 12
		f := newFleet(newSimGroup(ranks, 2, 72, 1))
		f.lateRegistration.Store(true)
		f.start()
		time.Sleep(100 * time.Millisecond)
		f.lateRegistration.Store(false)
		time.Sleep(serving.LapsedGrace)
		a := f.agents[0]
		a.mu.Lock()
		reportedRanks := len(a.groupLoads.loads.Running)
		a.mu.Unlock()
		f.stop()
		g.Expect(reportedRanks).To(Equal(ranks))
	})
}

// The store comes back from an older copy while an agent starts. The group must not stay with the
// older cost model, nor go back to it later, and its rounds must not wait for the store.
func TestCostModelIsRenewedAndNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(newSimGroup(4, 1, 8, 1))
		a := f.agents[0]
		version := uint64(5)
		a.opts.DecodeConfig = func(string, []byte) (serving.Config, bool, error) {
			c := simConfig(f.group)
			c.Version, c.Services[0].Engine.Slots = version, int(version)
			return c, true, nil
		}
		group := newGroup(a)
		group.refresh()
		g.Expect(group.model.Slots).To(Equal(5))
		renew := func() {
			time.Sleep(modelTTL)
			started := time.Now()
			group.renewModel(started)
			g.Expect(time.Since(started)).To(BeZero())
			time.Sleep(time.Second)
			group.renewModel(time.Now())
		}
		version = 9
		renew()
		g.Expect(group.model.Slots).To(Equal(9))
		version = 7
		renew()
		g.Expect(group.model.Slots).To(Equal(9))
		f.storeDown.Store(true)
		renew()
		g.Expect(group.model.Slots).To(Equal(9))
		a.cancel()
		a.tasks.Wait()
	})
}
