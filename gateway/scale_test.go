package gateway

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/callers"
	"github.com/heatherrail/heatherrail/members"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
)

// scaleCluster simulates many entries in virtual time, with their calls to the store and to each
// other. Links only add delays. There are no callers, and targets get no requests.
type scaleCluster struct {
	store     *scaleStore
	entries   map[string]*scaleEntry // by address
	addresses []string
	ctx       context.Context
	cancel    context.CancelFunc

	// Calls between entries and bytes of these calls and their responses: in total, and between
	// data centres.
	callCount, crossCentreCalls atomic.Int64
	byteCount, crossCentreBytes atomic.Int64
	dialCount                   atomic.Int64
}

type scaleEntry struct {
	cluster *scaleCluster
	gw      *Gateway
	down    atomic.Bool
}

// Parameters of the simulated fleet.
const (
	scaleCentres           = 3
	scaleTargets           = 600 // more than one page of the store's answers
	scalePageRecords       = 500
	scaleHeartbeatInterval = 5 * time.Second
	localLinkDelay         = 300 * time.Microsecond
	crossCentreLinkDelay   = time.Millisecond
	storeDelay             = 4 * time.Millisecond
	startSpan              = 20 * time.Millisecond
	firstRecordsDelay      = 600 * time.Millisecond // time from the start of all entries to the first records
)

// scaleStore counts calls to the store.
type scaleStore struct {
	memStore
	calls atomic.Int64
}

// Newest implements serving.Store.
func (s *scaleStore) Newest(ctx context.Context, t serving.Topic) ([]serving.Record, uint64, error) {
	records, end, err := s.memStore.Newest(ctx, t)
	s.calls.Add(int64(1 + len(records)/scalePageRecords))
	time.Sleep(storeDelay)
	return records, end, err
}

// Changes implements serving.Store.
func (s *scaleStore) Changes(ctx context.Context, t serving.Topic, from uint64, wait time.Duration) ([]serving.Record, uint64, error) {
	s.calls.Add(1)
	time.Sleep(storeDelay)
	return s.memStore.Changes(ctx, t, from, wait)
}

// Put implements serving.Store.
func (s *scaleStore) Put(ctx context.Context, t serving.Topic, key string, value []byte) error {
	s.calls.Add(1)
	time.Sleep(storeDelay)
	return s.memStore.Put(ctx, t, key, value)
}

func (s *scaleStore) putTargets(sequence uint64) {
	for n := range scaleTargets {
		s.put(serving.TopicTargets, fmt.Sprintf("i%d", n), serving.Target{
			Service: "plain", Address: fmt.Sprintf("10.1.%d.%d:80", n/200, n%200), DataCentre: "a", Sequence: sequence,
		})
	}
}

