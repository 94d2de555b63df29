package control

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
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

// Timing holds the periods and timeouts of the control plane.
type Timing struct {
	HeartbeatInterval time.Duration // time between two heartbeats
	FailureTimeout    time.Duration // time without a heartbeat after which an observer misses a process
	LogWait           time.Duration // duration of a long poll of the log or of a peer
	Coalesce          time.Duration // shortest mean time between two reads of a source, so that one read returns many records
	Backoff           time.Duration // pause after a failed read; doubles with each further failure, up to MaxBackoff
	MaxBackoff        time.Duration
	LogBackoff        time.Duration // longest pause after failed reads of the log; short, so that the return of the log is noticed soon
	Fresh             time.Duration // a source that last read the log longer ago than this is replaced
	Retry             time.Duration // a fallback source is replaced by the preferred source after this time
	SnapshotInterval  time.Duration // time between two published snapshots; a fraction of the log's retention
	Summaries         time.Duration // time between two summaries to other data centres
	Lease             LeaseTiming
}

// DefaultTiming is the timing of the daemons.
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
	SnapshotInterval:  30 * time.Minute,
	Summaries:         5 * time.Second,
	Lease:             DefaultLeaseTiming,
}

// Options configure a Node.
type Options struct {
	Self        Peer
	Incarnation uint64
	Log         outside.Log
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	Logger      logr.Logger
	Metrics     *metrics.Set
	Timing      Timing
	// Install is called with the current configuration after records were folded, never
	// with an older version than before.
	Install func(*config.Snapshot)
	// Folded is called after Install with the offset of the next record to fold, 0 while a
	// snapshot is needed, and with the losses of the log so far: the offset counts in the history
	// of the log after the latest one.
	Folded func(next uint64, losses LogLosses)
	// Leases is called after a lease has got a new holder.
	Leases func()
	// Status fills in the fields of a status reply that are known only outside of the node.
	Status func(full bool, into *wire.StatusReply)
	// Note handles notes of kinds that the node does not know; it must not block.
	Note func(from string, kind wire.Note, payload []byte) error
	// Drain takes the process out of service, or, with undo, back into service.
	Drain func(undo bool)
}

// Node keeps one entry's configuration, leases and membership up to date.
type Node struct {
	opts      Options
	log       logr.Logger
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     conc.WaitGroup
	leaving   atomic.Bool
	wantAdded chan struct{} // signalled when Want adds a resource

	notifyMu sync.Mutex // ensures that the callbacks get versions in order; locked before mu

	mu             sync.Mutex
	rng            *rand.Rand
	startedAt      time.Time
	heardPeer      bool // a peer has answered, or startGrace has passed
	fold           *config.Fold
	table          *LeaseTable
	behind         bool             // the log may hold more records than the latest read returned
	inForce        *config.Snapshot // never older than before; see putInForce
	history        history
	settling       settling
	cache          recordCache
	saved          savedState
	recordsFolded  chan struct{} // closed and replaced when records were folded
	logReadAt      time.Time     // when this process or its source last read the log to its end
	notifiedFence  uint64        // highest fencing number in the lease table when Options.Leases was last called
	claimer        *Claimer
	members        *Members
	topology       *Topology
	vmListSeen     bool // a VM list has been received
	reportedSilent bool // the latest SilentReport had rows
	conns          map[string]*peerConn
	incoming       map[*wire.Conn]struct{}
	summaries      map[string]wire.Summary // latest summary received from each data centre, by its name
	snapshots      snapshotSchedule
}

// savedState is the saved state of the fold, kept for all peers that request it.
type savedState struct {
	at   config.Position
	data []byte
}

// NewFold returns a fold with all extensions of this build, and its lease table.
func NewFold() (*config.Fold, *LeaseTable) {
	t := NewLeaseTable()
	return config.NewFold(t), t
}

func leaseTableOf(f *config.Fold) *LeaseTable { return f.Extension(RecordLease).(*LeaseTable) }

