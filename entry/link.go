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

// link maintains the connection to one agent and holds the state of its target.
type link struct {
	entry  *Entry
	target string

	fleetState atomic.Pointer[fleetState]

	mu                 sync.Mutex
	addr               string
	vmState            string
	conn               *wire.Conn
	load               wire.Load
	hasLoad            bool
	work               targetWork
	stoppedIncarnation uint64 // incarnation of the agent that has sent a shutdown note
	openingRequests    int    // requests that are being written to the connection

	addressChanged chan struct{}       // signalled when the VM list shows another address
	shutdownNotice chan struct{}       // signalled when the agent is about to stop
	retiredConns   map[*wire.Conn]bool // connections that take no new requests but still run some
}

func newLink(e *Entry, target, addr string) *link {
	return &link{
		entry:          e,
		target:         target,
		addr:           addr,
		addressChanged: make(chan struct{}, 1),
		shutdownNotice: make(chan struct{}, 1),
		retiredConns:   make(map[*wire.Conn]bool),
	}
}

// updateVM applies the target's row of the VM list. A new address means that the VM was
// replaced.
func (l *link) updateVM(vm outside.VM) {
	l.mu.Lock()
	changed := vm.Address != l.addr
	l.addr, l.vmState = vm.Address, vm.State
	l.mu.Unlock()
	if !changed {
		return
	}
	raiseSignal(l.addressChanged)
}

// connectLoop keeps the link connected until the entry stops.
func (l *link) connectLoop() {
	for l.entry.ctx.Err() == nil {
		if conn := l.connect(); conn != nil {
			select {
			case <-conn.Done():
			case <-l.addressChanged:
				l.retire(conn)
			case <-l.shutdownNotice:
				l.retire(conn)
			case <-l.entry.ctx.Done():
				conn.Close()
			}
			l.clearConn()
		}
		l.entry.sleep(linkBackoff)
	}
}

// nextAddr returns the address to dial. It clears signals that were raised for an earlier
// connection.
func (l *link) nextAddr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	clearSignal(l.addressChanged)
	clearSignal(l.shutdownNotice)
	return l.addr
}

// connect dials the agent and activates the connection. It returns nil if the agent cannot
// be reached or must not be used.
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
		l.entry.log.Error(err, "handshake with agent failed", "target", l.target)
		return nil
	}
	if conn.Peer().Name != l.target {
		l.entry.log.Info("address belongs to another target", "want", l.target, "got", conn.Peer().Name)
		conn.Close()
		return nil
	}
	if l.isStopped(conn.Peer().Incarnation) {
		conn.Close()
		return nil
	}
	if !l.entry.outcomes.acceptAgent(l.target, conn.Peer().Incarnation, time.Now()) {
		l.entry.log.Info("superseded agent answered", "target", l.target, "incarnation", conn.Peer().Incarnation)
		conn.Close()
		return nil
	}
	l.activate(conn)
	return conn
}

// activate puts a new connection into use. The agent must receive a dispatch report before
// any request of this entry. Requests that are still being written to the earlier connection,
// which may stay open, must finish first: the report would lack a request that is added to the
// dispatch log after the report was made.
func (l *link) activate(conn *wire.Conn) {
	for l.openingCount() > 0 && l.entry.sleep(openingPollInterval) {
	}
	if s := l.entry.current.Load(); s != nil {
		l.sendDispatchReport(conn, s)
	}
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	l.notify(l.entry.agentConfigs())
	l.entry.log.V(1).Info("linked", "target", l.target, "incarnation", conn.Peer().Incarnation)
}

func (l *link) clearConn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = nil
	l.load, l.hasLoad = wire.Load{}, false
}

// openingPollInterval is how often activate checks for requests that are being written.
const openingPollInterval = time.Millisecond

func (l *link) finishOpening() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openingRequests--
}

func (l *link) openingCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openingRequests
}