func newScaleCluster(size int, seed uint64) *scaleCluster {
	c := &scaleCluster{store: new(scaleStore), entries: make(map[string]*scaleEntry)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	rng := rand.New(rand.NewPCG(seed, 1))
	for n := range size {
		c.add(n, rng.Uint64())
	}
	return c
}

func (c *scaleCluster) add(n int, seed uint64) {
	o := testOptions(fmt.Sprintf("entry-%d", n), c.store)
	o.DataCentre = string(rune('a' + n%scaleCentres))
	o.PeerAddr = fmt.Sprintf("10.0.%d.%d:1", n/200, n%200)
	o.CallerAddr = o.PeerAddr
	o.DrainTimeout, o.ConfigApplyTimeout, o.TargetHeartbeatInterval = 5*time.Second, 5*time.Second, scaleHeartbeatInterval
	e := &scaleEntry{cluster: c}
	o.Dial = func(to string) members.PeerClient { return &scalePeerClient{cluster: c, from: e, to: to} }
	e.gw = &Gateway{
		opts: o, state: newReplicaState(&o), callers: new(callers.Server), connPools: newConnPools(0), queues: make(map[string]*placing.AdmissionQueue),
		tracker: placing.NewTracker(o.Name, o.DataCentre, rand.New(rand.NewPCG(seed, 2))),
	}
	e.gw.ctx, e.gw.cancel = context.WithCancel(c.ctx)
	c.entries[o.PeerAddr] = e
	c.addresses = append(c.addresses, o.PeerAddr)
}

// start starts all entries nearly at once, as after a power failure. The configuration and the
// targets are written later, so that the first entries read empty topics.
func (c *scaleCluster) start() {
	for _, address := range c.addresses {
		c.entries[address].start()
		time.Sleep(startSpan / time.Duration(len(c.addresses)))
	}
	go func() {
		sleep(c.ctx, firstRecordsDelay)
		c.store.put(serving.TopicConfig, "config", testConfig())
		for sequence := uint64(1); ; sequence++ {
			c.store.putTargets(sequence)
			if !sleepOr(c.ctx, scaleHeartbeatInterval) {
				return
			}
		}
	}()
}

func sleepOr(ctx context.Context, d time.Duration) bool {
	sleep(ctx, d)
	return ctx.Err() == nil
}

func (e *scaleEntry) start() {
	e.gw.started = time.Now()
	e.gw.slackShare = placing.NewSlackShare(e.gw.opts.RetryBudget.Window, e.gw.started)
	e.gw.crashes = newCrashWatch(e.gw)
	e.gw.cluster = newCluster(e.gw)
	e.gw.state.onEntryRecord = e.gw.cluster.recordEntry
	e.gw.startTasks()
}

func (c *scaleCluster) stop() {
	c.cancel()
	for _, e := range c.entries {
		e.gw.tasks.Wait()
	}
	time.Sleep(5 * time.Second)
}

// scalePeerClient sends requests from one entry to another over a simulated link.
type scalePeerClient struct {
	cluster *scaleCluster
	from    *scaleEntry
	to      string

	isConnected atomic.Bool
}

// Close implements members.PeerClient.
func (c *scalePeerClient) Close() {
	c.isConnected.Store(false)
}

var errNoAnswer = errors.New("entry did not answer")

// Ask implements members.PeerClient.
func (c *scalePeerClient) Ask(_ context.Context, kind peers.Kind, question msgp.Marshaler, answer msgp.Unmarshaler, limit time.Duration) error {
	to := c.cluster.entries[c.to]
	payload, err := question.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if !c.isConnected.Swap(true) {
		c.cluster.dialCount.Add(1)
	}
	if to == nil || to.down.Load() || c.from.down.Load() || to.gw.cluster == nil {
		time.Sleep(limit)
		return errNoAnswer
	}
	delay, isFar := localLinkDelay, to.gw.opts.DataCentre != c.from.gw.opts.DataCentre
	if isFar {
		delay = crossCentreLinkDelay
	}
	time.Sleep(delay)
	handler := to.gw.cluster.membership.HandleProbe
	if kind == peers.KindProbe {
		handler = to.gw.cluster.membership.HandleIndirectProbe
	}
	m, err := handler(payload)
	if err != nil {
		return err
	}
	reply, err := m.MarshalMsg(nil)
	if err != nil {
		return err
	}
	time.Sleep(delay)
	c.cluster.recordCall(len(payload)+len(reply), isFar)
	_, err = answer.UnmarshalMsg(reply)
	return err
}

func (c *scaleCluster) recordCall(bytes int, isFar bool) {
	c.callCount.Add(1)
	c.byteCount.Add(int64(bytes))
	if isFar {
		c.crossCentreCalls.Add(1)
		c.crossCentreBytes.Add(int64(bytes))
	}
}

// scaleCost is the traffic that one entry causes per second; storeCallRate counts the store calls
// of all entries.
type scaleCost struct{ callRate, byteRate, crossCentreByteRate, dialRate, storeCallRate float64 }

// measure returns the cost over a period of time.
func (c *scaleCluster) measure(d time.Duration) scaleCost {
	callCount, byteCount, crossCentreBytes := c.callCount.Load(), c.byteCount.Load(), c.crossCentreBytes.Load()
	dialCount, storeCalls := c.dialCount.Load(), c.store.calls.Load()
	time.Sleep(d)
	entrySeconds := float64(len(c.entries)) * d.Seconds()
	return scaleCost{
		callRate:            float64(c.callCount.Load()-callCount) / entrySeconds,
		byteRate:            float64(c.byteCount.Load()-byteCount) / entrySeconds,
		crossCentreByteRate: float64(c.crossCentreBytes.Load()-crossCentreBytes) / entrySeconds,
		dialRate:            float64(c.dialCount.Load()-dialCount) / entrySeconds,
		storeCallRate:       float64(c.store.calls.Load()-storeCalls) / d.Seconds(),
	}
}

// maxAge returns the greatest replica age of a topic over all entries.
func (c *scaleCluster) maxAge(t serving.Topic) time.Duration {
	var oldest time.Duration
	for _, e := range c.entries {
		oldest = max(oldest, e.gw.state.age(t, time.Now()))
	}
	return oldest
}

// scaleSizes are the fleet sizes to simulate. Sizes beyond a large deployment take minutes:
// go test ./gateway -run Scale -scale 530,1000
var scaleSizes = flag.String("scale", "8,46,149", "comma-separated numbers of entries to simulate")

func forEachScale(t *testing.T, test func(t *testing.T, g *WithT, c *scaleCluster)) {
	forEachSize(t, *scaleSizes, test)
}

func forEachSize(t *testing.T, sizes string, test func(t *testing.T, g *WithT, c *scaleCluster)) {
	for text := range strings.SplitSeq(sizes, ",") {
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			size, err := strconv.Atoi(text)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			synctest.Test(t, func(t *testing.T) { test(t, NewWithT(t), newScaleCluster(size, 1)) })
		})
	}
}

