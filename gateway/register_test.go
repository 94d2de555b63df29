package gateway

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/members"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// idleGateway returns an entry that does nothing by itself.
func idleGateway(name string) *Gateway {
	o := testOptions(name, new(memStore))
	o.PeerAddr = name + ":1"
	g := &Gateway{opts: o, state: newReplicaState(&o), started: time.Now()}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.cluster = newCluster(g)
	return g
}

// learnEntries lets an entry learnEntries others, and read the records of the first of them.
func learnEntries(g *Gateway, others, records int) {
	var read []serving.Record
	for n := range others {
		p := peers.Presence{Name: fmt.Sprintf("entry-%03d", n), Incarnation: 1, PeerAddr: fmt.Sprintf("10.0.0.%d:1", n)}
		if p.Name == g.opts.Name {
			continue
		}
		g.cluster.membership.MergeHeartbeat(&peers.Heartbeat{Entry: p})
		if n < records {
			value, _ := p.MarshalMsg(nil) // test data always encodes
			read = append(read, serving.Record{Key: p.Name, Value: value, Offset: uint64(n + 1)})
		}
	}
	g.state.applyNewest(serving.TopicEntries, read, uint64(records+1), time.Now())
}

// All entries of a large fleet start, and each call to the store is paid for. Those that
// find enough records of others that live write none, and those that write some are the
// first by name, or all would write at once when records are too few.
func TestOnlyAFewEntriesWriteTheirRecords(t *testing.T) {
	for _, c := range []struct {
		name            string
		others, records int
		wanted          bool
	}{
		{"entry-100", 5, 5, true},
		{"entry-100", 149, minEntryRecords, false},
		{"entry-100", 149, minEntryRecords - 2, false}, // two others come first
		{"entry-014", 149, minEntryRecords - 2, true},
	} {
		g := NewWithT(t)
		gw := idleGateway(c.name)
		_, known := gw.needsRecord()
		g.Expect(known).To(BeFalse(), "the records have not been read")
		learnEntries(gw, c.others, c.records)
		wanted, known := gw.needsRecord()
		g.Expect(known).To(BeTrue())
		g.Expect(wanted).To(Equal(c.wanted), "%s, %d records", c.name, c.records)
	}
}

// An entry has its record already, as after a restart of the whole fleet: it writes none.
func TestAnEntryKeepsItsRecord(t *testing.T) {
	g := NewWithT(t)
	gw := idleGateway("entry-000")
	value, err := (&peers.Presence{Name: "entry-000", Incarnation: 1, PeerAddr: "entry-000:1"}).MarshalMsg(nil)
	g.Expect(err).NotTo(HaveOccurred())
	gw.state.applyNewest(serving.TopicEntries, []serving.Record{{Key: "entry-000", Value: value, Offset: 1}}, 2, time.Now())
	wanted, _ := gw.needsRecord()
	g.Expect(wanted).To(BeFalse())
}

// Many entries start at once. Each would read all topics from the store, unless another
// tells it before its turn; and it must not wait for that for longer than its turn.
func TestAnEntryThatIsToldDoesNotReadTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gw := idleGateway("entry-004")
		turn := gw.startupDelay()
		g.Expect(turn).To(BeNumerically(">", 2*startupPollInterval))
		gw.awaitFirstRead(serving.TopicEntries)
		g.Expect(time.Since(gw.started)).To(Equal(turn), "nobody has told it")
		learnEntries(gw, 0, 0)
		gw.started = time.Now()
		gw.awaitFirstRead(serving.TopicTargets)
		g.Expect(time.Since(gw.started)).To(Equal(turn), "there is nobody to tell it")
		learnEntries(gw, 3, 3)
		gw.started = time.Now()
		gw.awaitFirstRead(serving.TopicTargets)
		g.Expect(time.Since(gw.started)).To(Equal(turn+startupWait), "those that it knows do not tell it")

		told := idleGateway("entry-004")
		time.AfterFunc(startupPollInterval, func() {
			told.state.applyPeerUpdate(serving.TopicTargets, serving.ReplicaUpdate{NextOffset: 5, Full: true}, time.Now())
		})
		told.awaitFirstRead(serving.TopicTargets)
		g.Expect(time.Since(told.started)).To(BeNumerically("<=", 2*startupPollInterval))
		g.Expect(told.cluster.requestTopics("x")).To(BeZero())
		told.cluster.recordPeerTopics(&peers.Heartbeat{Entry: peers.Presence{Name: "x"}, Topics: []peers.TopicState{{Next: 9}}})
		g.Expect(told.cluster.requestTopics("x")).To(Equal(uint8(1)), "what it has not read is asked for in the first moment")
	})
}

var _ members.Piggyback = (*cluster)(nil)

// Callers connect to an entry that has just started and does not know the configuration
// yet. It is told a moment later: their requests wait for that and are not refused. If
// nobody tells it they are refused, well before callers give it up.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gw := idleGateway("gw")
		time.AfterFunc(50*time.Millisecond, func() {
			gw.state.applyNewest(serving.TopicConfig, []serving.Record{targetRecord(1, "config", `{"Version":7}`)}, 2, time.Now())
		})
		g.Expect(gw.awaitSnapshot()).NotTo(BeNil())
		g.Expect(time.Since(gw.started)).To(BeNumerically("<=", 50*time.Millisecond+startupPollInterval))
		alone := idleGateway("gw")
		g.Expect(alone.awaitSnapshot()).To(BeNil())
		g.Expect(time.Since(alone.started)).To(BeNumerically("<=", startupSpread+startupWait+startupPollInterval))
	})
}

// Three VMs whose names differ in their last letter start together. If they read the store in
// the same moment all of them read it, and none finds the record of another one.
func TestVMsWithSimilarNamesReadTheStoreOneAfterTheOther(t *testing.T) {
	g := NewWithT(t)
	var delays []time.Duration
	for n := range 9 {
		delays = append(delays, idleGateway(fmt.Sprintf("front-a-%d", n+1)).startupDelay())
	}
	slices.Sort(delays)
	g.Expect(delays[8]-delays[0]).To(BeNumerically(">", startupSpread/2), "%v", delays)
}

// An entry has read the records of others in the same moment as these, and found none. It
// looks again within a second, and not after the usual time; one that stays alone looks less
// and less often, since calls to the store are paid for.
func TestAnEntryThatKnowsNobodyLooksAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gw := idleGateway("entry-000")
		age := func() time.Duration {
			age, alone := gw.aloneReadAge()
			g.Expect(alone).To(BeTrue())
			return age
		}
		g.Expect(age()).To(Equal(firstAloneReadAge))
		time.Sleep(8 * time.Second)
		g.Expect(age()).To(Equal(4 * time.Second))
		time.Sleep(time.Hour)
		g.Expect(age()).To(Equal(entriesReadInterval))
		learnEntries(gw, 2, 2)
		_, alone := gw.aloneReadAge()
		g.Expect(alone).To(BeFalse(), "the usual turns count")
	})
}
