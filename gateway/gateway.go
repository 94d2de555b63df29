package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/callers"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/serving"
)

// Gateway is a running entry.
type Gateway struct {
	opts      Options
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     conc.WaitGroup
	knowledge *knowledge
	mesh      *mesh
	book      *placing.Tracker
	pools     *pools
	setByUs   map[string]bool // fields that callers can't set
	http      *fasthttp.Server
	listener  net.Listener
	peers     *peers.Server
	inFlight  atomic.Int64
	stopping  atomic.Bool
	stopAt    atomic.Pointer[time.Time]
	started   time.Time

	mu      sync.Mutex
	budgets map[string]*retryBudget            // by service
	gates   map[string]*placing.AdmissionQueue // by service
}

// Limits on callers.
const (
	headerMax       = 32 << 10 // more than any configuration allows; the configured limit is checked on top
	bodyMax         = 16 << 20
	maxCallers      = 3000
	headerTime      = 10 * time.Second
	writeBufferSize = 4 << 10
)

// Start starts a gateway on listeners for callers and for peers.
func Start(o Options, callersLn, peersLn net.Listener) *Gateway {
	g := &Gateway{
		opts:     o,
		book:     placing.NewTracker(o.Name, o.DataCentre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		pools:    newPools(),
		budgets:  make(map[string]*retryBudget),
		gates:    make(map[string]*placing.AdmissionQueue),
		listener: callersLn,
		setByUs:  make(map[string]bool),
	}
	p := &o.Headers
	for _, name := range []string{p.Deadline, p.Key, p.Team, p.Instance, p.Priority} {
		g.setByUs[name] = true
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.started = time.Now()
	g.book.PreferIdleConnections(g.pools.kept)
	g.knowledge = newKnowledge(&o)
	g.mesh = newMesh(g)
	g.knowledge.met = g.mesh.read
	g.peers = peers.Serve(peersLn, map[peers.Kind]peers.Handler{
		peers.KindHeartbeat: g.mesh.group.HandleProbe,
		peers.KindProbe:     g.mesh.group.HandleIndirectProbe,
		peers.KindPermit:    g.mesh.answerPermit,
	}, g.peerFailed)
	g.startDuties()
	g.serveCallers()
	o.Log.Info("started", "vm", o.Name, "data_centre", o.DataCentre, "callers", o.CallerAddr, "peers", o.PeerAddr, "incarnation", o.Incarnation)
	return g
}

func (g *Gateway) startDuties() {
	o := &g.opts
	paces := []pace{
		{
			topic:  serving.TopicConfig,
			follow: share(o.ConfigApplyTimeout, configFollow),
			spread: share(o.ConfigApplyTimeout, takeOver),
			wait:   share(o.ConfigApplyTimeout, configWait),
		},
		{
			topic:  serving.TopicTargets,
			lead:   share(o.DrainTimeout, targetsEvery),
			follow: share(o.DrainTimeout, targetsFollow),
			spread: share(o.DrainTimeout, takeOver),
		},
		{topic: serving.TopicEntries, lead: entriesEvery, follow: entriesEvery, spread: entriesEvery},
	}
	for _, p := range paces {
		g.tasks.Go(func() { g.follow(g.ctx, p) })
	}
	g.tasks.Go(func() { g.mesh.run(g.ctx) })
	g.tasks.Go(g.register)
	g.tasks.Go(g.housekeep)
}

// housekeep does what comes up now and then.
func (g *Gateway) housekeep() {
	followed := make(map[string]bool)
	for g.ctx.Err() == nil {
		sleep(g.ctx, expireEvery)
		g.knowledge.expire()
		if v := g.knowledge.view(); v != nil {
			g.sweep(v.targets)
			g.startLoads(followed)
			for i := range v.index.Services {
				g.admitWaiting(v.index.Services[i].Name)
			}
		}
	}
}

func (g *Gateway) peerFailed(remote string, err error) {
	g.opts.Log.Info("peer connection failed", "remote", remote, "error", err.Error())
}

func (g *Gateway) serveCallers() {
	ln := callers.NewListener(g.listener, maxCallers, func(a net.Addr) {
		g.opts.Metrics.Result(result.ConnsFull)
		g.opts.Log.Info("caller refused", "remote", a.String(), "reason", result.ConnsFull.Info().Name)
	})
	g.http = &fasthttp.Server{
		Handler:               g.serve,
		ErrorHandler:          g.serveError,
		ReadBufferSize:        headerMax,
		WriteBufferSize:       writeBufferSize,
		MaxRequestBodySize:    bodyMax,
		ReadTimeout:           headerTime,
		IdleTimeout:           idleMax,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		ReduceMemoryUsage:     true,
		Logger:                discardPrinter{},
	}
	go func() {
		if err := g.http.Serve(ln); err != nil {
			g.opts.Log.Error(err, "callers can't be served")
		}
	}()
}

// idleMax is longer than callers keep connections by any configuration.
const idleMax = time.Minute

// discardPrinter drops what the library prints: each fault of a caller is
// counted and answered by us.
type discardPrinter struct{}

// Printf implements fasthttp.Logger.
func (discardPrinter) Printf(string, ...any) {}

// serveError answers what the library can't read.
func (g *Gateway) serveError(c *fasthttp.RequestCtx, err error) {
	e := result.New(result.BadRequest, "%w", err)
	switch err.(type) {
	case *fasthttp.ErrSmallBuffer:
		e.Code = result.HeadersTooLarge
	case *net.OpError:
		e.Code = result.RequestTimeout
	}
	if err == fasthttp.ErrBodyTooLarge {
		e.Code = result.BodyTooLarge
	}
	g.refuse(c, e)
	g.opts.Log.Info("refused", "code", int(e.Code), "reason", e.Code.Info().Name, "detail", e.Detail)
}

// budget returns the retry budget of a service.
func (g *Gateway) budget(service string) *retryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = newRetryBudget(g.opts.RetryBudget, time.Now())
		g.budgets[service] = b
	}
	return b
}

