// Package entry implements the entry, the process that callers connect to. An entry
// authenticates, admits, places and retries requests and streams the answers back.
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
	"github.com/heatherrail/heatherrail/internal/tcp"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/settings"
	"github.com/heatherrail/heatherrail/wire"
)

// Options configures an entry.
type Options struct {
	Settings    settings.Entry
	Log         outside.Log
	VMs         outside.VMList
	Logger      logr.Logger
	Metrics     *metrics.Set
	Incarnation uint64
	// Dial connects to other processes; nil is plain TCP, on loopback only. Tests supply their own
	// network.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// PeerListener replaces the plain TCP listener on Settings.Listen, which accepts loopback
	// addresses only.
	PeerListener net.Listener
	// SnapshotInterval is the interval at which snapshots of the configuration are published on
	// the log; zero is the interval of ControlTiming.
	SnapshotInterval time.Duration
	// ControlTiming sets the periods of the control plane; zero is control.DefaultTiming.
	ControlTiming control.Timing
	// NoCallers disables the HTTP server; calls then come through Do only.
	NoCallers bool
	// Off disables safeguards, for tests that must detect a missing safeguard.
	Off safeguard.Off
}

// Entry is one running entry.
type Entry struct {
	opts           Options
	log            logr.Logger
	callerListener net.Listener
	app            *fiber.App
	callers        *callers.Server
	current        atomic.Pointer[config.Snapshot]
	vms            atomic.Pointer[[]outside.VM]
	leaving        atomic.Bool
	stopWindow     atomic.Pointer[route.StopWindow] // nil: the entry is not stopping
	inFlight       atomic.Int64
	idleSignal     chan struct{}
	ctx            context.Context
	cancel         context.CancelFunc
	tasks          conc.WaitGroup
	placers        sync.Map // placerKey to *route.Placer
	fleetViews     fleetViews
	explanations   explainRing
	limits         *teamLimits

	entriesDigest atomic.Uint64 // hash of the live entries

	node           *control.Node
	peerListener   net.Listener
	notifyRequests chan struct{} // signalled when agents must learn of a version or fencing floor
	outcomes       *requestOutcomes
	stalled        stalledRanks
	planHistories  sync.Map // expert.PlanHistory by group

	mu    sync.Mutex
	links map[string]*link // links to the agents of targets, by target
}

// Start starts an entry and returns at once.
func Start(o Options) (*Entry, error) {
	if o.Dial == nil {
		o.Dial = new(wire.Network).Dial
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		opts:           o,
		log:            o.Logger.WithName("entry").WithValues("entry", o.Settings.Name),
		idleSignal:     make(chan struct{}, 1),
		notifyRequests: make(chan struct{}, 1),
		ctx:            ctx,
		cancel:         cancel,
		outcomes:       newRequestOutcomes(&o),
		limits:         newTeamLimits(),
		links:          make(map[string]*link),
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
	e.tasks.Go(e.watchVMs)
	e.tasks.Go(e.runGroupOwners)
	e.tasks.Go(e.announcePresence)
	e.log.Info("started", "callers", e.Addr(), "listen", e.PeerAddr(), "incarnation", o.Incarnation)
	return e, nil
}

func (e *Entry) listenCallers() error {
	ln, err := tcp.ListenAny(e.opts.Settings.Callers)
	if err != nil {
		return fmt.Errorf("entry %s: %w", e.opts.Settings.Name, err)
	}
	e.callerListener = ln
	e.app = e.newApp()
	e.callers = e.newCallerServer()
	e.tasks.Go(e.serveCallers)
	return nil
}

// Addr returns the address that callers connect to.
func (e *Entry) Addr() string {
	if e.callerListener == nil {
		return ""
	}
	return e.callerListener.Addr().String()
}

// Current returns the configuration in force, or nil if none is known yet.
func (e *Entry) Current() *config.Snapshot { return e.current.Load() }

func (e *Entry) serveCallers() {
	_ = e.callers.Serve(e.callerListener) // ends when the listener is closed
}

// refuseConn counts and logs a connection beyond the limit.
func (e *Entry) refuseConn(remote net.Addr) {
	e.opts.Metrics.CountResult(result.ConnsFull)
	e.log.V(1).Info("connection refused", "remote", remote.String(), "code", int(result.ConnsFull))
}

// Drain removes this entry from the answers of GET /v1/entries. The entry keeps serving, because
// callers cache earlier answers.
func (e *Entry) Drain() {
	e.node.SetLeaving(true)
	if !e.leaving.Swap(true) {
		e.log.Info("leaving", "in_flight", e.inFlight.Load())
	}
}

// Shutdown drains the entry and stops it. Before it stops, it keeps listening until the cached
// answers of GET /v1/entries that name this entry have expired, and then waits for requests in
// flight until ctx ends. It accepts the requests that its StopWindow allows.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.Drain()
	if end, ok := ctx.Deadline(); ok {
		start := time.Now()
		window := route.NewStopWindow(start, end.Sub(start), end.Sub(start))
		e.stopWindow.Store(&window)
	}
	select {
	case <-time.After(e.opts.Settings.DirectoryTTL):
	case <-ctx.Done():
	}
	err := e.awaitIdle(ctx)
	e.shutdownCallerServer(ctx)
	if err == nil {
		err = e.awaitIdle(ctx)
	}
	e.writeShutdownRecords()
	e.Close()
	return err
}

// awaitIdle waits until no request is in flight. The error says how many requests were in flight
// when ctx ended.
func (e *Entry) awaitIdle(ctx context.Context) error {
	for n := e.inFlight.Load(); n > 0; n = e.inFlight.Load() {
		select {
		case <-e.idleSignal:
		case <-ctx.Done():
			return fmt.Errorf("shutdown deadline passed: %d requests cut off", n)
		}
	}
	return nil
}

// callerShutdownTimeout bounds the wait for caller connections to close when the HTTP server
// stops: a connection may stay open without a request.
const callerShutdownTimeout = 2 * time.Second

// shutdownCallerServer stops the server for callers: it accepts no new connections, closes
// idle ones and waits for those with a request. Closing all connections at once would be wrong: a
// request that has arrived but has not been read does not count as in flight, and would get no
// answer.
func (e *Entry) shutdownCallerServer(ctx context.Context) {
	if e.callers == nil {
		return
	}
	_ = e.callerListener.Close()
	ctx, cancel := context.WithTimeout(ctx, callerShutdownTimeout)
	defer cancel()
	if err := e.callers.Shutdown(ctx); err != nil {
		e.log.Info("caller connections not closed in time", "detail", err.Error())
	}
}

// Close stops the entry at once, as a crash would.
func (e *Entry) Close() {
	e.cancel()
	if e.callerListener != nil {
		_ = e.callerListener.Close()
	}
	if e.peerListener != nil {
		_ = e.peerListener.Close()
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
	e.tasks.Wait()
}

func (e *Entry) requestStarted() { e.inFlight.Add(1) }

func (e *Entry) requestEnded() {
	if e.inFlight.Add(-1) == 0 {
		select {
		case e.idleSignal <- struct{}{}:
		default:
		}
	}
}

// sleep waits for d. It returns false if the entry stops first.
func (e *Entry) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-e.ctx.Done():
		return false
	}
}
