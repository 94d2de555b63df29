// Package hosted runs a complete small system of the hosted deployment in one process: entries, a
// group of lock-step engines with an agent next to each, plain services, and a stand-in for the
// platform's store. Each simulated VM has its own loopback address.
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

// Sizes and settings of the system.
const (
	entryCount       = 3
	rankCount        = 6
	plainTargetCount = 2
	hostNumberBase   = 10 // the n-th VM has the address 127.0.0.(hostNumberBase+n), n from 1

	draftService = "drafter"
	plainService = "logbook"
	host         = "demo.example"
	team         = "kitchens-north"
	key          = "demo-key-of-kitchens-north"

	targetHeartbeatInterval = 400 * time.Millisecond
	configApplyTimeout      = 2 * time.Second
	drainTimeout            = 2 * time.Second
	maxDirectoryTTL         = time.Second
	shutdownGrace           = 5 * time.Second
)

// plainTargetZones are the zones of the plain targets. No entry is in one of them.
var plainTargetZones = [plainTargetCount]string{"x", "y"}

var groupConfig = standin.GroupConfig{
	Ranks: rankCount, Sets: 2, Experts: 24, ExpertsPerRank: 6, Slots: 10,
	BasePass: 20 * time.Millisecond, PassPerStream: 4 * time.Millisecond, CopyTime: 15 * time.Millisecond, Events: 16,
}

// Fleet is a running system of the hosted deployment.
type Fleet struct {
	log          logr.Logger
	store        *standin.Store
	storeAddr    string
	engineGroup  *standin.Group
	mu           sync.Mutex // guards entries, which the load generator reads while entries start and crash
	entries      []*entryVM
	agents       []*lockstep.Agent
	plainTargets []*standin.Target
	executions   executionCounts

	ctx       context.Context
	cancel    context.CancelFunc
	tasks     conc.WaitGroup
	hostCount int
	agentPort string // peer port of the agents, the same on every VM
}

type entryVM struct {
	name       string
	callerAddr string
	gateway    *gateway.Gateway
	crashed    bool
}

// executionCounts counts executions at plain targets, by request and by target.
type executionCounts struct {
	mu       sync.Mutex
	byID     map[string]int
	byTarget map[string]int
}

func (r *executionCounts) record(run standin.Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[run.Request]++
	r.byTarget[run.Target]++
}

// totals returns the number of requests that ran, and the highest number of executions of
// one request.
func (r *executionCounts) totals() (requests, maxExecutions int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.byID {
		maxExecutions = max(maxExecutions, n)
	}
	return len(r.byID), maxExecutions
}

// Start starts a system. Close must be called to stop it.
func Start(log logr.Logger) (*Fleet, error) {
	f := &Fleet{log: log, store: standin.NewStore(), engineGroup: standin.NewGroup(groupConfig), executions: executionCounts{byID: make(map[string]int), byTarget: make(map[string]int)}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	if f.storeAddr, err = f.serve("127.0.0.1:0", f.store); err != nil {
		return err
	}
	f.store.PutConfig(f.config(1))
	if err := f.startTargets(); err != nil {
		return err
	}
	f.tasks.Go(func() { f.engineGroup.Run(f.ctx) })
	for n := range entryCount {
		if err := f.startEntry(n); err != nil {
			return err
		}
	}
	return nil
}

// nextHost returns the loopback address of a new simulated VM.
func (f *Fleet) nextHost() string {
	f.hostCount++
	return fmt.Sprintf("127.0.0.%d", hostNumberBase+f.hostCount)
}

// serve serves HTTP at an address until the fleet is closed.
func (f *Fleet) serve(address string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	f.tasks.Go(func() { f.logServeError(s.Serve(ln)) })
	f.tasks.Go(func() {
		<-f.ctx.Done()
		f.logServeError(s.Close())
	})
	return ln.Addr().String(), nil
}

func (f *Fleet) logServeError(err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		f.log.Error(err, "stand-in server failed")
	}
}

func (f *Fleet) startTargets() error {
	var engines []string
	for _, e := range f.engineGroup.Engines() {
		address, err := f.serve(f.nextHost()+":0", e)
		if err != nil {
			return err
		}
		f.publishTarget(e.ID, standin.TargetRecord{Service: draftService, Address: address})
		engines = append(engines, address)
	}
	listeners, err := listenOnOnePort(engines)
	if err != nil {
		return err
	}
	for n, address := range engines {
		f.startAgent(n, address, listeners[n])
	}
	for n := range plainTargetCount {
		id := fmt.Sprintf("logbook-%d", n)
		target := standin.NewTarget(id, uint64(n), f.executions.record)
		f.plainTargets = append(f.plainTargets, target)
		address, err := f.serve(f.nextHost()+":0", target)
		if err != nil {
			return err
		}
		f.publishTarget(id, standin.TargetRecord{Service: plainService, Address: address, Zone: plainTargetZones[n]})
	}
	return nil
}

// publishTarget writes the record of a target to the store every targetHeartbeatInterval, as its
// heartbeat, until the fleet is closed.
func (f *Fleet) publishTarget(id string, record standin.TargetRecord) {
	record.Sequence = 1
	f.store.PutTarget(id, record.Fields())
	f.tasks.Go(func() {
		for sleep(f.ctx, targetHeartbeatInterval) {
			record.Sequence++
			f.store.PutTarget(id, record.Fields())
		}
	})
}

// maxPortAttempts is how many ports are tried until one is free on all addresses. Other processes
// may use the same loopback addresses.
const maxPortAttempts = 50

