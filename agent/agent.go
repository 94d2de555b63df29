// Package agent implements the agent, the process beside each target. All requests and
// orders to a target pass through its agent.
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

// Options configure an agent in addition to its settings.
type Options struct {
	Settings    settings.Agent
	Backend     outside.Backend
	Logger      logr.Logger
	Metrics     *metrics.Set
	Incarnation uint64 // differs at each start of the process
	// Orders is the engine's interface for orders; nil: the target takes no orders.
	Orders outside.Orderer
	// OrderEvery is the minimum interval between two orders; zero: no limit.
	OrderEvery  time.Duration
	ReportEvery time.Duration
	// Log is the log service, from which the agent reads which entries exist. With nil the
	// agent knows only the entries that are connected to it. That is not enough after a
	// restart, so nil is for tests only.
	Log outside.Log
	// Listener replaces the plain TCP listener on Settings.Listen, which works on loopback
	// only.
	Listener net.Listener

	// Rank is the rank interface of the engine in a rank group; nil: that of the engine at
	// Settings.Backend.
	Rank outside.Rank

	// Off disables safeguards, for tests that must detect a missing safeguard.
	Off safeguard.Off
}

const defaultReportEvery = 100 * time.Millisecond

// Agent serves one target.
type Agent struct {
	opts       Options
	log        logr.Logger
	ln         net.Listener
	leaving    atomic.Bool
	stopping   atomic.Bool // entries have been sent a shutdown note
	inFlight   atomic.Int64
	idle       chan struct{} // signalled when inFlight falls to zero
	dedup      *dedupTable
	queue      *backendQueue
	started    time.Time
	reports    atomic.Uint64 // sequence number of the latest load report
	config     configState
	orders     orders
	dispatches *dispatchChecker
	crashes    *crashDetector
	health     *engineHealth
	rank       *rankAgent      // nil for plain services
	ctx        context.Context // ends when the agent stops
	cancel     context.CancelCauseFunc
	stop       chan struct{}
	tasks      conc.WaitGroup

	mu    sync.Mutex
	peers map[*wire.Conn]*peerState
}

// peerState is the state of one connected entry.
type peerState struct {
	lastRequestAt    atomic.Int64  // time of the entry's latest request, in ns since the agent's start
	lastReportAt     atomic.Int64  // time of the latest load report to the entry, in ns since the agent's start
	lastReportDigest atomic.Uint64 // digest of the latest load report
}

// Start starts an agent: it listens for entries and returns at once.
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
		dedup:   newDedupTable(),
		started: time.Now(),
		orders:  newOrders(o.Orders, o.OrderEvery),
		config:  newConfigState(),
		stop:    make(chan struct{}),
		peers:   make(map[*wire.Conn]*peerState),
	}
	a.ctx, a.cancel = context.WithCancelCause(context.Background())
	a.dispatches = newDispatchChecker(o.Settings.Target, o.Incarnation, o.Log)
	a.crashes = newCrashDetector(a)
	a.health = &engineHealth{agent: a}
	a.dedup.dropClaims = o.Off.Deduplication
	a.dispatches.skipCheck = o.Off.DispatchCheck
	if o.Off.EntryList {
		a.dispatches.log = nil
	}
	a.startRank()
	a.queue = newBackendQueue(o.Backend, o.Settings, a.reportToEntry)
	a.queue.ignoreRest = o.Off.Rest
	a.opts.Backend = a.queue
	a.tasks.Go(a.acceptLoop)
	a.tasks.Go(a.reportLoop)
	a.tasks.Go(a.maintainPresence)
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
			a.opts.Metrics.CountResult(result.From(err).Code)
			a.log.Error(err, "peer refused", "peer", remote.String())
		},
	}
	acceptor.Run()
}

func (a *Agent) servePeer(c *wire.Conn) {
	a.mu.Lock()
	a.peers[c] = new(peerState)
	a.mu.Unlock()
	a.crashes.replayReports(c)
	a.report(c)
	if a.stopping.Load() {
		_ = c.SendNote(wire.NoteShutdown, nil) // on a lost connection there is no receiver
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
		a.handleConfig(c, payload)
	case wire.NoteDispatchReport:
		a.handleDispatchReport(c, payload)
	}
}

func (a *Agent) handleDispatchReport(c *wire.Conn, payload []byte) {
	var report wire.DispatchReport
	if _, err := report.UnmarshalMsg(payload); err != nil {
		a.log.Error(err, "invalid dispatch report")
		return
	}
	a.dispatches.recordDispatchReport(c.Peer().Incarnation, &report)
}

// Drain refuses new work from now on and reports that to every entry.
func (a *Agent) Drain() {
	if a.leaving.Swap(true) {
		return
	}
	a.log.Info("leaving", "running", a.inFlight.Load())
	for _, c := range a.conns() {
		a.report(c)
	}
}

// Shutdown drains, waits for requests in flight until ctx ends, and stops. If requests
// were cut off, the error gives their number.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.Drain()
	var err error
	for n := a.inFlight.Load(); n > 0 && err == nil; n = a.inFlight.Load() {
		select {
		case <-a.idle:
		case <-ctx.Done():
			err = fmt.Errorf("shutdown deadline: %d requests cut off", n)
		}
	}
	if err == nil {
		a.notifyShutdown(ctx)
	}
	a.Close()
	return err
}

// Close stops the agent at once and cuts off requests in flight, like a crash.
func (a *Agent) Close() {
	select {
	case <-a.stop:
		return
	default:
	}
	close(a.stop)
	a.cancel(result.New(result.TargetLost, "agent is stopping"))
	_ = a.ln.Close()
	for _, c := range a.conns() {
		c.Close()
	}
	a.tasks.Wait()
}
