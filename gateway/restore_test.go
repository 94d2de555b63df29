package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// Records before and after the store has come back from an older copy, in era 1.
const (
	olderConfig  = `{"Version":7,"Services":[{"Name":"plain"}]}`
	newerConfig  = `{"Version":9,"Services":[{"Name":"plain"}]}`
	newestConfig = `{"Version":11,"Services":[{"Name":"plain"}]}`
)

func inEra(era, offset uint64, key, value string) serving.Record {
	return serving.Record{Key: key, Value: []byte(value), Offset: serving.PositionAt(era, offset)}
}

// stateBeforeRestore returns the state of an entry that knows of records which the store is about to
// lose: a configuration, an evacuation, targets that were added, leave and are gone.
func stateBeforeRestore(now time.Time) *replicaState {
	s := testReplicaState()
	s.applyNewest(serving.TopicConfig, []serving.Record{inEra(0, 3, "config", olderConfig)}, 4, now)
	s.applyNewest(serving.TopicTargets, []serving.Record{
		inEra(0, 1, "stays", `{"Service":"plain","Address":"a","Sequence":1}`),
		inEra(0, 2, "leaves", `{"Service":"plain","Address":"b","Sequence":1}`),
		inEra(0, 3, "gone", `{"Service":"plain","Address":"c","Sequence":1}`),
	}, 4, now)
	s.applyChanges(serving.TopicConfig, []serving.Record{inEra(0, 4, "config", newerConfig), inEra(0, 5, "away-from-b", "{}")}, 6, now)
	s.applyChanges(serving.TopicTargets, []serving.Record{
		inEra(0, 4, "leaves", `{"Service":"plain","Address":"b","Sequence":9,"Leaving":true}`),
		inEra(0, 5, "gone", ""),
		inEra(0, 6, "added", `{"Service":"plain","Address":"d","Sequence":1}`),
	}, 7, now)
	return s
}

// restoreOlderCopy applies a read of the store after it has come back from an older copy.
func restoreOlderCopy(s *replicaState, now time.Time) {
	s.applyNewest(serving.TopicConfig, []serving.Record{inEra(1, 3, "config", olderConfig)}, serving.PositionAt(1, 4), now)
	s.applyNewest(serving.TopicTargets, []serving.Record{
		inEra(1, 1, "stays", `{"Service":"plain","Address":"a","Sequence":1}`),
		inEra(1, 2, "leaves", `{"Service":"plain","Address":"b","Sequence":7}`),
		inEra(1, 3, "gone", `{"Service":"plain","Address":"c","Sequence":7}`),
	}, serving.PositionAt(1, 4), now)
}

