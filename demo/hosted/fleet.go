// Package hosted is a whole small system of the programs that run on the users' machines, in
// one process: entries, agents beside a group of lock-step engines, plain services, and a
// stand-in of the platform's store. Each VM has a loopback address of its own.
package hosted

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"github.com/heatherrail/heatherrail/gateway"
	"github.com/heatherrail/heatherrail/lockstep"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/platform"
	"github.com/heatherrail/heatherrail/platform/standin"
)

// Sizes of the system.
const (
	entryVMs  = 3
	rankVMs   = 6
	plainVMs  = 2
	firstHost = 10 // the last number of the first VM's address

	draftService = "drafter"
	plainService = "logbook"
	host         = "demo.example"
	team         = "kitchens-north"
	key          = "demo-key-of-kitchens-north"

	targetBeat  = 400 * time.Millisecond
	configApply = 2 * time.Second
	drain       = 2 * time.Second
	lifetimeMax = time.Second
	grace       = 5 * time.Second
)

// plainZones are where the plain targets are, none of them near an entry.
var plainZones = [plainVMs]string{"x", "y"}

var shape = standin.GroupConfig{
	Ranks: rankVMs, Sets: 2, Experts: 24, Places: 6, Slots: 10,
	BasePass: 20 * time.Millisecond, PassPerStream: 4 * time.Millisecond, CopyTime: 15 * time.Millisecond, Events: 16,
}

// Fleet is a running system.
type Fleet struct {
	log     logr.Logger
	store   *standin.Store
	address string // of the store
	group   *standin.Group
	mu      sync.Mutex // guards entries while callers ask which there are
	entries []*entryVM
	agents  []*lockstep.Agent
	plain   []*standin.Target
	books   runs

	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup
	vms    int
	port   string // of agents, the same on every VM
}

type entryVM struct {
	name    string
	callers string
	gateway *gateway.Gateway
	down    bool
}

// runs counts how often plain targets have run each request.
type runs struct {
	mu       sync.Mutex
	byID     map[string]int
	byTarget map[string]int
}

func (r *runs) note(run standin.Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[run.Request]++
	r.byTarget[run.Target]++
}

// most returns how many requests ran, and the most runs of one.
func (r *runs) most() (requests, most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.byID {
		most = max(most, n)
	}
	return len(r.byID), most
}

// Start starts a system.
func Start(log logr.Logger) (*Fleet, error) {
	f := &Fleet{log: log, store: standin.NewStore(), group: standin.NewGroup(shape), books: runs{byID: make(map[string]int), byTarget: make(map[string]int)}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	if f.address, err = f.serve("127.0.0.1:0", f.store); err != nil {
		return err
	}
	f.store.PutConfig(f.config(1))
	if err := f.startTargets(); err != nil {
		return err
	}
	f.tasks.Go(func() { f.group.Run(f.ctx) })
	for n := range entryVMs {
		if err := f.startEntry(n); err != nil {
			return err
		}
	}
	return nil
}

// nextHost returns the loopback address of another VM.
func (f *Fleet) nextHost() string {
	f.vms++
	return fmt.Sprintf("127.0.0.%d", firstHost+f.vms)
}

// serve serves HTTP at an address until the fleet is closed.
func (f *Fleet) serve(address string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	f.tasks.Go(func() { f.logEnd(s.Serve(ln)) })
	f.tasks.Go(func() {
		<-f.ctx.Done()
		f.logEnd(s.Close())
	})
	return ln.Addr().String(), nil
}

func (f *Fleet) logEnd(err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		f.log.Error(err, "stand-in ended")
	}
}

func (f *Fleet) startTargets() error {
	var engines []string
	for _, e := range f.group.Engines() {
		address, err := f.serve(f.nextHost()+":0", e)
		if err != nil {
			return err
		}
		f.announce(e.ID, standin.TargetRecord{Service: draftService, Address: address})
		engines = append(engines, address)
	}
	for n, address := range engines {
		if err := f.startAgent(n, address); err != nil {
			return err
		}
	}
	for n := range plainVMs {
		id := fmt.Sprintf("logbook-%d", n)
		target := standin.NewTarget(id, uint64(n), f.books.note)
		f.plain = append(f.plain, target)
		address, err := f.serve(f.nextHost()+":0", target)
		if err != nil {
			return err
		}
		f.announce(id, standin.TargetRecord{Service: plainService, Address: address, Zone: plainZones[n]})
	}
	return nil
}

