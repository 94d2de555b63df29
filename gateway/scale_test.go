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

	"github.com/heatherrail/heatherrail/members"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
)

// scaleCluster is many entries in virtual time, with their duties towards the store and each other.
// Links are times only; nobody calls and no target answers.
type scaleCluster struct {
	store     *scaleStore
	entries   map[string]*scaleEntry // by address
	addresses []string
	ctx       context.Context
	cancel    context.CancelFunc

	callCount, crossCentreCalls atomic.Int64 // questions; those between data centres
	byteCount, crossCentreBytes atomic.Int64 // of questions and answers; between data centres
	dialCount                   atomic.Int64
}

type scaleEntry struct {
	cluster *scaleCluster
	gw      *Gateway
	down    atomic.Bool
}

// Shape of the emulated fleet.
const (
	scaleCentres           = 3
	scaleTargets           = 600 // more than one page of the store's answers
	scalePageRecords       = 500
	scaleHeartbeatInterval = 5 * time.Second
	localLinkDelay         = 300 * time.Microsecond
	crossCentreLinkDelay   = time.Millisecond
	storeDelay             = 4 * time.Millisecond
	startSpan              = 20 * time.Millisecond
	firstRecordsDelay      = 600 * time.Millisecond // after all entries have started
)

// scaleStore counts calls.
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
	f := &scaleCluster{store: new(scaleStore), entries: make(map[string]*scaleEntry)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	rng := rand.New(rand.NewPCG(seed, 1))
	for n := range size {
		f.add(n, rng.Uint64())
	}
	return f
}

func (c *scaleCluster) add(n int, seed uint64) {
	o := testOptions(fmt.Sprintf("entry-%d", n), c.store)
	o.DataCentre = string(rune('a' + n%scaleCentres))
	o.PeerAddr = fmt.Sprintf("10.0.%d.%d:1", n/200, n%200)
	o.CallerAddr = o.PeerAddr
	o.DrainTimeout, o.ConfigApplyTimeout, o.TargetHeartbeatInterval = 5*time.Second, 5*time.Second, scaleHeartbeatInterval
	e := &scaleEntry{cluster: c}
	o.Dial = func(to string) members.PeerClient { return &scaleAsker{cluster: c, from: e, to: to} }
	e.gw = &Gateway{
		opts: o, state: newReplicaState(&o), connPools: newConnPools(), queues: make(map[string]*placing.AdmissionQueue),
		tracker: placing.NewTracker(o.Name, o.DataCentre, rand.New(rand.NewPCG(seed, 2))),
	}
	e.gw.ctx, e.gw.cancel = context.WithCancel(c.ctx)
	c.entries[o.PeerAddr] = e
	c.addresses = append(c.addresses, o.PeerAddr)
}

// start starts all entries nearly at once, as after a loss of power; the configuration and the targets come after
// that, so that the first entries read topics without records.
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

// scaleAsker asks one entry from another.
type scaleAsker struct {
	cluster *scaleCluster
	from    *scaleEntry
	to      string

	isConnected atomic.Bool
}

// Close implements members.PeerClient.
func (a *scaleAsker) Close() {
	a.isConnected.Store(false)
}

var errNoAnswer = errors.New("no answer")

