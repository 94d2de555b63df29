package control

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/wire"
)

// Timing holds the periods of control.
type Timing struct {
	HeartbeatInterval time.Duration // between heartbeats
	FailureTimeout    time.Duration // after which a witness misses a process
	LogWait           time.Duration // long poll of the log and of peers
	Coalesce          time.Duration // between two reads at least, so that many records cost one
	Backoff           time.Duration // after a failed source, doubled up to MaxBackoff
	MaxBackoff        time.Duration
	LogBackoff        time.Duration // bound for the log: its return should show soon
	Fresh             time.Duration // a source that read the log longer ago is left
	Retry             time.Duration // how long a fallback source is kept
	Snapshots         time.Duration // between published snapshots; a fraction of the retention
	Summaries         time.Duration // between summaries to other data centres
	Lease             LeaseTiming
}

// DefaultTiming is what the daemons use.
var DefaultTiming = Timing{
	HeartbeatInterval: time.Second,
	FailureTimeout:    DefaultFailureTimeout,
	LogWait:           5 * time.Second,
	Coalesce:          time.Second,
	Backoff:           200 * time.Millisecond,
	MaxBackoff:        2 * time.Second,
	LogBackoff:        500 * time.Millisecond,
	Fresh:             12 * time.Second,
	Retry:             20 * time.Second,
	Snapshots:         30 * time.Minute,
	Summaries:         5 * time.Second,
	Lease:             DefaultLeaseTiming,
}

// Options are what a Node needs.
type Options struct {
	Self        Peer
	Incarnation uint64
	Log         outside.Log
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	Logger      logr.Logger
	Metrics     *metrics.Set
	Timing      Timing
	// Install is called with each new version, in order, never with an older one.
	Install func(*config.Snapshot)
	// Folded is called with the offset up to which records were folded, after Install.
	Folded func(next uint64)
	// Leases is called after the lease table changed hands.
	Leases func()
	// Status fills in what the owner of the node knows.
	Status func(full bool, into *wire.StatusReply)
	// Note takes notes of kinds that the node does not know; it must not block.
	Note func(from string, kind wire.Note, payload []byte) error
	// Drain takes the process out of service.
	Drain func(undo bool)
}

// Node keeps one entry's configuration, leases and membership up to date.
type Node struct {
	opts    Options
	log     logr.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	duties  conc.WaitGroup
	leaving atomic.Bool
	changed chan struct{} // something is wanted for the first time

	installing sync.Mutex // taken before mu

	mu         sync.Mutex
	rng        *rand.Rand
	fold       *config.Fold
	table      *LeaseTable
	relay      relay
	saved      savedState
	wake       chan struct{} // closed when records were folded
	freshAt    time.Time     // when this process or its source last read the log
	fences     uint64        // highest fence that Leases was called for
	claimer    *Claimer
	members    *Members
	topology   *Topology
	listed     bool // a VM list was seen
	toldSilent bool // the latest SilentReport named somebody
	conns      map[string]*peerConn
	incoming   map[*wire.Conn]struct{}
	summaries  map[string]wire.Summary // by data centre
	snapshot   snapshotClock
}

// savedState is a saved fold that newcomers share.
type savedState struct {
	next uint64
	data []byte
}

// NewFold returns a fold with all extensions of this build, and its lease table.
func NewFold() (*config.Fold, *LeaseTable) {
	t := NewLeaseTable()
	return config.NewFold(t), t
}

// New returns a node that knows nothing yet; Start makes it follow.
func New(o Options) *Node {
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming
	}
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	seed := xxhash.Sum64String(o.Self.Name)
	n := &Node{
		rng:       rand.New(rand.NewPCG(seed, o.Incarnation)),
		opts:      o,
		log:       o.Logger.WithName("control"),
		ctx:       ctx,
		cancel:    cancel,
		changed:   make(chan struct{}, 1),
		wake:      make(chan struct{}),
		claimer:   NewClaimer(o.Self.Name, o.Incarnation, o.Timing.Lease),
		members:   NewMembers(o.Self.Name, o.Timing.FailureTimeout),
		topology:  NewTopology(o.Self, nil),
		conns:     make(map[string]*peerConn),
		incoming:  make(map[*wire.Conn]struct{}),
		summaries: make(map[string]wire.Summary),
		snapshot:  snapshotClock{seenAt: now},
	}
	n.fold, n.table = NewFold()
	return n
}

// Start begins to follow and returns at once.
func (n *Node) Start() {
	n.duties.Go(n.followLog)
	n.duties.Go(n.followPeers)
	n.duties.Go(n.beat)
	n.duties.Go(n.publish)
	n.duties.Go(n.lease)
}

// Close stops all duties.
func (n *Node) Close() {
	n.cancel()
	n.mu.Lock()
	var conns []*wire.Conn
	for _, p := range n.conns {
		if p.conn != nil {
			conns = append(conns, p.conn)
		}
	}
	for c := range n.incoming {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
	n.duties.Wait()
}

// SetPeers takes the entries of the platform's list.
func (n *Node) SetPeers(entries []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.topology = NewTopology(n.opts.Self, entries)
	n.listed = true
	listed := make(map[string]bool, len(entries))
	for _, p := range entries {
		listed[p.Name] = true
	}
	n.members.Forget(listed, time.Now())
}

// SetLeaving says in heartbeats that this process leaves.
func (n *Node) SetLeaving(leaving bool) { n.leaving.Store(leaving) }

// Usable reports whether an entry may be named to callers, as far as is known here.
func (n *Node) Usable(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.CanServe(name) && !n.members.IsDown(name, time.Now())
}

// Outcome returns what became of a change.
func (n *Node) Outcome(id string) (config.Outcome, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fold.Outcome(id)
}

// Floors returns the fencing floors of resources.
func (n *Node) Floors(resources []string) []Floor {
	n.mu.Lock()
	defer n.mu.Unlock()
	floors := make([]Floor, len(resources))
	for i, r := range resources {
		floors[i] = Floor{Resource: r, Fence: n.table.Row(r).Fence}
	}
	return floors
}

// Leases returns the folded lease table, sorted by resource.
func (n *Node) Leases() []LeaseRow {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Rows()
}

// Entries returns how many entries the VM list shows, this one included.
func (n *Node) Entries() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.topology.Peers) + 1
}

func (n *Node) hello() wire.Hello {
	return wire.Hello{
		Name:        n.opts.Self.Name,
		Role:        wire.RoleEntry,
		Incarnation: n.opts.Incarnation,
		DataCentre:  n.opts.Self.DataCentre,
	}
}

// sleepSpread is the part of a sleep that is random: processes that started
// together would otherwise send and ask at the same instants for ever.
const sleepSpread = 8

// sleep waits for about d; false means that the node stops.
func (n *Node) sleep(d time.Duration) bool {
	if d <= 0 {
		return n.ctx.Err() == nil
	}
	n.mu.Lock()
	d += time.Duration(n.rng.Int64N(int64(d)/sleepSpread + 1))
	n.mu.Unlock()
	select {
	case <-time.After(d):
		return true
	case <-n.ctx.Done():
		return false
	}
}