// New returns a node without state; Start makes it read the log and follow peers.
func New(o Options) *Node {
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming
	}
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	seed := xxhash.Sum64String(o.Self.Name)
	n := &Node{
		rng:           rand.New(rand.NewPCG(seed, o.Incarnation)),
		opts:          o,
		log:           o.Logger.WithName("control"),
		ctx:           ctx,
		cancel:        cancel,
		wantAdded:     make(chan struct{}, 1),
		recordsFolded: make(chan struct{}),
		claimer:       NewClaimer(o.Self.Name, o.Incarnation, o.Timing.Lease),
		members:       NewMembers(o.Self.Name, o.Timing.FailureTimeout),
		topology:      NewTopology(o.Self, nil),
		conns:         make(map[string]*peerConn),
		incoming:      make(map[*wire.Conn]struct{}),
		summaries:     make(map[string]wire.Summary),
		snapshots:     snapshotSchedule{latestSeenAt: now},
		startedAt:     now,
		history:       history{keptAdded: make(chan struct{}, 1)},
	}
	n.fold, n.table = NewFold()
	n.unsettle(now)
	return n
}

// Start starts the tasks of the node and returns at once.
func (n *Node) Start() {
	n.tasks.Go(n.followLog)
	n.tasks.Go(n.followPeers)
	n.tasks.Go(n.sendHeartbeats)
	n.tasks.Go(n.publishSnapshots)
	n.tasks.Go(n.maintainLeases)
	n.tasks.Go(n.writeRecoveries)
	n.tasks.Go(n.endStart)
	n.tasks.Go(n.keepSettled)
}

// Close stops all tasks and closes all connections.
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
	n.tasks.Wait()
}

// SetPeers sets the entries that the platform's VM list names.
func (n *Node) SetPeers(entries []Peer) {
	n.mu.Lock()
	n.topology = NewTopology(n.opts.Self, entries)
	isStarting := n.inForce == nil && !n.vmListSeen
	n.vmListSeen = true
	listed := make(map[string]bool, len(entries))
	for _, p := range entries {
		listed[p.Name] = true
	}
	n.members.Forget(listed, time.Now())
	n.mu.Unlock()
	if isStarting {
		n.notifyFolded() // a node without peers waits for no answer of theirs
	}
}

// SetLeaving sets whether heartbeats announce that this process is leaving.
func (n *Node) SetLeaving(leaving bool) { n.leaving.Store(leaving) }

// Usable reports whether an entry may be named to callers: it is neither down nor leaving
// nor without a configuration, as far as this node knows.
func (n *Node) Usable(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.CanServe(name) && !n.members.IsDown(name, time.Now())
}

// Outcome returns the outcome of a change; false if it is unknown here.
func (n *Node) Outcome(id string) (config.Outcome, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isKept(id) {
		return n.history.kept.Outcome(id)
	}
	return n.fold.Outcome(id)
}

// Floors returns the fencing floors of resources, in the given order.
func (n *Node) Floors(resources []string) []Floor {
	n.mu.Lock()
	defer n.mu.Unlock()
	fences := make(map[string]uint64)
	for _, row := range n.leaseRows() {
		fences[row.Resource] = row.Fence
	}
	floors := make([]Floor, len(resources))
	for i, r := range resources {
		floors[i] = Floor{Resource: r, Fence: fences[r]}
	}
	return floors
}

// Leases returns the latest lease of each resource that this node knows, sorted by resource.
func (n *Node) Leases() []LeaseRow {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaseRows()
}

// leaseRows returns the folded lease table, with the later leases that the log has lost. n.mu is held.
func (n *Node) leaseRows() []LeaseRow {
	rows := n.table.Rows()
	if n.history.kept == nil {
		return rows
	}
	for _, kept := range leaseTableOf(n.history.kept).Rows() {
		i, known := slices.BinarySearchFunc(rows, kept.Resource, func(r LeaseRow, resource string) int { return cmp.Compare(r.Resource, resource) })
		if !known {
			rows = slices.Insert(rows, i, kept)
		} else if kept.Fence > rows[i].Fence {
			rows[i] = kept
		}
	}
	return rows
}

// Entries returns the number of entries in the VM list, this one included.
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

// sleepSpread limits the random part of a sleep to 1/sleepSpread of its duration. Without a
// random part, processes that started together would send and read at the same instants.
const sleepSpread = 8

// sleep waits for about d. It returns false if the node is stopping.
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