// isLeaving reports whether the target accepts no new work, according to its agent or to the
// VM list, whichever shows it first.
func (l *link) isLeaving() bool {
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

// notify sends the agent its part of the configuration in force and a dispatch report.
func (l *link) notify(configs *agentConfigs) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn == nil || configs == nil {
		return
	}
	// If the send fails, the link sends the configuration again on reconnection.
	_ = conn.SendNote(wire.NoteAgentConfig, configs.forTarget(l.target))
	l.sendDispatchReport(conn, configs.snap)
}

// sendDispatchReport tells the agent which keys of non-repeatable requests this entry sent to
// other agents.
func (l *link) sendDispatchReport(conn *wire.Conn, s *config.Snapshot) {
	fleet := s.FleetOfTarget(l.target)
	if fleet == "" {
		return
	}
	dest := destination{target: l.target, incarnation: conn.Peer().Incarnation}
	// If the send fails, the link sends a new dispatch report on reconnection.
	_ = conn.SendNote(wire.NoteDispatchReport, l.entry.outcomes.dispatchLog.report(s, dest, fleet))
}

// ServeStream implements wire.Handler. It refuses every stream, since agents open none.
func (l *link) ServeStream(_ context.Context, s *wire.Stream, m wire.Method, _ []byte) {
	_ = s.Refuse(result.New(result.WireUnknownKind, "method %d", m)) // the agent expects no answer
}

// ServeNote implements wire.Handler.
func (l *link) ServeNote(c *wire.Conn, n wire.Note, payload []byte) {
	switch n {
	case wire.NoteLoad:
	case wire.NoteRankStalled:
		l.entry.stalled.recordReport(l.target, time.Now())
		return
	case wire.NoteCrash:
		l.entry.handleCrash(payload)
		return
	case wire.NoteShutdown:
		l.handleShutdownNote(c)
		return
	default:
		return
	}
	var load wire.Load
	if _, err := load.UnmarshalMsg(payload); err != nil {
		l.entry.log.Error(err, "malformed load report", "target", l.target)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// The first report may arrive before activate has set conn.
	if l.conn == c || (l.conn == nil && !l.retiredConns[c]) {
		l.applyLoad(c, &load)
	}
}

// readAvailability sets the fields of t that say whether the target can take work.
func (l *link) readAvailability(t *route.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAvailabilityLocked(t)
}

// readAvailabilityLocked is readAvailability with l.mu held.
func (l *link) readAvailabilityLocked(t *route.Target) {
	t.Reachable = l.conn != nil && l.hasLoad
	t.Leaving = l.load.Leaving || l.vmState == outside.StateLeaving
	t.EngineUp = l.load.EngineUp
}

// openRequest sends a request to the agent. It first calls the function before with the agent's
// incarnation. If before returns an error, no byte of the request is sent.
func (l *link) openRequest(req *wire.Request, before func(incarnation uint64) error) (*wire.Stream, error) {
	l.mu.Lock()
	conn := l.conn
	if conn == nil {
		l.mu.Unlock()
		return nil, result.New(result.Unreachable, "no connection to %s", l.target)
	}
	l.openingRequests++
	l.mu.Unlock()
	defer l.finishOpening()
	req.AgentInc = conn.Peer().Incarnation
	if err := before(req.AgentInc); err != nil {
		return nil, err
	}
	return l.openTracked(conn, req)
}

// hello returns the handshake message of this entry.
func (e *Entry) hello() wire.Hello {
	return wire.Hello{
		Name:        e.opts.Settings.Name,
		Role:        wire.RoleEntry,
		Incarnation: e.opts.Incarnation,
		DataCentre:  e.opts.Settings.DataCentre,
	}
}

// Linked returns the number of targets that are connected and have sent a load report.
func (e *Entry) Linked() int {
	n := 0
	for _, l := range e.allLinks() {
		var t route.Target
		l.readAvailability(&t)
		if t.Reachable {
			n++
		}
	}
	return n
}