// Guards against entries that each read every topic from the store when all start at once, and
// against membership gossip that fills the links between data centres.
func TestScaleStartOfAllEntriesStaysCheap(t *testing.T) {
	forEachScale(t, func(t *testing.T, g *WithT, c *scaleCluster) {
		c.start()
		cost := c.measure(startSettleTime)
		size := float64(len(c.entries))
		calls := cost.storeCallRate * startSettleTime.Seconds() / size
		bytes, crossCentreBytes := cost.byteRate*startSettleTime.Seconds(), cost.crossCentreByteRate*startSettleTime.Seconds()
		t.Logf("per entry: %.2f store calls, %.0f bytes, %.0f bytes to other data centres", calls, bytes, crossCentreBytes)
		for _, e := range c.entries {
			g.Expect(e.gw.Ready()).To(BeTrue())
			g.Expect(e.gw.cluster.liveCount()).To(Equal(len(c.entries)))
		}
		c.stop()
		g.Expect(calls*size).To(BeNumerically("<=", 1.25*size+2*minEntryRecords), "one read of the entry records per entry, a few record writes and little else")
		g.Expect(bytes).To(BeNumerically("<=", maxStartBytes+maxStartTables*presenceBytes*size))
		if size > largeFleetSize {
			g.Expect(crossCentreBytes).To(BeNumerically("<=", bytes/2))
		}
	})
}

// Limits on the bytes per entry when all entries start, and the sizes that they depend on.
const (
	startSettleTime = 2 * time.Second
	maxStartBytes   = 20e3 // bytes for the configuration, the targets and the first probes
	maxStartTables  = 14   // limit on membership gossip, in multiples of the full membership table: twelve as updates, two as full state
	presenceBytes   = 75
	largeFleetSize  = 16 // number of entries above which an entry does not probe most others right after the start
)

