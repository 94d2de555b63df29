// Package lockstep is the agent that runs beside each model engine of an expert-parallel
// group. Each engine is one rank of the group, and the ranks run every forward pass together. An
// expert map lists the experts that each rank holds, for each set of layers.
//
// The agent of rank 0 leads the group: it collects expert selection counts from all agents,
// plans maps that balance the ranks, and switches the group to them. Every agent watches for a
// stalled group and recovers it.
//
// To arm a rank is to order its engine to switch to a prepared map when a given pass begins. To
// fence a pass is to forbid the agents to arm ranks for it.
package lockstep

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
	"github.com/heatherrail/heatherrail/shedding"
)

// Engine is a client of one model engine.
type Engine interface {
	// State returns the state of the engine's rank.
	State(ctx context.Context) (peers.RankState, error)
	// ExpertCounts returns how often each expert was selected.
	ExpertCounts(ctx context.Context) (ExpertCounts, error)
	// RankExperts returns the experts of the engine's rank in the map in use, by layer set, and the
	// map's version.
	RankExperts(ctx context.Context) ([][]uint16, uint64, error)
	// Order sends an order. After an error the order may still take effect, at once or
	// seconds later.
	Order(ctx context.Context, o *peers.RankOrder) (peers.OrderResult, error)
}

// EngineRun identifies one run of an engine in one epoch of its group. A group gets a new epoch
// when a rank has restarted. The epoch alone is not enough: epochs start over when all engines of
// a group restart, and an engine may restart under the same ID. Counts, maps and fences of an
// earlier run are void in a later one.
type EngineRun struct {
	StartedAtMS int64 // engine start, Unix milliseconds; 0: unknown
	Epoch       uint64
}

// ExpertCounts are the expert selection counts of one engine.
type ExpertCounts struct {
	Run    EngineRun
	Counts []uint64 // selections since the engine started, by layer set and expert
}

// PeerClient is the client of another agent. *peers.Client implements it.
type PeerClient interface {
	// Ask sends a request and decodes the response, both within limit.
	Ask(ctx context.Context, kind peers.Kind, question msgp.Marshaler, answer msgp.Unmarshaler, limit time.Duration) error
	// Close closes the connection.
	Close()
}

// DialPeer returns a client of the agent at an address. It is the usual value of Options.Dial.
func DialPeer(address string) PeerClient { return peers.NewClient(address) }

// Options configure an agent.
type Options struct {
	VM         string          // name of the agent's VM
	Engine     Engine          // engine on the agent's VM
	EngineAddr string          // address of the engine on the agent's VM
	Service    string          // service that the engine belongs to
	PeerAddr   string          // address that other agents and entries connect to
	PeerPort   string          // port that every agent listens on
	PeerLimits shedding.Limits // connections of other agents and of entries, and their memory
	Store      serving.Store
	// NewRemoteEngine returns a client of an engine on another VM.
	NewRemoteEngine func(address string) Engine
	// Dial returns a client of the agent at an address.
	Dial         func(address string) PeerClient
	DecodeTarget func(id string, value []byte) (serving.Target, error)
	DecodeConfig func(key string, value []byte) (c serving.Config, ok bool, err error)
	Log          logr.Logger
	Metrics      *metrics.Set
}

// Agent is the running agent of one model engine.
type Agent struct {
	opts     Options
	ctx      context.Context // ends with the agent
	cancel   context.CancelFunc
	stopping context.Context // ends when the agent begins nothing any more
	stop     context.CancelFunc
	runEnded chan struct{} // closed when run returns
	tasks    conc.WaitGroup
	server   *peers.Server

	mu                sync.Mutex
	lastCounts        ExpertCounts // expert counts of the engine at the previous read
	engineStartedAtMS int64        // engine start in the engine's latest report, Unix milliseconds
	groupName         string       // group in the engine's latest report
	groupRanks        int          // number of ranks of the engine's group
	leaderAddr        string       // peer address of the leader's agent
	groupLoads        groupLoads
	entryReports      entryReports
	proxyArm          peers.ProxyArm

	reportLag atomic.Int64 // EngineModel.ReportLag of the service, a time.Duration; 0: unknown

	armToken   chan struct{} // semaphore, held while an arm order or a fence is processed: the two never overlap
	fence      fence         // passes for which this agent must not arm a rank; guarded by armToken
	abandoned  fence         // passes for which this agent must not arm rank 0 as the proxy, in a recovery either; guarded by armToken
	mapHistory mapHistory
	// remoteEngines are clients of leaders' engines that this agent arms as the proxy, by address.
	remoteEngines map[string]Engine
	agentClients  agentClients
	exchange      demandExchange
}