// Ready tells whether requests are taken.
func (g *Gateway) Ready() bool { return !g.stopping.Load() && g.knowledge.view() != nil }

// serve answers one request of a caller.
func (g *Gateway) serve(c *fasthttp.RequestCtx) {
	v := g.awaitView()
	if v == nil {
		g.refuseAndLog(c, &request{id: string(c.Request.Header.Peek(g.opts.Headers.RequestID)), arrived: c.Time()},
			result.New(result.NoConfig, "no configuration yet"))
		return
	}
	r, e := g.newRequest(c, v)
	if e == nil {
		e = g.admit(r)
	}
	if e != nil {
		g.refuseAndLog(c, r, e)
		return
	}
	g.budget(r.service.Name).request(r.arrived)
	g.inFlight.Add(1)
	base, leave := context.WithCancelCause(context.Background())
	ctx, cancel := context.WithDeadline(base, r.deadline)
	stop := g.watch(c, leave)
	finish := func() {
		stop()
		cancel()
		leave(nil)
		g.inFlight.Add(-1)
	}
	t := &tries{g: g, r: r, tried: make(map[serving.Run]bool)}
	if r.route.Kind == serving.KindStream {
		e = g.serveStream(ctx, c, t, func(b *streamBody) {
			finish()
			g.logStream(r, t, b)
		})
	} else {
		var x *exchange
		x, e = g.servePlain(ctx, c, t)
		if e == nil {
			finish()
			g.logDone(r, t, x)
		}
	}
	if e != nil {
		finish()
		g.refuseAndLog(c, r, e)
	}
}

// admit refuses what comes too late in the life of this process: an answer that
// the end of the process would cut off is worth less than a new try elsewhere.
func (g *Gateway) admit(r *request) *result.Error {
	at := g.stopAt.Load()
	if at == nil || time.Now().Before(*at) {
		return nil
	}
	e := result.New(result.EntryLeaving, "this entry stops")
	e.RetryAfter = leavingRetry
	return e
}

// leavingRetry: another entry can take the request at once.
const leavingRetry = 20 * time.Millisecond

func (g *Gateway) watch(c *fasthttp.RequestCtx, leave context.CancelCauseFunc) func() {
	conn, ok := c.Conn().(*callers.Conn)
	if !ok {
		return func() {}
	}
	return conn.WatchDisconnect(func() { leave(result.New(result.CallerGone, "caller closed its connection")) })
}

// Shares of the grace after the order to stop.
const (
	takeShare = 0.4 // new requests are taken until then
	lastShare = 0.05
	pollEvery = 100 * time.Millisecond
)

// Abort ends everything at once, as a crash would: nobody is told. It is for tests and the
// demo, where several entries share a process.
func (g *Gateway) Abort() {
	g.cancel()
	if err := g.listener.Close(); err != nil {
		g.opts.Log.Info("listener not closed", "error", err.Error())
	}
	g.peers.Close()
}

// Shutdown stops: peers and callers are told first, requests are taken until
// most callers have a new answer of the directory, and what runs is finished.
func (g *Gateway) Shutdown(ctx context.Context) error {
	begun := time.Now()
	g.opts.Log.Info("stopping", "in_flight", g.inFlight.Load())
	g.stopping.Store(true)
	until := begun.Add(share(g.opts.ShutdownGrace, takeShare))
	g.stopAt.Store(&until)
	g.mesh.tell()
	quiet := begun.Add(3 * answerTTL)
	last := begun.Add(share(g.opts.ShutdownGrace, 1-lastShare))
	for time.Now().Before(last) && ctx.Err() == nil {
		if time.Now().After(quiet) && g.inFlight.Load() == 0 {
			break
		}
		sleep(ctx, pollEvery)
	}
	left := g.inFlight.Load()
	g.cancel()
	g.opts.Log.Info("stopped", "in_flight", left, "ms", time.Since(begun).Milliseconds())
	if left > 0 {
		return fmt.Errorf("%d requests were still in work", left)
	}
	return nil
}
