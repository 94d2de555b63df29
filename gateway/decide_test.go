package gateway

import (
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/members"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// Several entries retry as much as each may, with requests and failures at random
// times. In no window of the bound's length do their retries together exceed it.
func TestRetriesStayWithinTheBoundInEveryWindow(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		bounds := RetryBudget{Ratio: 0.2, Slack: 92, Window: 10 * time.Second}
		const entries = 8
		start := time.Now()
		var budgets [entries]*retryBudget
		for i := range budgets {
			budgets[i] = newRetryBudget(bounds, start)
		}
		var requests, retries []time.Time
		now := start
		for range 6000 {
			now = now.Add(time.Duration(rng.Int64N(int64(10 * time.Millisecond))))
			b := budgets[rng.IntN(entries)]
			if rng.Float64() < 0.4 {
				b.recordRequest(now)
				requests = append(requests, now)
			}
			if b.tryAcquire(now, entries) {
				retries = append(retries, now)
			}
		}
		g.Expect(len(retries)).To(BeNumerically(">", 100), "the budget must be of use")
		for _, from := range retries {
			sent, asked := countInWindow(retries, from, bounds.Window), countInWindow(requests, from, bounds.Window)
			g.Expect(float64(sent)).To(BeNumerically("<=", bounds.Ratio*float64(asked)+bounds.Slack), "seed %d", seed)
		}
	}
}