// Start starts an agent that serves peers on ln.
func Start(o Options, ln net.Listener) *Agent {
	a := newAgent(o)
	a.server = peers.Serve(ln, o.PeerLimits, a.handlers(), func(remote string, err error) {
		o.Log.Info("peer connection failed", "remote", remote, "error", err.Error())
	})
	a.tasks.Go(a.run)
	o.Log.Info("started", "vm", o.VM, "engine", o.EngineAddr, "peers", o.PeerAddr)
	return a
}

func newAgent(o Options) *Agent {
	a := &Agent{opts: o, armToken: make(chan struct{}, 1), runEnded: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.stopping, a.stop = context.WithCancel(a.ctx)
	return a
}

func (a *Agent) handlers() map[peers.Kind]peers.Handler {
	return map[peers.Kind]peers.Handler{
		peers.KindCollect: a.handleCollect,
		peers.KindOrder:   a.handleOrder,
		peers.KindLoads:   a.handleLoads,
		peers.KindDemand:  a.handleDemand,
	}
}

// finishTimeout is how long a stopping agent goes on with the map switch or the recovery that it has
// begun. Both take some ten milliseconds while the other agents and the engines answer.
const finishTimeout = time.Second

// finish ends the agent's own work: the map switch or the recovery in progress is carried through, so
// that it need not be found and recovered by another agent while the group is held.
func (a *Agent) finish(ctx context.Context) {
	a.stop()
	timer := time.NewTimer(finishTimeout)
	defer timer.Stop()
	select {
	case <-a.runEnded:
	case <-timer.C:
	case <-ctx.Done():
	}
	a.cancel()
}

// Shutdown stops the agent and waits for its tasks until ctx ends. The agent answers other agents until
// its own work is finished. What it can't finish is completed after its restart, or by another agent.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.opts.Log.Info("stopping")
	a.finish(ctx)
	a.server.Close()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		a.agentClients.close() // waits for the requests in progress
		a.exchange.close()
		a.tasks.Wait()
	}()
	select {
	case <-finished:
		a.opts.Log.Info("stopped")
		return nil
	case <-ctx.Done():
		a.opts.Log.Info("stopped with tasks in progress")
		return fmt.Errorf("tasks of the agent did not end: %w", ctx.Err())
	}
}

// Intervals of the agent's loop.
const (
	// roundInterval is the interval between the leader's rounds. Demand changes within seconds, and
	// a round takes each agent a few tenths of a millisecond.
	roundInterval = 60 * time.Millisecond
	// watchInterval is how often a follower checks its own rank.
	watchInterval = 500 * time.Millisecond
	// holderInterval is how often the agent of the holder, the rank that holds the group during a
	// switch, checks its rank. It is shorter because a hold that is not released stalls the whole
	// group.
	holderInterval = 60 * time.Millisecond
	// heldInterval is how often the holder's agent checks its rank while the group is held.
	heldInterval = 20 * time.Millisecond
)

// run leads the group while this agent's engine is rank 0, and otherwise watches the group.
func (a *Agent) run() {
	defer close(a.runEnded)
	l := newLeader(a)
	w := newWatcher(a)
	for a.stopping.Err() == nil {
		state, err := a.opts.Engine.State(a.ctx)
		if err == nil {
			a.setGroup(state.Group, state.Ranks)
		}
		switch {
		case err != nil || !state.Known:
			sleep(a.stopping, watchInterval)
		case state.Rank == 0:
			l.round(state)
			sleep(a.stopping, l.roundDelay())
		default:
			w.check(state)
			sleep(a.stopping, w.checkDelay(state))
		}
	}
}

// sleep waits for d or until the agent ends.
func (a *Agent) sleep(d time.Duration) { sleep(a.ctx, d) }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
