// Package agent is the process beside each target: the only door to it.
package agent

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"github.com/heatherrail/heatherrail/internal/safeguard"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/settings"
	"github.com/heatherrail/heatherrail/wire"
)

// Options are what an agent needs besides its settings.
type Options struct {
	Settings    settings.Agent
	Backend     outside.Backend
	Logger      logr.Logger
	Metrics     *metrics.Set
	Incarnation uint64 // differs at each start of the process
	// Orders is the engine's side that takes orders; nil: it takes none.
	Orders outside.Orderer
	// OrderEvery is the least time between two orders; zero: no limit.
	OrderEvery  time.Duration
	ReportEvery time.Duration
	// Log tells which entries exist. Without it the agent goes by the entries that
	// are linked to it, which is not enough after a restart: for tests alone.
	Log outside.Log
	// Listener takes the place of a plain TCP listener on Settings.Listen, which
	// works on loopback only.
	Listener net.Listener

	// Rank is the engine's part in a rank group; nil: that of the engine at
	// Settings.Backend.
	Rank outside.Rank

	// Off is for tests of the checkers.
	Off safeguard.Off
}

const defaultReportEvery = 100 * time.Millisecond

// Agent serves one target.
type Agent struct {
	opts     Options
	log      logr.Logger
	ln       net.Listener
	leaving  atomic.Bool
	stopping atomic.Bool // entries have been told goodbye
	running  atomic.Int64
	idle     chan struct{} // signalled when running falls to zero
	ledger   *ledger
	turns    *turns
	started  time.Time
	reports  atomic.Uint64 // load reports made
	config   configState
	orders   orders
	witness  *witness
	crashes  *crashWatch
	health   *engineHealth
	rank     *rankAgent      // nil beside plain services
	ctx      context.Context // ends when the agent stops
	cancel   context.CancelCauseFunc
	stop     chan struct{}
	duties   conc.WaitGroup

	mu    sync.Mutex
	peers map[*wire.Conn]*peerState
}

// peerState is what the agent keeps for each connected entry.
type peerState struct {
	worked atomic.Int64  // nanoseconds since the agent's start at the entry's latest request
	sent   atomic.Int64  // same, at the latest report
	last   atomic.Uint64 // digest of the latest report
}

// Start begins to listen and returns at once.
func Start(o Options) (*Agent, error) {
	ln := o.Listener
	if ln == nil {
		var err error
		if ln, err = new(wire.Network).Listen(o.Settings.Listen); err != nil {
			return nil, fmt.Errorf("agent of %s: %w", o.Settings.Target, err)
		}
	}
	if o.ReportEvery == 0 {
		o.ReportEvery = defaultReportEvery
	}
	a := &Agent{
		opts:    o,
		log:     o.Logger.WithName("agent").WithValues("target", o.Settings.Target),
		ln:      ln,
		idle:    make(chan struct{}, 1),
		ledger:  newLedger(),
		started: time.Now(),
		orders:  newOrders(o.Orders, o.OrderEvery),
		config:  newConfigState(),
		stop:    make(chan struct{}),
		peers:   make(map[*wire.Conn]*peerState),
	}
	a.ctx, a.cancel = context.WithCancelCause(context.Background())
	a.witness = newWitness(o.Settings.Target, o.Incarnation, o.Log)
	a.crashes = newCrashWatch(a)
	a.health = &engineHealth{agent: a}
	a.ledger.forgetful = o.Off.Ledger
	a.witness.trusting = o.Off.Witness
	if o.Off.Roster {
		a.witness.log = nil
	}
	a.startRank()
	a.turns = newTurns(o.Backend, o.Settings, a.sendBack)
	a.opts.Backend = a.turns
	a.duties.Go(a.acceptLoop)
	a.duties.Go(a.reportLoop)
	a.duties.Go(a.announce)
	a.log.Info("started", "listen", a.Addr(), "incarnation", o.Incarnation)
	return a, nil
}

// Addr returns the address that entries connect to.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

func (a *Agent) hello() wire.Hello {
	return wire.Hello{
		Name:        a.opts.Settings.Target,
		Role:        wire.RoleAgent,
		Incarnation: a.opts.Incarnation,
		DataCentre:  a.opts.Settings.DataCentre,
	}
}

func (a *Agent) acceptLoop() {
	acceptor := wire.Acceptor{
		Listener: a.ln,
		Hello:    a.hello(),
		Handler:  a,
		Serve:    a.servePeer,
		Refused: func(remote net.Addr, err error) {
			a.opts.Metrics.Result(result.From(err).Code)
			a.log.Error(err, "peer refused", "peer", remote.String())
		},
	}
	acceptor.Run()
}

func (a *Agent) servePeer(c *wire.Conn) {
	a.mu.Lock()
	a.peers[c] = new(peerState)
	a.mu.Unlock()
	a.crashes.tell(c)
	a.report(c)
	if a.stopping.Load() {
		_ = c.SendNote(wire.NoteShutdown, nil) // a lost connection needs no goodbye
	}
	<-c.Done()
	a.mu.Lock()
	delete(a.peers, c)
	a.mu.Unlock()
}

func (a *Agent) peer(c *wire.Conn) *peerState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.peers[c]
}

func (a *Agent) conns() []*wire.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	conns := make([]*wire.Conn, 0, len(a.peers))
	for c := range a.peers {
		conns = append(conns, c)
	}
	return conns
}

// ServeNote implements wire.Handler.
func (a *Agent) ServeNote(c *wire.Conn, n wire.Note, payload []byte) {
	switch n {
	case wire.NoteAgentConfig:
		a.heardConfig(c, payload)
	case wire.NoteDispatchReport:
		a.serveAttest(c, payload)
	}
}

func (a *Agent) serveAttest(c *wire.Conn, payload []byte) {
	var at wire.DispatchReport
	if _, err := at.UnmarshalMsg(payload); err != nil {
		a.log.Error(err, "bad attestation")
		return
	}
	a.witness.attest(c.Peer().Incarnation, &at)
}

// Drain refuses new work from now on and tells every entry.
func (a *Agent) Drain() {
	if a.leaving.Swap(true) {
		return
	}
	a.log.Info("leaving", "running", a.running.Load())
	for _, c := range a.conns() {
		a.report(c)
	}
}

// Shutdown drains, waits for requests in flight until ctx ends, and stops. The
// error says how many were cut off.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.Drain()
	var err error
	for n := a.running.Load(); n > 0 && err == nil; n = a.running.Load() {
		select {
		case <-a.idle:
		case <-ctx.Done():
			err = fmt.Errorf("shutdown deadline: %d requests cut off", n)
		}
	}
	if err == nil {
		a.sayGoodbye(ctx)
	}
	a.Close()
	return err
}

// Close stops at once, like a crash.
func (a *Agent) Close() {
	select {
	case <-a.stop:
		return
	default:
	}
	close(a.stop)
	a.cancel(result.New(result.TargetLost, "the agent stops"))
	_ = a.ln.Close()
	for _, c := range a.conns() {
		c.Close()
	}
	a.duties.Wait()
}
