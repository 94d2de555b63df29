// Package control measures what configuration, membership and leases cost a node.
package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/wire"
)

// shape is one case: how many nodes, in how many data centres, and how large the
// configuration is.
type shape struct {
	nodes, centres, teams, targets int
	owned                          int // leased resources in all
}

func (s shape) String() string {
	return fmt.Sprintf("nodes=%d centres=%d teams=%d targets=%d leases=%d", s.nodes, s.centres, s.teams, s.targets, s.owned)
}

// fleet is nodes in one process, joined by TCP over loopback.
type fleet struct {
	shape   shape
	log     *fake.Log
	nodes   []*control.Node
	lns     []net.Listener
	peers   []control.Peer
	metrics *metrics.Set
	traffic []*atomic.Int64 // bytes that each node sent and received
	foreign atomic.Int64    // appends of others
	stop    context.CancelFunc
	logs    atomic.Int64 // bytes between nodes and the log service
	server  *http.Server
	config  *config.Config
	edits   int
	version uint64

	mu      sync.Mutex
	inForce map[uint64][]time.Time // when each node installed a version
}

// countedConn counts what one side sends and receives.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countedListener counts on the connections that it accepts.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{nc, l.bytes}, nil
}

func startFleet(s shape) (*fleet, error) {
	f := &fleet{
		shape:   s,
		log:     fake.NewLog(),
		metrics: metrics.New(),
		inForce: make(map[uint64][]time.Time),
		config:  configuration(s),
	}
	if err := f.serveLog(); err != nil {
		return nil, err
	}
	for i := range s.nodes {
		f.traffic = append(f.traffic, new(atomic.Int64))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.close()
			return nil, fmt.Errorf("listen: %w", err)
		}
		f.lns = append(f.lns, &countedListener{ln, f.traffic[i]})
		dc := fmt.Sprintf("dc-%02d", i%s.centres)
		f.peers = append(f.peers, control.Peer{Name: fmt.Sprintf("node-%03d", i), Address: ln.Addr().String(), DataCentre: dc, Region: "r-" + dc[3:4]})
	}
	for i := range s.nodes {
		f.startNode(i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go f.ghosts(ctx)
	return f, nil
}

// serveLog serves the log over HTTP, as nodes reach the platform's.
func (f *fleet) serveLog() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	f.server = &http.Server{
		Addr:              ln.Addr().String(),
		Handler:           fake.PlatformHandler(f.log, fake.NewVMList(0)),
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = f.server.Serve(&countedListener{ln, &f.logs}) }() // ends with close
	return nil
}

// Records that the log carries at the coming size beside this fleet's own.
const (
	renewEvery    = 10 * time.Second
	ghostHolders  = 34  // groups, each held by another node
	presenceRate  = 5.3 // a second: 410 entries every 2 min, 1,100 agents every 10 min
	presenceBytes = 64
)

func resourceName(i int) string { return fmt.Sprint("group/", i) }

// owners returns for each leased resource the node that ranks first for it and so
// claims it without waiting for others.
func (f *fleet) owners() []int {
	var names []string
	for _, p := range f.peers {
		names = append(names, p.Name)
	}
	owners := make([]int, f.shape.owned)
	for i := range owners {
		owners[i] = slices.Index(names, control.Rank(resourceName(i), names)[0])
	}
	return owners
}

// ghosts appends what holders and processes outside of this fleet would, so that a
// few nodes see the log of the coming size.
func (f *fleet) ghosts(ctx context.Context) {
	distinct := make(map[int]bool)
	for _, owner := range f.owners() {
		distinct[owner] = true
	}
	holders := max(0, ghostHolders-len(distinct))
	rate := float64(holders)/renewEvery.Seconds() + presenceRate
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	share := presenceRate / rate
	sum, term := 0.0, uint64(0)
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if sum += share; sum >= 1 {
			sum--
			f.put(ctx, config.RecordPresence, &config.Part{Data: make([]byte, presenceBytes)})
			continue
		}
		f.put(ctx, control.RecordLease, &control.LeaseBatch{Holder: "ghost-000", Incarnation: 1, SpanMs: 30000,
			Claims: []control.LeaseClaim{{Resource: "group/ghost-000", Term: term}}})
		term++
	}
}

