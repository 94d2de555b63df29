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

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/platform"
	"github.com/heatherrail/heatherrail/settings"
)

// Options are what an entry needs besides its settings.
type Options struct {
	Settings    settings.Entry
	Log         platform.Log
	VMs         platform.VMList
	Logger      logr.Logger
	Metrics     *metrics.Set
	Incarnation uint64
	// Dial connects to other processes; nil: TCP. Tests put a network of their own.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// NoCallers leaves the HTTP side out; calls come through Do alone.
	NoCallers bool
}

// Entry is one running entry.
type Entry struct {
	opts     Options
	log      logr.Logger
	ln       net.Listener
	app      *fiber.App
	current  atomic.Pointer[config.Snapshot]
	vms      atomic.Pointer[[]platform.VM]
	leaving  atomic.Bool
	inFlight atomic.Int64
	idle     chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	duties   conc.WaitGroup
	placers  sync.Map // config.Policy to *route.Placer
	fleets   fleetViews
	explain  explainRing

	entriesDigest atomic.Uint64 // of the names of live entries

	mu    sync.Mutex
	links map[string]*link // by target
}

// Start begins to serve and returns at once.
func Start(o Options) (*Entry, error) {
	if o.Dial == nil {
		var d net.Dialer
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		opts:   o,
		log:    o.Logger.WithName("entry").WithValues("entry", o.Settings.Name),
		idle:   make(chan struct{}, 1),
		ctx:    ctx,
		cancel: cancel,
		links:  make(map[string]*link),
	}
	if !o.NoCallers {
		if err := e.listenCallers(); err != nil {
			cancel()
			return nil, err
		}
	}
	e.duties.Go(e.tailLog)
	e.duties.Go(e.watchVMs)
	e.log.Info("started", "callers", e.Addr(), "incarnation", o.Incarnation)
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
	err := e.app.Listener(&watchedListener{e.ln}, fiber.ListenConfig{DisableStartupMessage: true})
	if err != nil && e.ctx.Err() == nil {
		e.log.Error(err, "caller side stopped")
	}
}

// Drain takes the entry out of the answers that callers get. It goes on to
// serve: callers keep earlier answers for a while.
func (e *Entry) Drain() {
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
	var err error
	for n := e.inFlight.Load(); n > 0 && err == nil; n = e.inFlight.Load() {
		select {
		case <-e.idle:
		case <-ctx.Done():
			err = fmt.Errorf("shutdown deadline: %d requests cut off", n)
		}
	}
	e.Close()
	return err
}

// Close stops at once, like a crash.
func (e *Entry) Close() {
	e.cancel()
	if e.ln != nil {
		_ = e.ln.Close()
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