// listenOnOnePort listens on the IP addresses of the given addresses, with the same port on each.
func listenOnOnePort(addresses []string) (listeners []net.Listener, err error) {
	for range maxPortAttempts {
		if listeners, err = tryOnePort(addresses); err == nil {
			return listeners, nil
		}
	}
	return nil, err
}

// tryOnePort listens on the first IP address with a port from the system, and on the others with the
// same port.
func tryOnePort(addresses []string) (listeners []net.Listener, err error) {
	defer func() {
		if err != nil {
			for _, ln := range listeners {
				err = errors.Join(err, ln.Close())
			}
		}
	}()
	port := "0"
	for _, address := range addresses {
		ip, _, err := net.SplitHostPort(address)
		if err != nil {
			return listeners, err
		}
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, port))
		if err != nil {
			return listeners, err
		}
		listeners = append(listeners, ln)
		if _, port, err = net.SplitHostPort(ln.Addr().String()); err != nil {
			return listeners, err
		}
	}
	return listeners, nil
}

// startAgent starts the agent of an engine.
func (f *Fleet) startAgent(n int, engine string, ln net.Listener) {
	_, f.agentPort, _ = net.SplitHostPort(ln.Addr().String()) // the address of a listener is always valid
	f.agents = append(f.agents, lockstep.Start(lockstep.Options{
		VM:              fmt.Sprintf("rank-%d", n),
		Engine:          platform.NewLocalEngine(engine),
		EngineAddr:      engine,
		Service:         draftService,
		PeerAddr:        ln.Addr().String(),
		PeerPort:        f.agentPort,
		Store:           platform.NewStore(f.storeAddr),
		NewRemoteEngine: func(address string) lockstep.Engine { return platform.NewEngine(address) },
		Dial:            lockstep.DialPeer,
		DecodeTarget:    platform.DecodeTarget,
		DecodeConfig:    platform.DecodeConfigRecord,
		Log:             f.log,
		Metrics:         metrics.New(),
	}, ln))
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
	vm := &entryVM{name: fmt.Sprintf("entry-%d", n), callerAddr: callers.Addr().String()}
	vm.gateway = gateway.Start(gateway.Options{
		Name:                    vm.name,
		Incarnation:             uint64(time.Now().UnixNano()),
		DataCentre:              "z",
		CallerAddr:              vm.callerAddr,
		PeerAddr:                peers.Addr().String(),
		Headers:                 platform.HeaderNames(),
		Store:                   platform.NewStore(f.storeAddr),
		DecodeConfig:            platform.DecodeConfigRecord,
		DecodeEvacuation:        platform.DecodeEvacuation,
		DecodeAnswer:            platform.DecodeAnswer,
		DecodeTarget:            platform.DecodeTarget,
		DrainTimeout:            drainTimeout,
		ConfigApplyTimeout:      configApplyTimeout,
		TargetHeartbeatInterval: targetHeartbeatInterval,
		ShutdownGrace:           shutdownGrace,
		MaxDirectoryTTL:         maxDirectoryTTL,
		RetryBudget:             gateway.RetryBudget{Ratio: 0.2, Slack: 90, Window: 10 * time.Second},
		AgentPort:               f.agentPort,
		Log:                     f.log,
		Metrics:                 metrics.New(),
	}, callers, peers)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, vm)
	return nil
}

// config returns the configuration with the given version. Versions above 1 have an additional
// route.
func (f *Fleet) config(version int) map[string]any {
	routes := []standin.Route{
		{Name: "draft", Host: host, Prefix: "/draft/", Kind: standin.KindStream, Service: draftService, TimeoutMS: 8000},
		{Name: "log", Host: host, Prefix: "/log/", Kind: standin.KindNonIdempotent, Service: plainService, TimeoutMS: 4000},
	}
	if version > 1 {
		routes = append(routes, standin.Route{Name: "added", Host: host, Prefix: addedRoutePath, Kind: standin.KindIdempotent, Service: plainService, TimeoutMS: 4000})
	}
	c := standin.Config(version, team, key, []string{plainService}, routes)
	c["services"] = append(c["services"].([]any), f.engineGroup.Service(draftService))
	return c
}

// addedRoutePath is the path prefix of the route that configuration version 2 adds.
const addedRoutePath = "/added/"

// crashEntry aborts an entry without a shutdown, as a crash does.
func (f *Fleet) crashEntry(n int) {
	f.mu.Lock()
	vm := f.entries[n]
	vm.crashed = true
	f.mu.Unlock()
	vm.gateway.Abort()
}

// aliveEntry returns the first entry, from index n on, that has not crashed. It returns entry n if all
// entries have crashed.
func (f *Fleet) aliveEntry(n int) *entryVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.entries {
		if vm := f.entries[(n+i)%len(f.entries)]; !vm.crashed {
			return vm
		}
	}
	return f.entries[n%len(f.entries)]
}

// directoryAddresses returns the entry addresses that the directory of an alive entry lists for callers.
func (f *Fleet) directoryAddresses() []string {
	return f.aliveEntry(0).gateway.Entries("z").Addresses
}

// Close stops the entries, agents and stand-ins.
func (f *Fleet) Close() {
	f.cancel()
	for _, vm := range f.entries {
		if !vm.crashed {
			vm.gateway.Abort()
		}
	}
	for _, a := range f.agents {
		if err := a.Shutdown(context.Background()); err != nil {
			f.log.Error(err, "failed to shut down agent")
		}
	}
	f.tasks.Wait()
}

// sleep waits for d. It returns false if ctx ends first.
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

func decimal(n int) string { return strconv.Itoa(n) }