func countInWindow(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

func testReplicaState() *replicaState {
	return newReplicaState(&Options{DecodeConfig: decodeTestConfig, DecodeEvacuation: decodeTestEvacuation, DecodeTarget: decodeTestTarget, TargetHeartbeatInterval: time.Second, Log: logr.Discard(), Metrics: metrics.New()})
}

func targetRecord(offset uint64, key, value string) serving.Record {
	return serving.Record{Key: key, Value: []byte(value), Offset: offset}
}

// Another writer puts records into the topic of the targets that can't be read, one of
// them under the key of a target. That key names no target until the target's own next
// record; all others hold, and each record is counted.
func TestRecordsOfOtherWritersLeaveTheOthersAlone(t *testing.T) {
	g := NewWithT(t)
	k := testReplicaState()
	now := time.Now()
	k.config = serving.NewIndex(testConfig())
	k.applyNewest(serving.TopicTargets, []serving.Record{
		targetRecord(1, "i1", `{"Service":"plain","Address":"a"}`),
		targetRecord(2, "i2", `{"Service":"plain","Address":"b"}`),
	}, 3, now)
	k.applyChanges(serving.TopicTargets, []serving.Record{targetRecord(3, "x", "\x00\xfe"), targetRecord(4, "i2", `{"Service":7}`)}, 5, now)
	left := k.snapshot().targets["plain"]
	g.Expect(left).To(HaveLen(1))
	g.Expect(left[0].ID).To(Equal("i1"))
	var counters strings.Builder
	g.Expect(k.metrics.Write(&counters)).To(Succeed())
	g.Expect(counters.String()).To(MatchRegexp(`target_records_ignored\S* 2`))
	k.applyChanges(serving.TopicTargets, []serving.Record{targetRecord(5, "i2", `{"Service":"plain","Address":"b","Sequence":3}`)}, 6, now)
	g.Expect(k.snapshot().targets["plain"]).To(HaveLen(2))
}

// The store is away for seconds, and the records of targets lapse that could not
// renew them. They must stay usable until the targets had time to come back; one
// that is still missing then is gone.
func TestTargetsSurviveAnOutageOfTheStore(t *testing.T) {
	g := NewWithT(t)
	k := testReplicaState()
	now := time.Now()
	k.config = serving.NewIndex(testConfig())
	k.applyNewest(serving.TopicTargets, []serving.Record{targetRecord(1, "i1", `{"Service":"plain"}`)}, 2, now.Add(-5*time.Second))
	k.applyChanges(serving.TopicTargets, []serving.Record{targetRecord(2, "i1", "")}, 3, now)
	g.Expect(k.snapshot().targets["plain"]).To(HaveLen(1))
	k.mu.Lock()
	changed := k.targets.ExpireLapsed(now.Add(serving.LapsedGrace+time.Second), false)
	k.mu.Unlock()
	g.Expect(changed).To(BeTrue())
}

// The store turns this entry away and serves the others; a peer tells that a
// target has been taken out. There was no outage for the targets, so it is gone at
// once and gets no more requests.
func TestATargetGoesAtOnceIfOnlyThisEntryLostTheStore(t *testing.T) {
	g := NewWithT(t)
	k := testReplicaState()
	now := time.Now()
	k.config = serving.NewIndex(testConfig())
	k.applyNewest(serving.TopicTargets, []serving.Record{targetRecord(1, "i1", `{"Service":"plain"}`)}, 2, now.Add(-time.Second))
	k.recordStoreFailure(errStoreDown)
	k.applyPeerUpdate(serving.TopicTargets, serving.ReplicaUpdate{Records: []serving.Record{targetRecord(2, "i1", "")}, FromOffset: 2, NextOffset: 3}, now)
	g.Expect(k.snapshot().targets["plain"]).To(BeEmpty())
}

// A target writes its record at every heartbeat. That it lives is no news to
// peers: only what it says of itself is.
func TestRecordsThatOnlyShowLifeAreNoNews(t *testing.T) {
	g := NewWithT(t)
	k := testReplicaState()
	now := time.Now()
	k.applyNewest(serving.TopicTargets, []serving.Record{targetRecord(1, "i1", `{"Service":"plain","sequence":1}`)}, 2, now)
	k.applyChanges(serving.TopicTargets, []serving.Record{targetRecord(2, "i1", `{"Service":"plain","sequence":2}`)}, 3, now)
	news := k.updateSince(serving.TopicTargets, 2)
	g.Expect(news.Records).To(BeEmpty())
	g.Expect(news.NextOffset).To(Equal(uint64(3)))
	k.applyChanges(serving.TopicTargets, []serving.Record{targetRecord(3, "i1", `{"Service":"plain","Leaving":true}`)}, 4, now)
	news = k.updateSince(serving.TopicTargets, 3)
	g.Expect(news.Records).To(HaveLen(1))
}

// Three entries pass on to each other, again and again, how fresh a topic is that one of
// them read once. If it seemed fresher with any of these answers, they would keep each
// other from reading a store that only they could reach. Questions tell nothing of it: one
// may have waited at an entry that stood still.
func TestWhatIsPassedOnNeverSeemsFresher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var entries []*cluster
		for range 3 {
			k := testReplicaState()
			k.applyNewest(serving.TopicConfig, nil, 1, time.Now().Add(-time.Hour))
			m := &cluster{g: &Gateway{state: k, tracker: testTracker()}, peerTopics: make(map[string][]peers.TopicState)}
			m.membership = members.New(members.Options{Piggyback: m})
			entries = append(entries, m)
		}
		read := time.Now()
		entries[0].g.state.applyNewest(serving.TopicConfig, nil, 1, read)
		for n := range 400 {
			asks, asked := entries[(n+1)%3], entries[n%3]
			sent := time.Now()
			time.Sleep(time.Duration(n%7) * 300 * time.Microsecond)
			answer := &peers.Heartbeat{}
			question := &peers.Heartbeat{Topics: asks.topicStates()}
			asked.HandleProbe(question, answer)
			asks.HandleAck(answer, sent)
			for _, m := range entries {
				g.Expect(m.g.state.age(serving.TopicConfig, time.Now())).To(BeNumerically(">=", time.Since(read)))
			}
		}
		g.Expect(entries[1].g.state.age(serving.TopicConfig, time.Now())).To(BeNumerically("<", time.Since(read)+time.Second))
	})
}

