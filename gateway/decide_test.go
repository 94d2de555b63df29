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
				b.request(now)
				requests = append(requests, now)
			}
			if b.take(now, entries) {
				retries = append(retries, now)
			}
		}
		g.Expect(len(retries)).To(BeNumerically(">", 100), "the budget must be of use")
		for _, from := range retries {
			sent, asked := count(retries, from, bounds.Window), count(requests, from, bounds.Window)
			g.Expect(float64(sent)).To(BeNumerically("<=", bounds.Ratio*float64(asked)+bounds.Slack), "seed %d", seed)
		}
	}
}

func count(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

func testKnowledge() *knowledge {
	return newKnowledge(&Options{DecodeConfig: decodeTestConfig, DecodeEvacuation: decodeTestEvacuation, DecodeTarget: decodeTestTarget, TargetHeartbeatInterval: time.Second, Log: logr.Discard(), Metrics: metrics.New()})
}

func targetRecord(offset uint64, key, value string) serving.Record {
	return serving.Record{Key: key, Value: []byte(value), Offset: offset}
}

// Another writer puts records into the topic of the targets that can't be read, one of
// them under the key of a target. That key names no target until the target's own next
// record; all others hold, and each record is counted.
func TestRecordsOfOtherWritersLeaveTheOthersAlone(t *testing.T) {
	g := NewWithT(t)
	k := testKnowledge()
	now := time.Now()
	k.config = serving.NewIndex(testConfig())
	k.newest(serving.TopicTargets, []serving.Record{
		targetRecord(1, "i1", `{"Service":"plain","Address":"a"}`),
		targetRecord(2, "i2", `{"Service":"plain","Address":"b"}`),
	}, 3, now)
	k.changes(serving.TopicTargets, []serving.Record{targetRecord(3, "x", "\x00\xfe"), targetRecord(4, "i2", `{"Service":7}`)}, 5, now)
	left := k.view().targets["plain"]
	g.Expect(left).To(HaveLen(1))
	g.Expect(left[0].ID).To(Equal("i1"))
	var counters strings.Builder
	g.Expect(k.metrics.Write(&counters)).To(Succeed())
	g.Expect(counters.String()).To(MatchRegexp(`target_records_ignored\S* 2`))
	k.changes(serving.TopicTargets, []serving.Record{targetRecord(5, "i2", `{"Service":"plain","Address":"b","Sequence":3}`)}, 6, now)
	g.Expect(k.view().targets["plain"]).To(HaveLen(2))
}

// The store is away for seconds, and the records of targets lapse that could not
// renew them. They must stay usable until the targets had time to come back; one
// that is still missing then is gone.
func TestTargetsSurviveAnOutageOfTheStore(t *testing.T) {
	g := NewWithT(t)
	k := testKnowledge()
	now := time.Now()
	k.config = serving.NewIndex(testConfig())
	k.newest(serving.TopicTargets, []serving.Record{targetRecord(1, "i1", `{"Service":"plain"}`)}, 2, now.Add(-5*time.Second))
	k.changes(serving.TopicTargets, []serving.Record{targetRecord(2, "i1", "")}, 3, now)
	g.Expect(k.view().targets["plain"]).To(HaveLen(1))
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
	k := testKnowledge()
	now := time.Now()
	k.config = serving.NewIndex(testConfig())
	k.newest(serving.TopicTargets, []serving.Record{targetRecord(1, "i1", `{"Service":"plain"}`)}, 2, now.Add(-time.Second))
	k.storeFailed(errAway)
	k.adopt(serving.TopicTargets, serving.ReplicaUpdate{Records: []serving.Record{targetRecord(2, "i1", "")}, FromOffset: 2, NextOffset: 3}, now)
	g.Expect(k.view().targets["plain"]).To(BeEmpty())
}

// A target writes its record at every heartbeat. That it lives is no news to
// peers: only what it says of itself is.
func TestRecordsThatOnlyShowLifeAreNoNews(t *testing.T) {
	g := NewWithT(t)
	k := testKnowledge()
	now := time.Now()
	k.newest(serving.TopicTargets, []serving.Record{targetRecord(1, "i1", `{"Service":"plain","sequence":1}`)}, 2, now)
	k.changes(serving.TopicTargets, []serving.Record{targetRecord(2, "i1", `{"Service":"plain","sequence":2}`)}, 3, now)
	news := k.since(serving.TopicTargets, 2)
	g.Expect(news.Records).To(BeEmpty())
	g.Expect(news.NextOffset).To(Equal(uint64(3)))
	k.changes(serving.TopicTargets, []serving.Record{targetRecord(3, "i1", `{"Service":"plain","Leaving":true}`)}, 4, now)
	news = k.since(serving.TopicTargets, 3)
	g.Expect(news.Records).To(HaveLen(1))
}

// Three entries pass on to each other, again and again, how fresh a topic is that one of
// them read once. If it seemed fresher with any of these answers, they would keep each
// other from reading a store that only they could reach. Questions tell nothing of it: one
// may have waited at an entry that stood still.
func TestWhatIsPassedOnNeverSeemsFresher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var entries []*mesh
		for range 3 {
			k := testKnowledge()
			k.newest(serving.TopicConfig, nil, 1, time.Now().Add(-time.Hour))
			m := &mesh{g: &Gateway{knowledge: k, book: testBook()}, topics: make(map[string][]peers.TopicState)}
			m.group = members.New(members.Options{Piggyback: m})
			entries = append(entries, m)
		}
		read := time.Now()
		entries[0].g.knowledge.newest(serving.TopicConfig, nil, 1, read)
		for n := range 400 {
			asks, asked := entries[(n+1)%3], entries[n%3]
			sent := time.Now()
			time.Sleep(time.Duration(n%7) * 300 * time.Microsecond)
			answer := &peers.Heartbeat{}
			question := &peers.Heartbeat{Topics: asks.states()}
			asked.HandleProbe(question, answer)
			asks.HandleAck(answer, sent)
			for _, m := range entries {
				g.Expect(m.g.knowledge.age(serving.TopicConfig, time.Now())).To(BeNumerically(">=", time.Since(read)))
			}
		}
		g.Expect(entries[1].g.knowledge.age(serving.TopicConfig, time.Now())).To(BeNumerically("<", time.Since(read)+time.Second))
	})
}