// Guards against idle traffic that grows with the fleet, at each entry and between data centres, and
// against entries that read the store because they learn too late that nothing has changed.
func TestScaleIdleCostDoesNotGrowWithFleet(t *testing.T) {
	forEachScale(t, func(t *testing.T, g *WithT, c *scaleCluster) {
		c.start()
		time.Sleep(startSettleTime)
		cost := c.measure(idleMeasureTime)
		targets, config := c.maxAge(serving.TopicTargets), c.maxAge(serving.TopicConfig)
		t.Logf("per entry and second: %.1f calls, %.0f bytes, %.0f bytes to other data centres, %.1f connections; %.1f store calls of all entries per second", cost.callRate, cost.byteRate, cost.crossCentreByteRate, cost.dialRate, cost.storeCallRate)
		c.stop()
		g.Expect(cost.byteRate).To(BeNumerically("<=", 5000))
		g.Expect(cost.crossCentreByteRate).To(BeNumerically("<=", 1500))
		g.Expect(cost.storeCallRate).To(BeNumerically("<=", 2))
		g.Expect(targets).To(BeNumerically("<=", 5*time.Second))
		g.Expect(config).To(BeNumerically("<=", 5*time.Second))
	})
}

const idleMeasureTime = 6 * time.Second

// Many targets have left in a release. Guards against idle traffic that grows with their number, and
// against entries that do not learn of a target which tells only one of them.
func TestScaleLeavingTargetsStayCheap(t *testing.T) {
	forEachScale(t, func(t *testing.T, g *WithT, c *scaleCluster) {
		c.start()
		time.Sleep(startSettleTime)
		first := c.entries[c.addresses[0]].gw
		for n := range scaleTargets / 4 {
			now := time.Now()
			first.applyLeaving(placing.Leaving{Run: serving.Run{ID: fmt.Sprintf("i%d", n)}, SaidAt: now}, now)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		for _, e := range c.entries {
			for n := range scaleTargets / 4 {
				target := &serving.Target{ID: fmt.Sprintf("i%d", n)}
				g.Expect(e.gw.tracker.Accepts(target, time.Now())).To(BeFalse(), "%s at %s", target.ID, e.gw.opts.Name)
			}
		}
		time.Sleep(5 * time.Second)
		cost := c.measure(idleMeasureTime)
		t.Logf("per entry and second: %.0f bytes", cost.byteRate)
		c.stop()
		g.Expect(cost.byteRate).To(BeNumerically("<=", 5000))
	})
}

// Guards against entries that each read a restored store anew or write their records anew, and against
// a configuration that is in force late in a large fleet.
func TestScaleRestoreOfTheStoreStaysCheap(t *testing.T) {
	forEachScale(t, func(t *testing.T, g *WithT, c *scaleCluster) {
		c.start()
		time.Sleep(2 * startSettleTime)
		copied := c.store.lengths()
		for n := range copied {
			copied[n] /= 2
		}
		c.store.restore(copied)
		config := testConfig()
		config.Version = 12
		c.store.put(serving.TopicConfig, "config", config)
		cost := c.measure(5 * time.Second)
		size := float64(len(c.entries))
		calls := cost.storeCallRate * 5
		t.Logf("%.0f store calls, %.0f bytes per entry", calls, cost.byteRate*5)
		for _, e := range c.entries {
			g.Expect(e.gw.state.snapshot().index.Version).To(Equal(uint64(12)))
			g.Expect(e.gw.state.snapshot().targets["plain"]).To(HaveLen(scaleTargets))
		}
		c.stop()
		g.Expect(calls).To(BeNumerically("<=", 2*minEntryRecords+maxRestoreReads))
		g.Expect(cost.byteRate * 5).To(BeNumerically("<=", maxStartBytes+maxStartTables*presenceBytes*size))
	})
}

// maxRestoreReads is the limit on reads of the store in the seconds after a restore: those of a
// quiet fleet, and a few for each topic.
const maxRestoreReads = 30