// announce writes a target's records to the store until the fleet is closed.
func (f *Fleet) announce(id string, record standin.TargetRecord) {
	record.Sequence = 1
	f.store.PutTarget(id, record.Fields())
	f.tasks.Go(func() {
		for sleep(f.ctx, targetBeat) {
			record.Sequence++
			f.store.PutTarget(id, record.Fields())
		}
	})
}

// startAgent starts the agent beside an engine.
func (f *Fleet) startAgent(n int, engine string) error {
	ip, _, err := net.SplitHostPort(engine)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, f.port))
	if err != nil {
		return err
	}
	if f.port == "" {
		_, f.port, _ = net.SplitHostPort(ln.Addr().String()) // of a listener, always well formed
	}
	f.agents = append(f.agents, lockstep.Start(lockstep.Options{
		VM:              fmt.Sprintf("rank-%d", n),
		Engine:          platform.NewLocalEngine(engine),
		EngineAddr:      engine,
		Service:         draftService,
		PeerAddr:        ln.Addr().String(),
		PeerPort:        f.port,
		Store:           platform.NewStore(f.address),
		NewRemoteEngine: func(address string) lockstep.Engine { return platform.NewEngine(address) },
		Dial:            lockstep.DialPeer,
		DecodeTarget:    platform.DecodeTarget,
		DecodeConfig:    platform.DecodeConfigRecord,
		Log:             f.log,
		Metrics:         metrics.New(),
	}, ln))
	return nil
}

func (f *Fleet) startEntry(n int) error {
	ip := f.nextHost()
	callers, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	vm := &entryVM{name: fmt.Sprintf("entry-%d", n), callers: callers.Addr().String()}
	vm.gateway = gateway.Start(gateway.Options{
		Name:                    vm.name,
		Incarnation:             uint64(time.Now().UnixNano()),
		DataCentre:              "z",
		CallerAddr:              vm.callers,
		PeerAddr:                peers.Addr().String(),
		Headers:                 platform.HeaderNames(),
		Store:                   platform.NewStore(f.address),
		DecodeConfig:            platform.DecodeConfigRecord,
		DecodeEvacuation:        platform.DecodeEvacuation,
		DecodeTarget:            platform.DecodeTarget,
		DrainTimeout:            drain,
		ConfigApplyTimeout:      configApply,
		TargetHeartbeatInterval: targetBeat,
		ShutdownGrace:           grace,
		MaxDirectoryTTL:         lifetimeMax,
		RetryBudget:             gateway.RetryBudget{Ratio: 0.2, Slack: 90, Window: 10 * time.Second},
		AgentPort:               f.port,
		Log:                     f.log,
		Metrics:                 metrics.New(),
	}, callers, peers)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, vm)
	return nil
}

// config returns the configuration of a version; from the second on there is a route more.
func (f *Fleet) config(version int) map[string]any {
	routes := []standin.Route{
		{Name: "draft", Host: host, Prefix: "/draft/", Kind: standin.KindStream, Service: draftService, TimeoutMS: 8000},
		{Name: "log", Host: host, Prefix: "/log/", Kind: standin.KindNonIdempotent, Service: plainService, TimeoutMS: 4000},
	}
	if version > 1 {
		routes = append(routes, standin.Route{Name: "added", Host: host, Prefix: addedPath, Kind: standin.KindIdempotent, Service: plainService, TimeoutMS: 4000})
	}
	c := standin.Config(version, team, key, []string{plainService}, routes)
	c["services"] = append(c["services"].([]any), f.group.Service(draftService))
	return c
}

// addedPath is that of the route that a configuration adds while the system runs.
const addedPath = "/added/"

// kill ends an entry as a crash would.
func (f *Fleet) kill(n int) {
	f.mu.Lock()
	vm := f.entries[n]
	vm.down = true
	f.mu.Unlock()
	vm.gateway.Abort()
}

// alive returns an entry that was not killed.
func (f *Fleet) alive(n int) *entryVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.entries {
		if vm := f.entries[(n+i)%len(f.entries)]; !vm.down {
			return vm
		}
	}
	return f.entries[n%len(f.entries)]
}

// directory returns the addresses that a living entry tells callers.
func (f *Fleet) directory() []string {
	return f.alive(0).gateway.Entries("z").Addresses
}

// Close ends everything.
func (f *Fleet) Close() {
	f.cancel()
	for _, vm := range f.entries {
		if !vm.down {
			vm.gateway.Abort()
		}
	}
	for _, a := range f.agents {
		if err := a.Shutdown(context.Background()); err != nil {
			f.log.Error(err, "agent not stopped")
		}
	}
	f.tasks.Wait()
}

// sleep waits; false if ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func number(n int) string { return strconv.Itoa(n) }
