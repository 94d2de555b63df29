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

// scaleFleet is many entries in virtual time, with their duties towards the store and each other.
// Links are times only; nobody calls and no target answers.
type scaleFleet struct {
	store   *scaleStore
	entries map[string]*scaleEntry // by address
	names   []string
	ctx     context.Context
	cancel  context.CancelFunc

	asked, far   atomic.Int64 // questions; those between data centres
	bytes, farBy atomic.Int64 // of questions and answers; between data centres
	dialled      atomic.Int64
}

type scaleEntry struct {
	f    *scaleFleet
	gw   *Gateway
	down atomic.Bool
}

// Shape of the emulated fleet.
const (
	scaleCentres = 3
	scaleTargets = 600 // more than one page of the store's answers
	scalePage    = 500
	scaleBeat    = 5 * time.Second
	nearLink     = 300 * time.Microsecond
	farLink      = time.Millisecond
	storeAnswer  = 4 * time.Millisecond
	startWithin  = 20 * time.Millisecond
	lateRecords  = 600 * time.Millisecond // after all entries have started
)

// scaleStore counts calls.
type scaleStore struct {
	memStore
	calls atomic.Int64
}

// Newest implements serving.Store.
func (s *scaleStore) Newest(ctx context.Context, t serving.Topic) ([]serving.Record, uint64, error) {
	records, end, err := s.memStore.Newest(ctx, t)
	s.calls.Add(int64(1 + len(records)/scalePage))
	time.Sleep(storeAnswer)
	return records, end, err
}

// Changes implements serving.Store.
func (s *scaleStore) Changes(ctx context.Context, t serving.Topic, from uint64, wait time.Duration) ([]serving.Record, uint64, error) {
	s.calls.Add(1)
	time.Sleep(storeAnswer)
	return s.memStore.Changes(ctx, t, from, wait)
}

// Put implements serving.Store.
func (s *scaleStore) Put(ctx context.Context, t serving.Topic, key string, value []byte) error {
	s.calls.Add(1)
	time.Sleep(storeAnswer)
	return s.memStore.Put(ctx, t, key, value)
}

func (s *scaleStore) putTargets(sequence uint64) {
	for n := range scaleTargets {
		s.put(serving.TopicTargets, fmt.Sprintf("i%d", n), serving.Target{
			Service: "plain", Address: fmt.Sprintf("10.1.%d.%d:80", n/200, n%200), DataCentre: "a", Sequence: sequence,
		})
	}
}