func (f *fleet) put(ctx context.Context, kind string, msg interface{ MarshalMsg([]byte) ([]byte, error) }) {
	raw, err := config.NewRecord(kind, msg)
	if err == nil {
		_, _ = f.log.Append(ctx, [][]byte{raw}) // the stand-in fails only when it is told to
		f.foreign.Add(1)
	}
}

func (f *fleet) startNode(i int) {
	var d net.Dialer
	var held uint64
	n := control.New(control.Options{
		Self:        f.peers[i],
		Incarnation: uint64(i + 1),
		Log:         &outside.HTTPLog{Addr: f.server.Addr},
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			nc, err := d.DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{nc, f.traffic[i]}, nil
		},
		Logger:  logr.Discard(),
		Metrics: f.metrics,
		Install: func(s *config.Snapshot) {
			if s.Version == held {
				return
			}
			held = s.Version
			f.mu.Lock()
			defer f.mu.Unlock()
			f.inForce[s.Version] = append(f.inForce[s.Version], time.Now())
		},
	})
	f.nodes = append(f.nodes, n)
	acceptor := wire.Acceptor{
		Listener: f.lns[i],
		Hello:    wire.Hello{Name: f.peers[i].Name, Role: wire.RoleEntry, Incarnation: uint64(i + 1), DataCentre: f.peers[i].DataCentre},
		Handler:  n,
		Serve:    n.Accept,
	}
	go acceptor.Run() // ends when the listener is closed
	n.SetPeers(f.peers)
	n.Start()
}

func (f *fleet) close() {
	if f.stop != nil {
		f.stop()
	}
	_ = f.server.Close()
	for _, n := range f.nodes {
		n.Close()
	}
	for _, ln := range f.lns {
		_ = ln.Close()
	}
}

// configuration returns one of the shape's size.
func configuration(s shape) *config.Config {
	c := &config.Config{
		Fleets:   []config.Fleet{{Name: "engines", Kind: "engine"}},
		Services: []config.Service{{Name: "drafter", Fleet: "engines", Model: "m", Policy: config.DefaultPolicy}},
		Policies: []config.Policy{{Name: config.DefaultPolicy, Deadline: time.Minute}},
	}
	for i := range s.targets {
		c.Targets = append(c.Targets, config.Target{Name: fmt.Sprintf("engine-%04d", i), Fleet: "engines", DataCentre: fmt.Sprintf("dc-%02d", i%s.centres)})
	}
	for i := range s.teams {
		c.Teams = append(c.Teams, config.Team{
			Name:      fmt.Sprintf("team-%05d", i),
			KeyHashes: []string{config.HashKey(fmt.Sprint("key-", i))},
			Services:  []string{"drafter"},
			Weight:    100,
		})
	}
	return c
}

// change applies one small edit: one team's weight.
func (f *fleet) change(ctx context.Context) (uint64, time.Time, error) {
	next := *f.config
	var old *config.Config
	if f.version > 0 {
		old = f.config
		next.Teams = append([]config.Team(nil), f.config.Teams...)
		f.edits++
		next.Teams[f.edits%len(next.Teams)].Weight = 100 + f.edits
	}
	ch := &config.Change{ID: control.NewChangeID(), Base: f.version, Digest: config.Digest(&next), Delta: config.NewDelta(old, &next)}
	records, err := config.ChangeRecords(ch)
	if err != nil {
		return 0, time.Time{}, err
	}
	for _, r := range records {
		if _, err := f.log.Append(ctx, [][]byte{r}); err != nil {
			return 0, time.Time{}, fmt.Errorf("append: %w", err)
		}
	}
	f.config = &next
	f.version++
	return f.version, time.Now(), nil
}

const (
	inForceLimit = 30 * time.Second
	inForcePoll  = 5 * time.Millisecond
)

// awaitInForce returns when all nodes have a version, and when the last one got it.
func (f *fleet) awaitInForce(version uint64) (time.Time, error) {
	end := time.Now().Add(inForceLimit)
	for time.Now().Before(end) {
		f.mu.Lock()
		at := f.inForce[version]
		f.mu.Unlock()
		if len(at) >= len(f.nodes) {
			last := at[0]
			for _, t := range at {
				if t.After(last) {
					last = t
				}
			}
			return last, nil
		}
		time.Sleep(inForcePoll)
	}
	return time.Time{}, fmt.Errorf("%s: version %d is not in force at all nodes after %s", f.shape, version, inForceLimit)
}
