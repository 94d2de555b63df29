package gateway

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/callers"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/serving"
	"github.com/heatherrail/heatherrail/shedding"
)

// Gateway is a running entry, the load balancer process that callers connect to.
type Gateway struct {
	opts            Options
	ctx             context.Context
	cancel          context.CancelFunc
	tasks           conc.WaitGroup
	state           *replicaState
	cluster         *cluster
	tracker         *placing.Tracker
	connPools       *connPools
	crashes         *crashWatch
	slackShare      *placing.SlackShare // share of the retry slack of all services
	reservedHeaders map[string]bool     // lower-case names of headers that only the gateway may set
	callers         *callers.Server
	listener        net.Listener
	peerServer      *peers.Server
	inFlight        atomic.Int64
	unwritten       unwrittenResponses
	stopping        atomic.Bool
	stopGate        stopGate
	started         time.Time

	mu           sync.Mutex
	retryBudgets map[string]*placing.RetryBudget    // retry budgets, by service
	queues       map[string]*placing.AdmissionQueue // admission queues, by service
}

// Limits on callers that the options or the configuration do not set.
const (
	maxHeaderBytes      = 32 << 10 // limit of the HTTP server; above any limit in a configuration, which is checked separately
	defaultMaxBodyBytes = 16 << 20
	defaultCallerConns  = 3000
	defaultCallerBytes  = 64 << 20
	defaultHeadTimeout  = 10 * time.Second
	defaultIdleTimeout  = time.Minute
	writeBufferBytes    = 4 << 10
)