func newScaleFleet(size int, seed uint64) *scaleFleet {
	f := &scaleFleet{store: new(scaleStore), entries: make(map[string]*scaleEntry)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	rng := rand.New(rand.NewPCG(seed, 1))
	for n := range size {
		f.add(n, rng.Uint64())
	}
	return f
}

func (f *scaleFleet) add(n int, seed uint64) {
	o := testOptions(fmt.Sprintf("entry-%d", n), f.store)
	o.DataCentre = string(rune('a' + n%scaleCentres))
	o.PeerAddr = fmt.Sprintf("10.0.%d.%d:1", n/200, n%200)
	o.CallerAddr = o.PeerAddr
	o.DrainTimeout, o.ConfigApplyTimeout, o.TargetHeartbeatInterval = 5*time.Second, 5*time.Second, scaleBeat
	e := &scaleEntry{f: f}
	o.Dial = func(to string) members.PeerClient { return &scaleAsker{f: f, from: e, to: to} }
	e.gw = &Gateway{
		opts: o, knowledge: newKnowledge(&o), pools: newPools(), gates: make(map[string]*placing.AdmissionQueue),
		book: placing.NewTracker(o.Name, o.DataCentre, rand.New(rand.NewPCG(seed, 2))),
	}
	e.gw.ctx, e.gw.cancel = context.WithCancel(f.ctx)
	f.entries[o.PeerAddr] = e
	f.names = append(f.names, o.PeerAddr)
}

// start starts all entries nearly at once, as after a loss of power; the configuration and the targets come after
// that, so that the first entries read topics without records.
func (f *scaleFleet) start() {
	for _, address := range f.names {
		f.entries[address].start()
		time.Sleep(startWithin / time.Duration(len(f.names)))
	}
	go func() {
		sleep(f.ctx, lateRecords)
		f.store.put(serving.TopicConfig, "config", testConfig())
		for sequence := uint64(1); ; sequence++ {
			f.store.putTargets(sequence)
			if !sleepOr(f.ctx, scaleBeat) {
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
	e.gw.mesh = newMesh(e.gw)
	e.gw.knowledge.met = e.gw.mesh.read
	e.gw.startDuties()
}

func (f *scaleFleet) stop() {
	f.cancel()
	for _, e := range f.entries {
		e.gw.tasks.Wait()
	}
	time.Sleep(5 * time.Second)
}

// scaleAsker asks one entry from another.
type scaleAsker struct {
	f    *scaleFleet
	from *scaleEntry
	to   string

	linked atomic.Bool
}

// Close implements members.PeerClient.
func (a *scaleAsker) Close() {
	a.linked.Store(false)
}

var errNoEntry = errors.New("no answer")

// Ask implements members.PeerClient.
func (a *scaleAsker) Ask(_ context.Context, kind peers.Kind, question msgp.Marshaler, answer msgp.Unmarshaler, limit time.Duration) error {
	to := a.f.entries[a.to]
	payload, err := question.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if !a.linked.Swap(true) {
		a.f.dialled.Add(1)
	}
	if to == nil || to.down.Load() || a.from.down.Load() || to.gw.mesh == nil {
		time.Sleep(limit)
		return errNoEntry
	}
	way, isFar := nearLink, to.gw.opts.DataCentre != a.from.gw.opts.DataCentre
	if isFar {
		way = farLink
	}
	time.Sleep(way)
	handler := to.gw.mesh.group.HandleProbe
	if kind == peers.KindProbe {
		handler = to.gw.mesh.group.HandleIndirectProbe
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
	a.f.count(len(payload)+len(text), isFar)
	_, err = answer.UnmarshalMsg(text)
	return err
}

func (f *scaleFleet) count(bytes int, isFar bool) {
	f.asked.Add(1)
	f.bytes.Add(int64(bytes))
	if isFar {
		f.far.Add(1)
		f.farBy.Add(int64(bytes))
	}
}

// scaleCost is what an entry causes in a second.
type scaleCost struct{ asked, bytes, farBytes, dialled, calls float64 }

// during returns what entries cause while time passes.
func (f *scaleFleet) during(d time.Duration) scaleCost {
	asked, bytes, farBytes := f.asked.Load(), f.bytes.Load(), f.farBy.Load()
	dialled, calls := f.dialled.Load(), f.store.calls.Load()
	time.Sleep(d)
	each := float64(len(f.entries)) * d.Seconds()
	return scaleCost{
		asked:    float64(f.asked.Load()-asked) / each,
		bytes:    float64(f.bytes.Load()-bytes) / each,
		farBytes: float64(f.farBy.Load()-farBytes) / each,
		dialled:  float64(f.dialled.Load()-dialled) / each,
		calls:    float64(f.store.calls.Load()-calls) / d.Seconds(),
	}
}

// oldest returns the greatest age of a topic at any entry.
func (f *scaleFleet) oldest(t serving.Topic) time.Duration {
	var oldest time.Duration
	for _, e := range f.entries {
		oldest = max(oldest, e.gw.knowledge.age(t, time.Now()))
	}
	return oldest
}

// scaleSizes are numbers of entries. Those beyond a large deployment take minutes:
// go test ./gateway -run Scale -scale 530,1000
var scaleSizes = flag.String("scale", "8,46,149", "numbers of entries to play")

func eachScale(t *testing.T, play func(t *testing.T, g *WithT, f *scaleFleet)) {
	for text := range strings.SplitSeq(*scaleSizes, ",") {
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			size, err := strconv.Atoi(text)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			synctest.Test(t, func(t *testing.T) { play(t, NewWithT(t), newScaleFleet(size, 1)) })
		})
	}
}

// Guards against a start of all entries that each pay for with a call to the store for every topic,
// and against news of who has started that fill the links between data centres.
func TestAStartOfAllEntriesCostsEachOfThemLittle(t *testing.T) {
	eachScale(t, func(t *testing.T, g *WithT, f *scaleFleet) {
		f.start()
		cost := f.during(startSettles)
		size := float64(len(f.entries))
		calls := cost.calls * startSettles.Seconds() / size
		bytes, farBytes := cost.bytes*startSettles.Seconds(), cost.farBytes*startSettles.Seconds()
		t.Logf("an entry: %.2f calls to the store, %.0f bytes, %.0f to other data centres", calls, bytes, farBytes)
		for _, e := range f.entries {
			g.Expect(e.gw.Ready()).To(BeTrue())
			g.Expect(e.gw.mesh.entries()).To(Equal(len(f.entries)))
		}
		f.stop()
		g.Expect(calls*size).To(BeNumerically("<=", 1.25*size+2*recordsWanted), "which others there are, a few records, and little else")
		g.Expect(bytes).To(BeNumerically("<=", startBytes+startTables*presenceBytes*size))
		if size > startCrowd {
			g.Expect(farBytes).To(BeNumerically("<=", bytes/2))
		}
	})
}

// What a start may cost an entry.
const (
	startSettles  = 2 * time.Second
	startBytes    = 20e3 // the configuration and the targets, and the first questions
	startTables   = 14   // times what one entry tells of all others: twelve as news, two as a whole
	presenceBytes = 75
	startCrowd    = 16 // entries from which on most others are not asked in the first moment
)

// Guards against costs in calm that grow with the fleet, at each entry and between data centres, and
// against entries that hear too late that nothing has changed and read the store themselves.
func TestCalmCostsAnEntryTheSameInAFleetOfAnySize(t *testing.T) {
	eachScale(t, func(t *testing.T, g *WithT, f *scaleFleet) {
		f.start()
		time.Sleep(startSettles)
		cost := f.during(calmTime)
		targets, config := f.oldest(serving.TopicTargets), f.oldest(serving.TopicConfig)
		t.Logf("an entry: %.1f questions, %.0f bytes, %.0f to other data centres, %.1f connections a second; %.1f calls of all", cost.asked, cost.bytes, cost.farBytes, cost.dialled, cost.calls)
		f.stop()
		g.Expect(cost.bytes).To(BeNumerically("<=", 5000))
		g.Expect(cost.farBytes).To(BeNumerically("<=", 1500))
		g.Expect(cost.calls).To(BeNumerically("<=", 2))
		g.Expect(targets).To(BeNumerically("<=", 5*time.Second))
		g.Expect(config).To(BeNumerically("<=", 5*time.Second))
	})
}

const calmTime = 6 * time.Second