// A configuration never goes back: neither an older record that comes late from a
// peer nor a store that reads stale replaces a newer one.
func TestAConfigurationNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	k := testKnowledge()
	now := time.Now()
	k.newest(serving.TopicConfig, []serving.Record{targetRecord(5, "config", `{"Version":9}`)}, 6, now)
	k.adopt(serving.TopicConfig, serving.ReplicaUpdate{Records: []serving.Record{targetRecord(3, "config", `{"Version":7}`)}, NextOffset: 4}, now)
	g.Expect(k.view().index.Version).To(Equal(uint64(9)))
	k.newest(serving.TopicConfig, []serving.Record{targetRecord(3, "config", `{"Version":7}`)}, 4, now)
	k.newest(serving.TopicConfig, []serving.Record{targetRecord(8, "config", `{"Version":8}`)}, 9, now)
	g.Expect(k.view().index.Version).To(Equal(uint64(9)))
}

// Of many entries the first reads the store and the others follow it. If it fails,
// exactly the next takes over first, the rest one after the other, all within the
// bound; not all at the same moment.
func TestReadersTakeOverOneAfterTheOther(t *testing.T) {
	g := NewWithT(t)
	bound := 3 * time.Second
	p := pace{lead: share(bound, targetsEvery), follow: share(bound, targetsFollow), spread: share(bound, takeOver)}
	last := time.Duration(0)
	for place := range 46 {
		age, _ := p.limit(place, 46)
		g.Expect(age).To(BeNumerically(">", last))
		g.Expect(age).To(BeNumerically("<", bound*9/10))
		last = age
	}
}

// An entry that the store turns away stands behind all that it serves, whatever
// its name: it would keep them waiting for its news.
func TestWhoDoesNotReachTheStoreReadsLast(t *testing.T) {
	g := NewWithT(t)
	f := startGateway(t, "b", new(memStore))
	meet := func(name string, reaches bool) {
		f.gw.mesh.group.MergeHeartbeat(&peers.Heartbeat{Entry: peers.Presence{Name: name, PeerAddr: "127.0.0.1:1", Incarnation: 1, StoreReachable: reaches}})
	}
	meet("a", false)
	meet("c", true)
	place, of := f.gw.mesh.position()
	g.Expect(place).To(Equal(0))
	g.Expect(of).To(Equal(3))
	f.gw.knowledge.storeFailed(errAway)
	place, _ = f.gw.mesh.position()
	g.Expect(place).To(Equal(2))
}

// The time of day of a VM is set back, and its entry starts again there. What it
// says of itself must count although its incarnation looks older; an older record
// in the store must not.
func TestAnEntryWhoseClockWasSetBackIsHeard(t *testing.T) {
	g := NewWithT(t)
	f := startGateway(t, "a", new(memStore))
	m := f.gw.mesh
	before := peers.Presence{Name: "b", PeerAddr: "127.0.0.1:1", CallerAddr: "old", Incarnation: 9, Ready: true}
	after := peers.Presence{Name: "b", PeerAddr: "127.0.0.1:2", CallerAddr: "new", Incarnation: 4, Ready: true}
	callers := func() []string {
		var list []string
		for _, p := range m.usable() {
			list = append(list, p.CallerAddr)
		}
		return list
	}
	m.group.MergeHeartbeat(&peers.Heartbeat{Entry: before})
	g.Expect(callers()).To(Equal([]string{"old"}))
	m.group.MergeHeartbeat(&peers.Heartbeat{Entry: after})
	g.Expect(callers()).To(Equal([]string{"new"}))
	older := before
	older.Incarnation = 2
	m.read(older)
	g.Expect(callers()).To(Equal([]string{"new"}))
}