// Start starts a gateway on a listener for callers and a listener for peers.
func Start(o Options, callersLn, peersLn net.Listener) *Gateway {
	g := &Gateway{
		opts:            o,
		tracker:         placing.NewTracker(o.Name, o.DataCentre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		connPools:       newConnPools(o.MaxTargetConns),
		retryBudgets:    make(map[string]*placing.RetryBudget),
		queues:          make(map[string]*placing.AdmissionQueue),
		listener:        callersLn,
		reservedHeaders: make(map[string]bool),
	}
	p := &o.Headers
	for _, name := range []string{p.Deadline, p.Key, p.Team, p.Instance, p.Priority} {
		g.reservedHeaders[strings.ToLower(name)] = true
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.started = time.Now()
	g.slackShare = placing.NewSlackShare(o.RetryBudget.Window, g.started)
	g.tracker.PreferIdleConnections(g.connPools.hasIdle)
	g.crashes = newCrashWatch(g)
	g.tracker.AvoidTargets(g.crashes.hasTrial)
	g.state = newReplicaState(&o)
	g.cluster = newCluster(g)
	g.state.onEntryRecord = g.cluster.recordEntry
	g.state.onSuspectRecord = g.applySuspectRecord
	g.peerServer = peers.Serve(peersLn, g.opts.PeerLimits, map[peers.Kind]peers.Handler{
		peers.KindHeartbeat: g.cluster.membership.HandleProbe,
		peers.KindProbe:     g.cluster.membership.HandleIndirectProbe,
		peers.KindPermit:    g.cluster.servePermit,
	}, g.peerFailed)
	g.callers = g.newCallerServer()
	g.startTasks()
	go func() { _ = g.callers.Serve(callersLn) }() // ends when the listener is closed
	o.Log.Info("started", "vm", o.Name, "data_centre", o.DataCentre, "callers", o.CallerAddr, "peers", o.PeerAddr, "incarnation", o.Incarnation)
	return g
}

func (g *Gateway) startTasks() {
	o := &g.opts
	schedules := []readSchedule{
		{
			topic:          serving.TopicConfig,
			followAge:      fractionOf(o.ConfigApplyTimeout, configFollowShare),
			takeoverSpread: fractionOf(o.ConfigApplyTimeout, takeoverSpreadShare),
			pollWait:       fractionOf(o.ConfigApplyTimeout, configWaitShare),
		},
		{
			topic:          serving.TopicTargets,
			leadAge:        fractionOf(o.DrainTimeout, targetsLeadShare),
			followAge:      fractionOf(o.DrainTimeout, targetsFollowShare),
			takeoverSpread: fractionOf(o.DrainTimeout, takeoverSpreadShare),
		},
		{topic: serving.TopicEntries, leadAge: entriesReadInterval, followAge: entriesReadInterval, takeoverSpread: entriesReadInterval},
	}
	for _, s := range schedules {
		g.tasks.Go(func() { g.followTopic(g.ctx, s) })
	}
	g.tasks.Go(func() { g.cluster.run(g.ctx) })
	g.tasks.Go(g.register)
	g.tasks.Go(g.runMaintenance)
}

// runMaintenance periodically removes expired targets, closes idle connections before their targets
// do, starts load followers and admits queued requests.
func (g *Gateway) runMaintenance() {
	followed := make(map[string]bool)
	suspectsChecked, slackUpdated := g.started, g.started
	for g.ctx.Err() == nil {
		sleep(g.ctx, maintenanceInterval)
		if time.Since(suspectsChecked) > suspectRecordsInterval {
			suspectsChecked = time.Now()
			g.dropSuspectRecords()
		}
		if time.Since(slackUpdated) > slackUpdateInterval {
			slackUpdated = time.Now()
			g.cluster.updateSlackShare()
		}
		g.crashes.reportRejectedParts()
		g.state.expireTargets()
		g.state.expireKeptOrders(time.Now())
		if snap := g.state.snapshot(); snap != nil {
			g.removeLostTargets(snap.targets)
			g.startLoadFollowers(followed)
			for i := range snap.index.Services {
				g.admitQueued(snap.index.Services[i].Name)
			}
		}
	}
}

func (g *Gateway) peerFailed(remote string, err error) {
	g.opts.Log.Info("peer connection failed", "remote", remote, "error", err.Error())
}

func (g *Gateway) newCallerServer() *callers.Server {
	limits := shedding.Limits{
		Connections: cmp.Or(g.opts.MaxCallerConns, defaultCallerConns),
		Bytes:       cmp.Or(g.opts.MaxCallerBytes, defaultCallerBytes),
		MinSilence:  callers.MinSilence,
	}
	server := &fasthttp.Server{
		Handler:               g.serveRequest,
		ExpectHandler:         g.checkExpectation,
		HeaderReceived:        g.headReceived,
		ErrorHandler:          g.serveError,
		ConnState:             g.unwritten.connStateChanged,
		ReadBufferSize:        maxHeaderBytes,
		WriteBufferSize:       writeBufferBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		Logger:                discardLogger{},
	}
	return callers.NewServer(server, limits, g.callerTimeouts, callers.Observer{
		Refused: func(a net.Addr) {
			g.opts.Metrics.CountResult(result.ConnsFull)
			g.opts.Log.Info("caller refused", "remote", a.String(), "reason", result.ConnsFull.Info().Name)
		},
		GaveWay: func(net.Addr) { g.opts.Metrics.Count("callers_gave_way", 1) },
		AcceptFailed: func(err error) {
			g.opts.Metrics.Count("accept_failures", 1)
			g.opts.Log.Error(err, "accepting a caller failed")
		},
	})
}

// callerTimeouts returns how long callers may take under the configuration in force.
func (g *Gateway) callerTimeouts() callers.Timeouts {
	t := callers.Timeouts{Head: defaultHeadTimeout, Idle: defaultIdleTimeout}
	if snap := g.state.snapshot(); snap != nil {
		t.Head = cmp.Or(snap.index.Limits.HeaderTimeout, t.Head)
		t.Idle = cmp.Or(snap.index.Limits.IdleTimeout, t.Idle)
	}
	return t
}

// discardLogger drops the log output of fasthttp, as the gateway counts and answers each caller
// error itself.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// serveError answers a request that fasthttp could not parse.
func (g *Gateway) serveError(c *fasthttp.RequestCtx, err error) {
	e := callers.ReceiveError(err)
	g.refuse(c, e)
	g.opts.Log.Info("refused", "code", int(e.Code), "reason", e.Code.Info().Name, "detail", e.Detail)
}

// Ready reports whether the gateway accepts requests.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.state.snapshot() != nil && g.callers.Accepting()
}

// serveRequest handles one request of a caller.
func (g *Gateway) serveRequest(c *fasthttp.RequestCtx) {
	g.unwritten.add(c.Conn())
	snap := g.awaitSnapshot()
	if snap == nil {
		g.refuseAndLog(c, &request{id: string(c.Request.Header.Peek(g.opts.Headers.RequestID)), arrived: c.Time()},
			result.New(result.NoConfig, "no configuration yet"))
		return
	}
	r, e := g.newRequest(c, snap)
	if e == nil {
		e = g.receiveBody(c, r)
	}
	if e == nil {
		e = g.stopGate.check(r)
	}
	if e != nil {
		g.refuseAndLog(c, r, e)
		return
	}
	g.retryBudget(r.service.Name).RecordRequest(r.arrived)
	g.crashes.observe(r)
	g.inFlight.Add(1)
	parent, cancelCause := context.WithCancelCause(context.Background())
	ctx, cancel := context.WithDeadline(parent, r.deadline)
	stopWatch := g.watchCaller(c, cancelCause)
	finish := func() {
		stopWatch()
		cancel()
		cancelCause(nil)
		g.inFlight.Add(-1)
	}
	d := &dispatch{g: g, r: r, triedRuns: make(map[serving.Run]bool), conn: c.Conn().(*callers.Conn), cancel: cancelCause}
	if r.route.Kind == serving.KindStream {
		e = g.serveStream(ctx, c, d, func(b *streamBody) {
			finish()
			g.logStream(r, d, b)
		})
	} else {
		var a *attempt
		a, e = g.servePlain(ctx, c, d)
		if e == nil {
			finish()
			g.logAnswered(r, d, a)
		}
	}
	if e != nil {
		finish()
		g.refuseAndLog(c, r, e)
	}
}

func (g *Gateway) watchCaller(c *fasthttp.RequestCtx, cancelCause context.CancelCauseFunc) func() {
	return c.Conn().(*callers.Conn).WatchDisconnect(func() { cancelCause(result.New(result.CallerGone, "caller closed its connection")) })
}

// Shares of the shutdown grace.
const (
	exitReserveShare     = 0.05 // share of the grace, at its end, that is reserved for the exit of the process
	shutdownPollInterval = 100 * time.Millisecond
)

// Abort ends the gateway at once without notice, as a crash would. It is for tests and the demo,
// where several entries share a process.
func (g *Gateway) Abort() {
	g.cancel()
	if err := g.listener.Close(); err != nil {
		g.opts.Log.Info("closing the caller listener failed", "error", err.Error())
	}
	g.peerServer.Close()
}

// Shutdown stops the gateway. It notifies peers and callers, accepts the requests that its StopWindow
// allows, and waits until all responses are written and read. It returns an error if requests are still in
// flight at the end of the shutdown grace.
func (g *Gateway) Shutdown(ctx context.Context) error {
	start := time.Now()
	g.opts.Log.Info("stopping", "in_flight", g.unwritten.count())
	g.stopping.Store(true)
	g.slackShare.Stop()
	left := fractionOf(g.opts.ShutdownGrace, 1-exitReserveShare)
	window := route.NewStopWindow(start, g.opts.ShutdownGrace, left)
	g.stopGate.begin(window)
	g.cluster.notify()
	earliestEnd := start.Add(3 * directoryTTL)
	deadline := start.Add(left)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if time.Now().After(earliestEnd) && g.unwritten.count() == 0 && g.callers.Unread() == 0 {
			break
		}
		if time.Now().After(window.AnyUntil) {
			g.stopGate.refuseWaiting()
			g.callers.RefuseUnfinished() // once whole, most of them would be refused too
		}
		sleep(ctx, shutdownPollInterval)
	}
	inFlight := g.unwritten.count()
	g.cancel()
	g.opts.Log.Info("stopped", "in_flight", inFlight, "unread", g.callers.Unread(), "ms", time.Since(start).Milliseconds())
	if inFlight > 0 {
		return fmt.Errorf("%d requests still in flight at the end of the shutdown", inFlight)
	}
	return nil
}

// unwrittenResponses holds the caller connections with a request whose response is not written
// completely. The HTTP server writes a response after its handler has returned, so the requests in
// the handler are not all that the end of the process would cut off.
type unwrittenResponses struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func (u *unwrittenResponses) add(c net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conns == nil {
		u.conns = make(map[net.Conn]struct{})
	}
	u.conns[c] = struct{}{}
}

// connStateChanged removes a connection when its response is written or the connection is closed.
func (u *unwrittenResponses) connStateChanged(c net.Conn, state fasthttp.ConnState) {
	if state != fasthttp.StateIdle && state != fasthttp.StateClosed {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, c)
}

func (u *unwrittenResponses) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}
