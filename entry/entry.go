// Package entry is the process that callers talk to: it authenticates, admits,
// places, retries and streams answers back.
package entry

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"github.com/heatherrail/heatherrail/callers"
	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/internal/safeguard"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/settings"
	"github.com/heatherrail/heatherrail/wire"
)

// Options are what an entry needs besides its settings.
type Options struct {
	Settings    settings.Entry
	Log         outside.Log
	VMs         outside.VMList
	Logger      logr.Logger
	Metrics     *metrics.Set
	Incarnation uint64
	// Dial connects to other processes; nil: plain TCP, on loopback only. Tests put
	// a network of their own.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// PeerListener takes the place of a plain TCP listener on Settings.Listen, which
	// is for loopback only.
	PeerListener net.Listener
	// Snapshots is how often the configuration is published again; zero: the default.
	Snapshots time.Duration
	// Control replaces the periods of control; zero: control.DefaultTiming.
	Control control.Timing
	// NoCallers leaves the HTTP side out; calls come through Do alone.
	NoCallers bool
	// Off is for tests of the checkers.
	Off safeguard.Off
}

// Entry is one running entry.
type Entry struct {
	opts     Options
	log      logr.Logger
	ln       net.Listener
	app      *fiber.App
	current  atomic.Pointer[config.Snapshot]
	vms      atomic.Pointer[[]outside.VM]
	leaving  atomic.Bool
	inFlight atomic.Int64
	idle     chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	duties   conc.WaitGroup
	placers  sync.Map // placerKey to *route.Placer
	fleets   fleetViews
	explain  explainRing
	limits   *limits

	entriesDigest atomic.Uint64 // of the names of live entries

	node    *control.Node
	peerLn  net.Listener
	notices chan struct{} // agents are to be told of a version or floor
	out     *outcomes
	stuck   stuckRanks
	mapLogs sync.Map // expert.PlanHistory by group

	mu    sync.Mutex
	links map[string]*link // by target
}

// Start begins to serve and returns at once.
func Start(o Options) (*Entry, error) {
	if o.Dial == nil {
		o.Dial = new(wire.Network).Dial
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		opts:    o,
		log:     o.Logger.WithName("entry").WithValues("entry", o.Settings.Name),
		idle:    make(chan struct{}, 1),
		notices: make(chan struct{}, 1),
		ctx:     ctx,
		cancel:  cancel,
		out:     newOutcomes(&o),
		limits:  newLimits(),
		links:   make(map[string]*link),
	}
	if !o.NoCallers {
		if err := e.listenCallers(); err != nil {
			cancel()
			return nil, err
		}
	}
	if err := e.startControl(); err != nil {
		e.Close()
		return nil, err
	}
	e.duties.Go(e.watchVMs)
	e.duties.Go(e.ownGroups)
	e.duties.Go(e.announce)
	e.log.Info("started", "callers", e.Addr(), "listen", e.PeerAddr(), "incarnation", o.Incarnation)
	return e, nil
}

func (e *Entry) listenCallers() error {
	ln, err := net.Listen("tcp", e.opts.Settings.Callers)
	if err != nil {
		return fmt.Errorf("entry %s: %w", e.opts.Settings.Name, err)
	}
	e.ln = ln
	e.app = e.newApp()
	e.duties.Go(e.serveCallers)
	return nil
}

// Addr returns the address that callers connect to.
func (e *Entry) Addr() string {
	if e.ln == nil {
		return ""
	}
	return e.ln.Addr().String()
}

// Current returns the configuration in force here, nil if none is known.
func (e *Entry) Current() *config.Snapshot { return e.current.Load() }

func (e *Entry) serveCallers() {
	ln := callers.NewListener(e.ln, e.opts.Settings.MaxCallers, e.refuseConn)
	err := e.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if err != nil && e.ctx.Err() == nil {
		e.log.Error(err, "caller side stopped")
	}
}

func (e *Entry) refuseConn(remote net.Addr) {
	e.opts.Metrics.Result(result.ConnsFull)
	e.log.V(1).Info("connection refused", "remote", remote.String(), "code", int(result.ConnsFull))
}

// Drain takes the entry out of the answers that callers get. It goes on to
// serve: callers keep earlier answers for a while.
func (e *Entry) Drain() {
	e.node.SetLeaving(true)
	if !e.leaving.Swap(true) {
		e.log.Info("leaving", "in_flight", e.inFlight.Load())
	}
}

// Shutdown drains, listens until every answer that named this entry has run
// out, waits for requests in flight until ctx ends, and stops.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.Drain()
	select {
	case <-time.After(e.opts.Settings.AnswerLife):
	case <-ctx.Done():
	}
	err := e.awaitIdle(ctx)
	e.endCallers(ctx)
	if err == nil {
		err = e.awaitIdle(ctx)
	}
	e.farewell()
	e.Close()
	return err
}

// awaitIdle waits until nothing is in flight; the error says how many requests
// still were when ctx ended.
func (e *Entry) awaitIdle(ctx context.Context) error {
	for n := e.inFlight.Load(); n > 0; n = e.inFlight.Load() {
		select {
		case <-e.idle:
		case <-ctx.Done():
			return fmt.Errorf("shutdown deadline: %d requests cut off", n)
		}
	}
	return nil
}

// callersLimit bounds the wait for connections that stay open without a request.
const callersLimit = 2 * time.Second

// endCallers lets the HTTP side end its connections.
//
// Failure: a request has arrived, but was not read yet when nothing seemed to be
// in flight. Symptom: its caller sees the connection end without an answer.
// Enough, because the library takes no new connections, closes idle ones and
// waits for those that hold a request.
func (e *Entry) endCallers(ctx context.Context) {
	if e.app == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callersLimit)
	defer cancel()
	if err := e.app.ShutdownWithContext(ctx); err != nil {
		e.log.Info("connections of callers cut", "detail", err.Error())
	}
}

// Close stops at once, like a crash.
func (e *Entry) Close() {
	e.cancel()
	if e.ln != nil {
		_ = e.ln.Close()
	}
	if e.peerLn != nil {
		_ = e.peerLn.Close()
	}
	if e.node != nil {
		e.node.Close()
	}
	e.mu.Lock()
	links := e.links
	e.links = make(map[string]*link)
	e.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	e.duties.Wait()
}

func (e *Entry) begin() { e.inFlight.Add(1) }

func (e *Entry) end() {
	if e.inFlight.Add(-1) == 0 {
		select {
		case e.idle <- struct{}{}:
		default:
		}
	}
}

// sleep waits for d; false means that the entry stops.
func (e *Entry) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-e.ctx.Done():
		return false
	}
}
