package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/platform"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

const (
	linkDialTimeout = time.Second
	linkBackoff     = 100 * time.Millisecond
)

// link is the connection to one agent and what the entry knows of its target.
type link struct {
	entry  *Entry
	target string

	fleet atomic.Pointer[fleetState]

	mu      sync.Mutex
	addr    string
	vmState string
	conn    *wire.Conn
	load    wire.Load
	hasLoad bool
	work    ownWork
}

func newLink(e *Entry, target, addr string) *link {
	return &link{entry: e, target: target, addr: addr}
}

// update takes what the VM list says of the target. A new address means that
// the VM was replaced.
func (l *link) update(vm platform.VM) {
	l.mu.Lock()
	moved := vm.Address != l.addr
	l.addr, l.vmState = vm.Address, vm.State
	conn := l.conn
	l.mu.Unlock()
	if moved && conn != nil {
		go conn.Close() // waits for the reader, which may be waiting for this lock
	}
}

// run keeps the link connected until the entry stops.
func (l *link) run() {
	for l.entry.ctx.Err() == nil {
		if conn := l.connect(); conn != nil {
			select {
			case <-conn.Done():
			case <-l.entry.ctx.Done():
				conn.Close()
			}
			l.drop()
		}
		l.entry.sleep(linkBackoff)
	}
}

func (l *link) connect() *wire.Conn {
	l.mu.Lock()
	addr := l.addr
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.entry.ctx, linkDialTimeout)
	defer cancel()
	nc, err := l.entry.opts.Dial(ctx, addr)
	if err != nil {
		return nil
	}
	conn, err := wire.Client(nc, l.entry.hello(), l, wire.Options{})
	if err != nil {
		l.entry.log.Error(err, "link refused", "target", l.target)
		return nil
	}
	if conn.Peer().Name != l.target {
		l.entry.log.Info("another target answers", "want", l.target, "got", conn.Peer().Name)
		conn.Close()
		return nil
	}
	l.adopt(conn)
	return conn
}

func (l *link) adopt(conn *wire.Conn) {
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	if s := l.entry.current.Load(); s != nil {
		l.notify(s)
	}
	l.entry.log.V(1).Info("linked", "target", l.target, "incarnation", conn.Peer().Incarnation)
}

func (l *link) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = nil
	l.hasLoad = false
}

func (l *link) close() {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// notify tells the agent which configuration is in force here.
func (l *link) notify(s *config.Snapshot) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		_ = conn.SendNote(wire.NoteConfig, notice(s)) // a lost link sends it again when it is back
	}
}

// ServeStream implements wire.Handler; agents open no streams.
func (l *link) ServeStream(_ context.Context, s *wire.Stream, m wire.Method, _ []byte) {
	_ = s.Refuse(result.New(result.WireUnknownKind, "method %d", m)) // nothing waits for it
}

// ServeNote implements wire.Handler.
func (l *link) ServeNote(c *wire.Conn, n wire.Note, payload []byte) {
	if n != wire.NoteLoad {
		return
	}
	var load wire.Load
	if _, err := load.UnmarshalMsg(payload); err != nil {
		l.entry.log.Error(err, "bad load report", "target", l.target)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// The first report may overtake adopt, so the hand-over of conn is not awaited.
	if l.conn == nil || l.conn == c {
		l.takeLoad(&load)
	}
}

// view returns whether the target can take work, as far as the link knows.
func (l *link) view(t *route.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state(t)
}

// state is view under l.mu.
func (l *link) state(t *route.Target) {
	t.Linked = l.conn != nil && l.hasLoad
	t.Leaving = l.load.Leaving || l.vmState == platform.StateLeaving
	t.EngineUp = l.load.EngineUp
}

// open sends a request to the agent.
func (l *link) open(req *wire.Request) (*wire.Stream, error) {
	l.mu.Lock()
	conn := l.conn
	if conn == nil {
		l.mu.Unlock()
		return nil, result.New(result.Unreachable, "no link to %s", l.target)
	}
	l.mu.Unlock()
	req.AgentInc = conn.Peer().Incarnation
	return l.openBooked(conn, req)
}

func (e *Entry) hello() wire.Hello {
	return wire.Hello{
		Name:        e.opts.Settings.Name,
		Role:        wire.RoleEntry,
		Incarnation: e.opts.Incarnation,
		DataCentre:  e.opts.Settings.DataCentre,
	}
}

// Linked returns how many targets can be reached and have reported.
func (e *Entry) Linked() int {
	n := 0
	for _, l := range e.allLinks() {
		var t route.Target
		l.view(&t)
		if t.Linked {
			n++
		}
	}
	return n
}
