package placing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// twoGroups returns a tracker that knows two groups of two targets each, and the pool of all four.
// first and second are the requests that each target of the first and second group runs.
func twoGroups(first, second int, now time.Time) (*Tracker, TargetPool) {
	tr := testTracker()
	targets := plainTargets("a", "b", "c", "d")
	report := func(name string, list []*serving.Target, running int) {
		loads := make(map[string]RankLoad)
		for _, t := range list {
			loads[t.Address] = RankLoad{Running: running}
		}
		state := NewGroupState(loads, 1, 1, QueueCounts{OnTime: 20}, now)
		state.Name = name
		tr.ApplyLoadReport("p", list, loads, state)
	}
	report("g", targets[:2], first)
	report("h", targets[2:], second)
	s := &serving.Service{Name: "p", Engine: testModel()}
	return tr, TargetPool{Service: s, Targets: targets, EntryCount: 1}
}

// admitAndCount admits requests and returns their number by target.
func admitAndCount(tr *Tracker, pool TargetPool, requests int, now time.Time) map[string]int {
	q := new(AdmissionQueue)
	var waiters []*Waiter
	for range requests {
		w, _, _ := q.Enqueue(newWaitingRequest(1, now), now)
		waiters = append(waiters, w)
	}
	Admit(q, tr, pool, now)
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

// One of two groups is full. An entry that knew only one group would overload the full one or leave
// the free slots of the other unused.
func TestRequestsGoToTheGroupWithHeadroom(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	slots := testModel().Slots
	tr, pool := twoGroups(slots, slots-3, now)
	sent := admitAndCount(tr, pool, 20, now)
	g.Expect(sent["a"] + sent["b"]).To(BeZero())
	g.Expect(sent["c"] + sent["d"]).To(Equal(6))
}

// A rank of one group has died and every engine of that group refuses. Requests must go to the
// other group, and one probe at a time to the first.
func TestOneGroupDownDoesNotStopTheOthers(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	tr, pool := twoGroups(0, 0, now)
	tr.RecordGroupRefusal(pool.Targets[0], now)
	sent := admitAndCount(tr, pool, 8, now)
	g.Expect(sent["a"] + sent["b"]).To(BeZero())
	g.Expect(sent["c"] + sent["d"]).To(Equal(8))
	down, _ := tr.IsServiceDown("p", now)
	g.Expect(down).To(BeFalse())
	now = now.Add(probeInterval)
	sent = admitAndCount(tr, pool, 8, now)
	g.Expect(sent["a"] + sent["b"]).To(Equal(1))
	tr.RecordGroupResponse(pool.Targets[0], now)
	sent = admitAndCount(tr, pool, 8, now)
	g.Expect(sent["a"]+sent["b"]).To(BeNumerically(">", 2), "the group with more headroom")
}

// The expert map of one group is so uneven that it sustains few streams. The other group must keep
// its usual limit.
func TestEachGroupHasItsOwnStreamLimit(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	tr, pool := twoGroups(0, 0, now)
	uneven := NewGroupState(nil, 3, 3, QueueCounts{}, now)
	uneven.Name = "g"
	tr.ApplyLoadReport("p", nil, nil, uneven)
	pool.EventGapObjective = 120 * time.Millisecond
	pools := tr.groupPools(pool, now)
	g.Expect(pools).To(HaveLen(2))
	limits := map[string]float64{}
	for _, p := range pools {
		limits[p.key.name] = p.maxStreams
	}
	g.Expect(limits["g"]).To(BeNumerically("<", limits["h"]))
}

// Two spare engines are too few to form a group and refuse every request. They look idle, but must
// get no requests while the complete group runs, and must not open its breaker.
func TestEnginesOutsideACompleteGroupGetNoRequests(t *testing.T) {
	for _, reported := range []bool{false, true} {
		g := NewWithT(t)
		now := time.Now()
		tr, pool := twoGroups(testModel().Slots-2, 0, now)
		if reported {
			incomplete := NewGroupState(nil, 0, 0, QueueCounts{}, now)
			incomplete.Name, incomplete.Complete = "h", false
			tr.ApplyLoadReport("p", nil, nil, incomplete)
		} else {
			delete(tr.groups, groupKey{service: "p", name: "h"})
			tr.targetState(pool.Targets[2]).group, tr.targetState(pool.Targets[3]).group = "", ""
		}
		tr.SetGroupSize("p", "h", 12, now)
		expectLastTwoUnused(g, tr, pool, now)
	}
}

// expectLastTwoUnused expects that the last two targets get no requests while the first two run.
func expectLastTwoUnused(g *WithT, tr *Tracker, pool TargetPool, now time.Time) {
	sent := admitAndCount(tr, pool, 40, now)
	g.Expect(sent["c"] + sent["d"]).To(BeZero())
	g.Expect(sent["a"] + sent["b"]).To(BeNumerically(">", 0))
	tr.RecordGroupRefusal(pool.Targets[2], now)
	down, _ := tr.IsServiceDown("p", now)
	g.Expect(down).To(BeFalse())
	tr.RecordGroupRefusal(pool.Targets[0], now)
	sent = admitAndCount(tr, pool, 4, now)
	g.Expect(sent["c"]+sent["d"]).To(BeZero(), "these engines have just refused")
}

// The leader agent of one of two groups stalls while its engines run on. Without its load reports
// the group must keep its work: the other group cannot take over the streams of both.
func TestGroupWithoutReportsKeepsItsWorkWhileItResponds(t *testing.T) {
	const perSlot = 2
	g := NewWithT(t)
	now := time.Now()
	slots := testModel().Slots
	tr, pool := twoGroups(0, 0, now)
	pool.EventGapObjective = 120 * time.Millisecond
	other := tr.group(groupKey{service: "p", name: "h"}).GroupState
	now = now.Add(ReportTTL + time.Second)
	other.ReportedAt = now
	tr.ApplyLoadReport("p", nil, nil, other)
	tr.RecordGroupResponse(pool.Targets[0], now.Add(-ReportTTL/2))
	sent := admitAndCount(tr, pool, perSlot*4*slots, now)
	g.Expect(sent["c"] + sent["d"]).To(BeNumerically(">", 0))
	silent := sent["a"] + sent["b"]
	g.Expect(silent).To(BeNumerically(">", 0))
	pools := tr.groupPools(pool, now)
	for _, p := range pools {
		if p.key.name == "g" {
			g.Expect(silent).To(BeNumerically("<=", 2*(int(p.maxStreams)+1)), "the map is not rebalanced meanwhile")
		}
	}
	tr.RecordGroupRefusal(pool.Targets[0], now)
	sent = admitAndCount(tr, pool, 4, now.Add(probeInterval))
	g.Expect(sent["a"]+sent["b"]).To(BeZero(), "its engines refuse and nobody reports")
}

// A group stalls with its leader: no target responds and no report comes. Requests sent there would
// wait until their callers disconnect.
func TestGroupWithoutReportsAndResponsesGetsNoWork(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	tr, pool := twoGroups(0, 0, now)
	tr.RecordGroupResponse(pool.Targets[0], now)
	other := tr.group(groupKey{service: "p", name: "h"}).GroupState
	now = now.Add(ReportTTL + time.Second)
	other.ReportedAt = now
	tr.ApplyLoadReport("p", nil, nil, other)
	sent := admitAndCount(tr, pool, 8, now)
	g.Expect(sent["a"] + sent["b"]).To(BeZero())
	g.Expect(sent["c"] + sent["d"]).To(BeNumerically(">", 0))
}

// Groups of two data centres have headroom. Requests that cross data centres without need take
// bandwidth on billed links, but a full local group must not keep requests from a remote one.
func TestGroupInOwnDataCentreIsPreferredUntilItIsFuller(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	slots := testModel().Slots
	place := func(local, remote int) map[string]int {
		tr, pool := twoGroups(remote, local, now)
		for i, target := range pool.Targets {
			target.DataCentre = "far"
			if i >= 2 {
				target.DataCentre = tr.dataCentre
			}
		}
		return admitAndCount(tr, pool, 1, now)
	}
	sent := place(1, 1)
	g.Expect(sent["c"]+sent["d"]).To(Equal(1), "equally full")
	sent = place(3, 1)
	g.Expect(sent["a"]+sent["b"]).To(Equal(1), "the local group is fuller by more than a tenth")
	sent = place(slots, 1)
	g.Expect(sent["a"]+sent["b"]).To(Equal(1), "the local group is full")
}