// A configuration never goes back: neither an older record that comes late from a
// peer nor a store that reads stale replaces a newer one.
func TestAConfigurationNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	k := testReplicaState()
	now := time.Now()
	k.applyNewest(serving.TopicConfig, []serving.Record{targetRecord(5, "config", `{"Version":9}`)}, 6, now)
	k.applyPeerUpdate(serving.TopicConfig, serving.ReplicaUpdate{Records: []serving.Record{targetRecord(3, "config", `{"Version":7}`)}, NextOffset: 4}, now)
	g.Expect(k.snapshot().index.Version).To(Equal(uint64(9)))
	k.applyNewest(serving.TopicConfig, []serving.Record{targetRecord(3, "config", `{"Version":7}`)}, 4, now)
	k.applyNewest(serving.TopicConfig, []serving.Record{targetRecord(8, "config", `{"Version":8}`)}, 9, now)
	g.Expect(k.snapshot().index.Version).To(Equal(uint64(9)))
}

// Of many entries the first reads the store and the others follow it. If it fails,
// exactly the next takes over first, the rest one after the other, all within the
// bound; not all at the same moment.
func TestReadersTakeOverOneAfterTheOther(t *testing.T) {
	g := NewWithT(t)
	bound := 3 * time.Second
	p := readSchedule{leadAge: fractionOf(bound, targetsLeadShare), followAge: fractionOf(bound, targetsFollowShare), takeoverSpread: fractionOf(bound, takeoverSpreadShare)}
	last := time.Duration(0)
	for place := range 46 {
		age, _ := p.readLimits(place, 46)
		g.Expect(age).To(BeNumerically(">", last))
		g.Expect(age).To(BeNumerically("<", bound*9/10))
		last = age
	}
}

// An entry that the store turns away stands behind all that it serves, whatever
// its name: it would keep them waiting for its news.
func TestWhoDoesNotReachTheStoreReadsLast(t *testing.T) {
	g := NewWithT(t)
	f := startEntry(t, "b", new(memStore))
	meet := func(name string, reaches bool) {
		f.gw.cluster.membership.MergeHeartbeat(&peers.Heartbeat{Entry: peers.Presence{Name: name, PeerAddr: "127.0.0.1:1", Incarnation: 1, StoreReachable: reaches}})
	}
	meet("a", false)
	meet("c", true)
	place, of := f.gw.cluster.readerPosition()
	g.Expect(place).To(Equal(0))
	g.Expect(of).To(Equal(3))
	f.gw.state.recordStoreFailure(errStoreDown)
	place, _ = f.gw.cluster.readerPosition()
	g.Expect(place).To(Equal(2))
}

// The time of day of a VM is set back, and its entry starts again there. What it
// says of itself must count although its incarnation looks older; an older record
// in the store must not.
func TestAnEntryWhoseClockWasSetBackIsHeard(t *testing.T) {
	g := NewWithT(t)
	f := startEntry(t, "a", new(memStore))
	m := f.gw.cluster
	before := peers.Presence{Name: "b", PeerAddr: "127.0.0.1:1", CallerAddr: "old", Incarnation: 9, Ready: true}
	after := peers.Presence{Name: "b", PeerAddr: "127.0.0.1:2", CallerAddr: "new", Incarnation: 4, Ready: true}
	callers := func() []string {
		var list []string
		for _, p := range m.readyEntries() {
			list = append(list, p.CallerAddr)
		}
		return list
	}
	m.membership.MergeHeartbeat(&peers.Heartbeat{Entry: before})
	g.Expect(callers()).To(Equal([]string{"old"}))
	m.membership.MergeHeartbeat(&peers.Heartbeat{Entry: after})
	g.Expect(callers()).To(Equal([]string{"new"}))
	older := before
	older.Incarnation = 2
	m.recordEntry(older)
	g.Expect(callers()).To(Equal([]string{"new"}))
}