// Ask implements members.PeerClient.
func (a *scaleAsker) Ask(_ context.Context, kind peers.Kind, question msgp.Marshaler, answer msgp.Unmarshaler, limit time.Duration) error {
	to := a.cluster.entries[a.to]
	payload, err := question.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if !a.isConnected.Swap(true) {
		a.cluster.dialCount.Add(1)
	}
	if to == nil || to.down.Load() || a.from.down.Load() || to.gw.cluster == nil {
		time.Sleep(limit)
		return errNoAnswer
	}
	way, isFar := localLinkDelay, to.gw.opts.DataCentre != a.from.gw.opts.DataCentre
	if isFar {
		way = crossCentreLinkDelay
	}
	time.Sleep(way)
	handler := to.gw.cluster.membership.HandleProbe
	if kind == peers.KindProbe {
		handler = to.gw.cluster.membership.HandleIndirectProbe
	}
	m, err := handler(payload)
	if err != nil {
		return err
	}
	text, err := m.MarshalMsg(nil)
	if err != nil {
		return err
	}
	time.Sleep(way)
	a.cluster.recordCall(len(payload)+len(text), isFar)
	_, err = answer.UnmarshalMsg(text)
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

// scaleCost is what an entry causes in a second.
type scaleCost struct{ callRate, byteRate, crossCentreByteRate, dialRate, storeCallRate float64 }

// measure returns what entries cause while time passes.
func (c *scaleCluster) measure(d time.Duration) scaleCost {
	asked, bytes, farBytes := c.callCount.Load(), c.byteCount.Load(), c.crossCentreBytes.Load()
	dialled, calls := c.dialCount.Load(), c.store.calls.Load()
	time.Sleep(d)
	each := float64(len(c.entries)) * d.Seconds()
	return scaleCost{
		callRate:            float64(c.callCount.Load()-asked) / each,
		byteRate:            float64(c.byteCount.Load()-bytes) / each,
		crossCentreByteRate: float64(c.crossCentreBytes.Load()-farBytes) / each,
		dialRate:            float64(c.dialCount.Load()-dialled) / each,
		storeCallRate:       float64(c.store.calls.Load()-calls) / d.Seconds(),
	}
}

// maxAge returns the greatest age of a topic at any entry.
func (c *scaleCluster) maxAge(t serving.Topic) time.Duration {
	var oldest time.Duration
	for _, e := range c.entries {
		oldest = max(oldest, e.gw.state.age(t, time.Now()))
	}
	return oldest
}

// scaleSizes are numbers of entries. Those beyond a large deployment take minutes:
// go test ./gateway -run Scale -scale 530,1000
var scaleSizes = flag.String("scale", "8,46,149", "numbers of entries to play")

func forEachScale(t *testing.T, play func(t *testing.T, g *WithT, f *scaleCluster)) {
	for text := range strings.SplitSeq(*scaleSizes, ",") {
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			size, err := strconv.Atoi(text)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			synctest.Test(t, func(t *testing.T) { play(t, NewWithT(t), newScaleCluster(size, 1)) })
		})
	}
}

// Guards against a start of all entries that each pay for with a call to the store for every topic,
// and against news of who has started that fill the links between data centres.
func TestAStartOfAllEntriesCostsEachOfThemLittle(t *testing.T) {
	forEachScale(t, func(t *testing.T, g *WithT, f *scaleCluster) {
		f.start()
		cost := f.measure(startSettleTime)
		size := float64(len(f.entries))
		calls := cost.storeCallRate * startSettleTime.Seconds() / size
		bytes, farBytes := cost.byteRate*startSettleTime.Seconds(), cost.crossCentreByteRate*startSettleTime.Seconds()
		t.Logf("an entry: %.2f calls to the store, %.0f bytes, %.0f to other data centres", calls, bytes, farBytes)
		for _, e := range f.entries {
			g.Expect(e.gw.Ready()).To(BeTrue())
			g.Expect(e.gw.cluster.liveCount()).To(Equal(len(f.entries)))
		}
		f.stop()
		g.Expect(calls*size).To(BeNumerically("<=", 1.25*size+2*minEntryRecords), "which others there are, a few records, and little else")
		g.Expect(bytes).To(BeNumerically("<=", maxStartBytes+maxStartTables*presenceBytes*size))
		if size > largeFleetSize {
			g.Expect(farBytes).To(BeNumerically("<=", bytes/2))
		}
	})
}

// What a start may cost an entry.
const (
	startSettleTime = 2 * time.Second
	maxStartBytes   = 20e3 // the configuration and the targets, and the first questions
	maxStartTables  = 14   // times what one entry tells of all others: twelve as news, two as a whole
	presenceBytes   = 75
	largeFleetSize  = 16 // entries from which on most others are not asked in the first moment
)

// Guards against costs in calm that grow with the fleet, at each entry and between data centres, and
// against entries that hear too late that nothing has changed and read the store themselves.
func TestCalmCostsAnEntryTheSameInAFleetOfAnySize(t *testing.T) {
	forEachScale(t, func(t *testing.T, g *WithT, f *scaleCluster) {
		f.start()
		time.Sleep(startSettleTime)
		cost := f.measure(idleMeasureTime)
		targets, config := f.maxAge(serving.TopicTargets), f.maxAge(serving.TopicConfig)
		t.Logf("an entry: %.1f questions, %.0f bytes, %.0f to other data centres, %.1f connections a second; %.1f calls of all", cost.callRate, cost.byteRate, cost.crossCentreByteRate, cost.dialRate, cost.storeCallRate)
		f.stop()
		g.Expect(cost.byteRate).To(BeNumerically("<=", 5000))
		g.Expect(cost.crossCentreByteRate).To(BeNumerically("<=", 1500))
		g.Expect(cost.storeCallRate).To(BeNumerically("<=", 2))
		g.Expect(targets).To(BeNumerically("<=", 5*time.Second))
		g.Expect(config).To(BeNumerically("<=", 5*time.Second))
	})
}

const idleMeasureTime = 6 * time.Second
