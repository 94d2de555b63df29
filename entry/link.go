package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/outside"
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
	stopped uint64 // incarnation of the agent that has said goodbye
	opening int    // requests on their way into the connection

	moved   chan struct{}       // signalled when the VM list names another address
	goodbye chan struct{}       // signalled when the agent is about to stop
	retired map[*wire.Conn]bool // connections to earlier VMs whose requests still run
}

func newLink(e *Entry, target, addr string) *link {
	return &link{
		entry:   e,
		target:  target,
		addr:    addr,
		moved:   make(chan struct{}, 1),
		goodbye: make(chan struct{}, 1),
		retired: make(map[*wire.Conn]bool),
	}
}

// update takes what the VM list says of the target. A new address means that
// the VM was replaced.
func (l *link) update(vm outside.VM) {
	l.mu.Lock()
	moved := vm.Address != l.addr
	l.addr, l.vmState = vm.Address, vm.State
	l.mu.Unlock()
	if !moved {
		return
	}
	raiseFlag(l.moved)
}

// run keeps the link connected until the entry stops.
func (l *link) run() {
	for l.entry.ctx.Err() == nil {
		if conn := l.connect(); conn != nil {
			select {
			case <-conn.Done():
			case <-l.moved:
				l.retire(conn)
			case <-l.goodbye:
				l.retire(conn)
			case <-l.entry.ctx.Done():
				conn.Close()
			}
			l.drop()
		}
		l.entry.sleep(linkBackoff)
	}
}

// nextAddr returns where to connect to; flags that were raised for an earlier
// connection fall.
func (l *link) nextAddr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	dropFlag(l.moved)
	dropFlag(l.goodbye)
	return l.addr
}

func (l *link) connect() *wire.Conn {
	addr := l.nextAddr()
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
	if l.hasStopped(conn.Peer().Incarnation) {
		conn.Close()
		return nil
	}
	if !l.entry.out.supersede(l.target, conn.Peer().Incarnation, time.Now()) {
		l.entry.log.Info("an overtaken agent answers", "target", l.target, "incarnation", conn.Peer().Incarnation)
		conn.Close()
		return nil
	}
	l.adopt(conn)
	return conn
}

// adopt takes a new connection into use. The attestation goes first: the agent
// must have it before any request of this entry. And it waits for requests that
// are on their way into the earlier connection, which may live on: one of them
// that was booked after the attestation would be missing there.
func (l *link) adopt(conn *wire.Conn) {
	for l.openings() > 0 && l.entry.sleep(openingPoll) {
	}
	if s := l.entry.current.Load(); s != nil {
		l.attest(conn, s)
	}
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	l.notify(l.entry.agentConfigs())
	l.entry.log.V(1).Info("linked", "target", l.target, "incarnation", conn.Peer().Incarnation)
}

func (l *link) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = nil
	l.load, l.hasLoad = wire.Load{}, false
}

// openingPoll is how often adopt looks for requests on their way.
const openingPoll = time.Millisecond

func (l *link) opened() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opening--
}

func (l *link) openings() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opening
}

// leaving tells whether the target takes nothing new, by its agent or by the VM
// list, which may know it first.
func (l *link) leaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load.Leaving || l.vmState == outside.StateLeaving
}

func (l *link) close() {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// notify tells the agent what it needs of the configuration in force here.
func (l *link) notify(configs *agentConfigs) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn == nil || configs == nil {
		return
	}
	_ = conn.SendNote(wire.NoteAgentConfig, configs.of(l.target)) // a lost link sends it again when it is back
	l.attest(conn, configs.snap)
}

// attest tells the agent which requests that must not run twice went elsewhere.
func (l *link) attest(conn *wire.Conn, s *config.Snapshot) {
	fleet := s.FleetOfTarget(l.target)
	if fleet == "" {
		return
	}
	p := place{target: l.target, incarnation: conn.Peer().Incarnation}
	_ = conn.SendNote(wire.NoteDispatchReport, l.entry.out.book.attest(s, p, fleet)) // sent again with the next link
}

// ServeStream implements wire.Handler; agents open no streams.
func (l *link) ServeStream(_ context.Context, s *wire.Stream, m wire.Method, _ []byte) {
	_ = s.Refuse(result.New(result.WireUnknownKind, "method %d", m)) // nothing waits for it
}

// ServeNote implements wire.Handler.
func (l *link) ServeNote(c *wire.Conn, n wire.Note, payload []byte) {
	switch n {
	case wire.NoteLoad:
	case wire.NoteRankStalled:
		l.entry.stuck.heard(l.target, time.Now())
		return
	case wire.NoteCrash:
		l.entry.serveCrash(payload)
		return
	case wire.NoteShutdown:
		l.heardGoodbye(c)
		return
	default:
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
	if l.conn == c || (l.conn == nil && !l.retired[c]) {
		l.takeLoad(c, &load)
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
	t.Reachable = l.conn != nil && l.hasLoad
	t.Leaving = l.load.Leaving || l.vmState == outside.StateLeaving
	t.EngineUp = l.load.EngineUp
}

// open sends a request to the agent. before is called with the agent's
// incarnation before any byte is handed to the connection; its error stops the try.
func (l *link) open(req *wire.Request, before func(incarnation uint64) error) (*wire.Stream, error) {
	l.mu.Lock()
	conn := l.conn
	if conn == nil {
		l.mu.Unlock()
		return nil, result.New(result.Unreachable, "no link to %s", l.target)
	}
	l.opening++
	l.mu.Unlock()
	defer l.opened()
	req.AgentInc = conn.Peer().Incarnation
	if err := before(req.AgentInc); err != nil {
		return nil, err
	}
	return l.openCounted(conn, req)
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
		if t.Reachable {
			n++
		}
	}
	return n
}
