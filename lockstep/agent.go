// Package lockstep is the agent beside each model engine whose ranks advance
// together. The agent of rank 0 leads: it learns from all agents which experts
// are in demand, plans maps that even out the ranks, and has them switched to.
// Every agent sees to it that the group is not left standing.
package lockstep

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// Engine takes orders and reports on itself.
type Engine interface {
	// State returns the engine's state as a rank.
	State(ctx context.Context) (peers.RankState, error)
	// ExpertCounts returns how often each expert was chosen.
	ExpertCounts(ctx context.Context) (ExpertCounts, error)
	// RankExperts returns the experts of this rank in the map in use, set by set, and the
	// map's version.
	RankExperts(ctx context.Context) ([][]uint16, uint64, error)
	// Order gives an order. An error leaves open whether it takes effect, now or
	// seconds later.
	Order(ctx context.Context, o *peers.RankOrder) (peers.OrderResult, error)
}

// EngineRun names one run of an engine in one epoch of its group. Epochs begin anew when
// all engines of a group do, and an engine may start again under its old name: what was
// counted, given and fenced before concerns no later run.
type EngineRun struct {
	StartedAtMS int64 // Unix milliseconds of the engine's start; 0: not told
	Epoch       uint64
}

// ExpertCounts are how often an engine's requests have chosen each expert.
type ExpertCounts struct {
	Run    EngineRun
	Counts []uint64 // since the engine started, set by set
}

// PeerClient asks another agent; *peers.Client is one.
type PeerClient interface {
	// Ask sends a question and decodes the answer, both within limit.
	Ask(ctx context.Context, kind peers.Kind, question msgp.Marshaler, answer msgp.Unmarshaler, limit time.Duration) error
	// Close ends the connection.
	Close()
}

// DialPeer is the usual Dial.
func DialPeer(address string) PeerClient { return peers.NewClient(address) }

// Options are what an agent is started with.
type Options struct {
	VM         string // of the VM
	Engine     Engine
	EngineAddr string // of the engine
	Service    string // that the engine serves
	PeerAddr   string // address that other agents and entries connect to
	PeerPort   string // on which every agent listens
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

// Agent is a running agent.
type Agent struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup
	server *peers.Server

	mu     sync.Mutex
	last   ExpertCounts // at the latest question for them
	born   int64        // of the engine, by its latest report
	group  string       // of the engine, by its latest report
	ranks  int          // of that group
	leader string       // address of the agent that leads
	loads  toldLoads
	waits  waits
	other  peers.ProxyArm

	arming chan struct{} // holds one token, taken while an arm is given, so that a fence comes before or after it
	fence  fence         // guarded by arming
	maps   knownMaps
	// remotes are clients of engines that this agent arms for a leader.
	remotes  map[string]Engine
	contacts contacts
}

// Start starts an agent that answers peers on ln.
func Start(o Options, ln net.Listener) *Agent {
	a := newAgent(o)
	a.server = peers.Serve(ln, a.handlers(), func(remote string, err error) {
		o.Log.Info("peer connection failed", "remote", remote, "error", err.Error())
	})
	a.tasks.Go(a.run)
	o.Log.Info("started", "vm", o.VM, "engine", o.EngineAddr, "peers", o.PeerAddr)
	return a
}

func newAgent(o Options) *Agent {
	a := &Agent{opts: o, arming: make(chan struct{}, 1)}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

func (a *Agent) handlers() map[peers.Kind]peers.Handler {
	return map[peers.Kind]peers.Handler{
		peers.KindCollect: a.answerCollect,
		peers.KindOrder:   a.answerOrder,
		peers.KindLoads:   a.answerLoads,
	}
}

// Shutdown stops. Nothing of the agent's runs on: a switch that it leads is
// finished by itself after its restart, or by another agent.
func (a *Agent) Shutdown(context.Context) error {
	a.opts.Log.Info("stopping")
	a.cancel()
	a.server.Close()
	a.contacts.close()
	a.tasks.Wait()
	a.opts.Log.Info("stopped")
	return nil
}

// Paces of the agent's duty.
const (
	// roundEvery: demand moves within seconds; a round costs each agent a few
	// tenths of a millisecond.
	roundEvery = 60 * time.Millisecond
	// watchEvery is how often an agent that does not lead looks at its own rank.
	watchEvery = 500 * time.Millisecond
	// holderEvery: the rank at which the group is held stalls it while the hold lasts.
	holderEvery = 60 * time.Millisecond
	// heldEvery is the same while the rank is held.
	heldEvery = 20 * time.Millisecond
)

// run leads while this is the agent of rank 0, and else watches.
func (a *Agent) run() {
	l := newLeader(a)
	w := newWatch(a)
	for a.ctx.Err() == nil {
		state, err := a.opts.Engine.State(a.ctx)
		if err == nil {
			a.noteGroup(state.Group, state.Ranks)
		}
		switch {
		case err != nil || !state.Known:
			a.pause(watchEvery)
		case state.Rank == 0:
			l.round(state)
			a.pause(l.pause())
		default:
			w.look(state)
			a.pause(w.pause(state))
		}
	}
}

func (a *Agent) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-a.ctx.Done():
	case <-timer.C:
	}
}