// available returns the IDs of the targets that get requests.
func available(s *replicaState) (ids []string) {
	for _, t := range s.snapshot().targets["plain"] {
		if t.IsAvailable() {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// Guards against an entry that goes back to a configuration, evacuation or target of an older copy,
// and that drops targets which the copy lacks.
func TestOlderCopyOfTheStoreRevertsNothing(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := stateBeforeRestore(now)
	restoreOlderCopy(s, now)
	g.Expect(s.snapshot().index.Version).To(Equal(uint64(9)))
	g.Expect(s.evacuated).To(HaveKey("b"))
	g.Expect(available(s)).To(ConsistOf("stays", "added"))

	s.applyChanges(serving.TopicConfig, []serving.Record{inEra(1, 4, "config", newestConfig), inEra(1, 5, "away-from-b", "")}, serving.PositionAt(1, 6), now)
	g.Expect(s.snapshot().index.Version).To(Equal(uint64(11)), "an offset that was given out before holds a new record")
	g.Expect(s.evacuated).To(BeEmpty())
	s.applyChanges(serving.TopicTargets, []serving.Record{inEra(1, 4, "gone", `{"Service":"plain","Address":"c","Sequence":12}`)}, serving.PositionAt(1, 5), now)
	g.Expect(available(s)).To(ConsistOf("stays", "added", "gone"), "the target has written a record since")
}

// Guards against targets that the store has lost and that do not write their records again: they are
// gone after the time in which targets return.
func TestTargetMissingAfterARestoreExpires(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := stateBeforeRestore(now)
	restoreOlderCopy(s, now)
	g.Expect(available(s)).To(ContainElement("added"))
	time.Sleep(serving.LapsedGrace + 10*time.Millisecond)
	s.confirmComplete(serving.TopicTargets, serving.PositionAt(1, 4), time.Now())
	s.expireTargets()
	g.Expect(available(s)).To(ConsistOf("stays"))
}

// Guards against an entry that starts with the older copy and does not learn from peers what the store
// has lost, and against a peer of the earlier era that pulls it back.
func TestEntryThatReadsTheOlderCopyLearnsOfLostRecords(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	informed, started, lagging := stateBeforeRestore(now), testReplicaState(), stateBeforeRestore(now)
	restoreOlderCopy(informed, now)
	restoreOlderCopy(started, now)
	g.Expect(started.snapshot().index.Version).To(Equal(uint64(7)))
	exchange := func(from, to *replicaState) {
		for topic := range serving.Topic(serving.NumTopics) {
			own, peer := to.topicState(topic, now), from.topicState(topic, now)
			if hasMore(&peer, &own) {
				to.applyPeerUpdate(topic, from.updateSince(topic, own.Next, own.Kept), now)
			}
		}
	}
	exchange(informed, started)
	g.Expect(started.snapshot().index.Version).To(Equal(uint64(9)))
	g.Expect(started.evacuated).To(HaveKey("b"))
	g.Expect(available(started)).To(ConsistOf("stays", "gone"), "the leaving target is known again")
	g.Expect(started.topicState(serving.TopicConfig, now)).To(Equal(informed.topicState(serving.TopicConfig, now)))

	exchange(lagging, informed)
	g.Expect(informed.eraOf(serving.TopicConfig)).To(Equal(uint64(1)))
	exchange(informed, lagging)
	g.Expect(lagging.eraOf(serving.TopicConfig)).To(Equal(uint64(1)))
	g.Expect(lagging.snapshot().index.Version).To(Equal(uint64(9)))
	g.Expect(available(lagging)).To(ConsistOf("stays", "added"))

	informed.applyChanges(serving.TopicConfig, []serving.Record{inEra(1, 4, "config", newerConfig), inEra(1, 5, "away-from-b", "{}")}, serving.PositionAt(1, 6), now)
	g.Expect(informed.topicState(serving.TopicConfig, now).Kept).To(BeZero(), "the store has all records again")
}

// Guards against an evacuation that stays in force for good although it was withdrawn while the store
// had lost it.
func TestLostEvacuationEndsIfItIsNotWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := stateBeforeRestore(now)
	restoreOlderCopy(s, now)
	s.expireKeptOrders(now)
	s.applyNewest(serving.TopicConfig, []serving.Record{inEra(1, 3, "config", olderConfig)}, serving.PositionAt(1, 6), now)
	s.expireKeptOrders(now.Add(keptOrderTTL / 2))
	g.Expect(s.evacuated).To(HaveKey("b"))
	s.expireKeptOrders(now.Add(keptOrderTTL))
	g.Expect(s.evacuated).To(BeEmpty())
	g.Expect(s.snapshot().index.Version).To(Equal(uint64(9)))
	g.Expect(s.topicState(serving.TopicConfig, now).Kept).NotTo(BeZero(), "the configuration is kept")
}

// Guards against entries that ask for a position which the store does not have again and again, and
// against entries without the store that stay behind.
func TestRestoredStoreIsReadOnceByAFleet(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	target := startLimitedTarget(t, "i1", 0)
	c := startRateLimitCluster(t, 3, "plain", target.testTarget)
	copied := c.store.lengths()
	for range 5 {
		c.store.put(serving.TopicConfig, "away-from-z", map[string]int{})
	}
	time.Sleep(500 * time.Millisecond)
	c.store.restore(copied)
	before := c.store.readCount()
	config := testConfig()
	config.Version = 12
	c.store.put(serving.TopicConfig, "config", config)
	for _, e := range c.entries {
		g.Eventually(func() uint64 { return e.gw.state.snapshot().index.Version }, e.gw.opts.ConfigApplyTimeout, "5ms").Should(Equal(uint64(12)))
	}
	time.Sleep(time.Second)
	g.Expect(c.store.readCount()-before).To(BeNumerically("<=", 4*len(c.entries)), "reads beside those of changes")
}

// Guards against a record of an entry that the store has lost and that the entry takes for written.
func TestLostRecordOfAnEntryIsNeededAgain(t *testing.T) {
	g := NewWithT(t)
	gw := idleGateway("entry-000")
	value, err := (&peers.Presence{Name: "entry-000", Incarnation: 1, PeerAddr: "entry-000:1"}).MarshalMsg(nil)
	g.Expect(err).NotTo(HaveOccurred())
	gw.state.applyNewest(serving.TopicEntries, []serving.Record{{Key: "entry-000", Value: value, Offset: 1}}, 2, time.Now())
	needed, _ := gw.needsRecord()
	g.Expect(needed).To(BeFalse())
	gw.state.applyNewest(serving.TopicConfig, nil, serving.PositionAt(1, 0), time.Now())
	_, known := gw.needsRecord()
	g.Expect(known).To(BeFalse(), "the records of this era have not been read")
	gw.state.applyNewest(serving.TopicEntries, nil, serving.PositionAt(1, 0), time.Now())
	needed, known = gw.needsRecord()
	g.Expect(known).To(BeTrue())
	g.Expect(needed).To(BeTrue())
}

// Guards against a run that ended before an entry knew of it, and that hides the target which has
// taken its address when the store comes back from a copy with both.
func TestEndedRunInOlderCopyHidesNoTarget(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := testReplicaState()
	s.applyNewest(serving.TopicConfig, []serving.Record{inEra(0, 3, "config", olderConfig)}, 4, now)
	s.applyNewest(serving.TopicTargets, []serving.Record{inEra(0, 8, "new", `{"Service":"plain","Address":"a","Sequence":1}`)}, 9, now)
	s.applyNewest(serving.TopicTargets, []serving.Record{
		inEra(1, 2, "ended", `{"Service":"plain","Address":"a","Sequence":5}`),
		inEra(1, 6, "new", `{"Service":"plain","Address":"a","Sequence":1}`),
	}, serving.PositionAt(1, 7), now)
	g.Expect(available(s)).To(ConsistOf("new"))
}

// Guards against targets that count as removed since one copy lacked them, although the next copy, which
// comes before any new record, has them.
func TestTargetsReturnWithALaterCopy(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := stateBeforeRestore(now)
	s.applyNewest(serving.TopicTargets, nil, serving.PositionAt(1, 0), now)
	s.applyNewest(serving.TopicTargets, []serving.Record{
		inEra(2, 0, "stays", `{"Service":"plain","Address":"a","Sequence":5}`),
		inEra(2, 1, "gone", `{"Service":"plain","Address":"c","Sequence":5}`),
	}, serving.PositionAt(2, 2), now)
	time.Sleep(serving.LapsedGrace / 2)
	s.applyNewest(serving.TopicTargets, []serving.Record{inEra(3, 0, "stays", `{"Service":"plain","Address":"a","Sequence":5}`)}, serving.PositionAt(3, 2), time.Now())
	time.Sleep(serving.LapsedGrace/2 + 10*time.Millisecond)
	s.confirmComplete(serving.TopicTargets, serving.PositionAt(3, 2), time.Now())
	s.expireTargets()
	g.Expect(available(s)).To(ConsistOf("stays", "added"), "the last restore starts the time for missing targets anew")
}
