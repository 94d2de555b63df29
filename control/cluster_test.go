package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/wire"
)

// logEndpoint is the name of the log service in downLinks.
const logEndpoint = "log"

// cluster is a set of nodes on a network of pipes. It runs inside a synctest bubble.
type cluster struct {
	t   *testing.T
	log *fake.Log

	timing Timing

	mu          sync.Mutex
	nodes       map[string]*Node
	peers       map[string]Peer
	downLinks   map[[2]string]bool // (from, to) pairs whose bytes are lost
	incarnation uint64
	downgraded  []string // processes that installed an older version after a newer one

	onInstall func(name string, s *config.Snapshot) // called with each installed configuration

	bytesSent, logCalls atomic.Int64
}

func newCluster(t *testing.T, centres map[string]int) *cluster {
	c := &cluster{t: t, log: fake.NewLog(), timing: DefaultTiming, nodes: make(map[string]*Node), peers: make(map[string]Peer), downLinks: make(map[[2]string]bool)}
	for dc, n := range centres {
		for i := range n {
			name := fmt.Sprintf("%s-%d", dc, i)
			c.peers[name] = Peer{Name: name, Address: name, DataCentre: dc}
		}
	}
	return c
}

func (c *cluster) startAll() {
	for name := range c.peers {
		c.start(name)
	}
}

// start starts a node, or a new incarnation of it without state.
func (c *cluster) start(name string) *Node {
	c.mu.Lock()
	c.incarnation++
	inc, installed := c.incarnation, uint64(0)
	c.mu.Unlock()
	n := New(Options{
		Self:        c.peers[name],
		Incarnation: inc,
		Log:         &linkedLog{c, name},
		Dial:        func(ctx context.Context, addr string) (net.Conn, error) { return c.dial(ctx, name, addr) },
		Logger:      logr.Discard(),
		Metrics:     metrics.New(),
		Timing:      c.timing,
		Install: func(s *config.Snapshot) {
			if s.Version < installed {
				c.mu.Lock()
				c.downgraded = append(c.downgraded, name)
				c.mu.Unlock()
			}
			installed = s.Version
			if c.onInstall != nil {
				c.onInstall(name, s)
			}
		},
	})
	c.mu.Lock()
	c.nodes[name] = n
	var list []Peer
	for _, p := range c.peers {
		list = append(list, p)
	}
	c.mu.Unlock()
	n.SetPeers(list)
	n.Start()
	return n
}

func (c *cluster) stop(name string) {
	c.mu.Lock()
	n := c.nodes[name]
	delete(c.nodes, name)
	c.mu.Unlock()
	n.Close()
}

func (c *cluster) close() {
	for name := range c.peers {
		if c.node(name) != nil {
			c.stop(name)
		}
	}
	if len(c.downgraded) > 0 {
		c.t.Errorf("processes %v installed an older version after a newer one", c.downgraded)
	}
}

func (c *cluster) node(name string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}

// setLinkDown drops all bytes from one process to another, or restores the link if down is false.
func (c *cluster) setLinkDown(from, to string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.downLinks[[2]string{from, to}] = down
}

// isolate interrupts the links of a process to all others and to the log, in both directions, or
// restores them if isolated is false.
func (c *cluster) isolate(name string, isolated bool) {
	for other := range c.peers {
		c.setLinkDown(name, other, isolated)
		c.setLinkDown(other, name, isolated)
	}
	c.setLinkDown(name, logEndpoint, isolated)
}

func (c *cluster) isLinkDown(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.downLinks[[2]string{from, to}]
}

var errNoRoute = errors.New("no route")

func (c *cluster) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n := c.node(to)
	if n == nil {
		return nil, errNoRoute
	}
	if c.isLinkDown(from, to) || c.isLinkDown(to, from) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a, b := net.Pipe()
	go func() {
		conn, err := wire.Server(&lossyConn{b, c, to, from}, n.hello(), n, wire.Options{})
		if err == nil {
			n.Accept(conn)
		}
	}()
	return &lossyConn{a, c, from, to}, nil
}

// lossyConn is a connection that drops written bytes while its link is down.
type lossyConn struct {
	net.Conn
	c        *cluster
	from, to string
}

func (l *lossyConn) Write(p []byte) (int, error) {
	if l.c.isLinkDown(l.from, l.to) {
		return len(p), nil
	}
	l.c.bytesSent.Add(int64(len(p)))
	return l.Conn.Write(p)
}

// linkedLog is the log as one process reaches it, over a link that can be down.
type linkedLog struct {
	c    *cluster
	name string
}

func (l *linkedLog) Append(ctx context.Context, records [][]byte) (uint64, error) {
	if l.c.isLinkDown(l.name, logEndpoint) {
		<-ctx.Done()
		return 0, outside.ErrUnknownOutcome
	}
	return l.c.log.Append(ctx, records)
}

func (l *linkedLog) Read(ctx context.Context, from uint64, max int, wait time.Duration) (outside.Page, error) {
	if l.c.isLinkDown(l.name, logEndpoint) {
		<-ctx.Done()
		return outside.Page{}, ctx.Err()
	}
	l.c.logCalls.Add(1)
	page, err := l.c.log.Read(ctx, from, max, wait)
	if l.c.isLinkDown(l.name, logEndpoint) { // the answer is lost
		<-ctx.Done()
		return outside.Page{}, ctx.Err()
	}
	return page, err
}

// version returns the configuration version in force at a node, 0 for none.
func (c *cluster) version(name string) uint64 {
	n := c.node(name)
	if n == nil {
		return 0
	}
	return n.Status(false).Version
}

// waitForVersion waits until all named nodes have at least the given version in force, and
// returns how long it took.
func (c *cluster) waitForVersion(limit time.Duration, version uint64, names ...string) time.Duration {
	begin := time.Now()
	for {
		ready := true
		for _, name := range names {
			ready = ready && c.version(name) >= version
		}
		if ready {
			return time.Since(begin)
		}
		if time.Since(begin) > limit {
			c.t.Fatalf("version %d is not in force at all of %v within %s", version, names, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cluster) names() []string {
	var names []string
	for name := range c.peers {
		names = append(names, name)
	}
	return names
}

// apply applies a configuration with n teams as an operator does, and returns its version.
func (c *cluster) apply(n int) uint64 {
	op := &Operator{Log: c.log}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := op.Sync(ctx); err != nil {
		c.t.Fatal(err)
	}
	base := uint64(0)
	if s := op.Current(); s != nil {
		base = s.Version
	}
	out, err := op.Apply(ctx, NewChangeID(), base, teams(n))
	if err != nil {
		c.t.Fatal(err)
	}
	return out.Version
}

func teams(n int) *config.Config {
	c := &config.Config{Fleets: []config.Fleet{{Name: "f", Kind: "plain"}}}
	for i := range n {
		c.Teams = append(c.Teams, config.Team{Name: fmt.Sprintf("team-%05d", i), KeyHashes: []string{config.HashKey(fmt.Sprint(i))}})
	}
	return c
}

func withTimeout(t *testing.T, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), d)
}
