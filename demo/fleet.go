// Package demo starts a whole small system in one process: stand-ins, agents and
// entries on loopback ports chosen by the operating system.
package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/ulid/v2"

	"github.com/heatherrail/heatherrail/agent"
	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/entry"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/settings"
)

// Options of a fleet.
type Options struct {
	Config     *config.Config
	Entries    int
	StepTime   time.Duration
	AnswerLife time.Duration
	Arrival    time.Duration // of a request; zero: the entry's default
	Logger     logr.Logger
}

// Fleet is a running system. All of its parts are stopped by Close.
type Fleet struct {
	*Standins
	Entries []*entry.Entry
	Metrics *metrics.Set

	opts    Options
	mu      sync.Mutex
	Agents  map[string]*agent.Agent // by target; the control address may replace some
	vms     map[string]outside.VM   // of the agents, by target
	nextInc uint64
}

const (
	loopback   = "127.0.0.1:0"
	maxCallers = 8192
)

// Start brings everything up and applies the configuration.
func Start(o Options) (*Fleet, error) {
	standins, err := StartStandins(o.Config, o.StepTime)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Standins: standins,
		Metrics:  metrics.New(),
		opts:     o,
		Agents:   make(map[string]*agent.Agent),
		vms:      make(map[string]outside.VM),
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	for _, t := range f.Config.Targets {
		if err := f.startAgent(t); err != nil {
			return err
		}
	}
	for i := range f.opts.Entries {
		if err := f.startEntry(i); err != nil {
			return err
		}
	}
	f.Control.Handle("POST /agents/{name}/{action}", f.controlAgent)
	return f.Apply()
}

func (f *Fleet) incarnation() uint64 {
	f.nextInc++
	return uint64(time.Now().UnixNano()) + f.nextInc
}

// startAgent starts the agent of a target on a VM of its own; it replaces an
// earlier VM of the target.
func (f *Fleet) startAgent(t config.Target) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	addr := f.Targets[t.Name].Server.Addr
	backend := outside.NewHTTPBackend(addr)
	backend.WholeEvents = f.Kind(t) == settings.KindEngine
	a, err := agent.Start(agent.Options{
		Settings: settings.Agent{
			Target:     t.Name,
			DataCentre: t.DataCentre,
			Listen:     loopback,
			Backend:    addr,
			Kind:       f.Kind(t),
			Queue:      4 * maxRunning,
			Slots:      maxRunning,
		},
		Backend:     backend,
		Logger:      f.opts.Logger,
		Metrics:     f.Metrics,
		Incarnation: f.incarnation(),
		Log:         &outside.HTTPLog{Addr: f.Platform},
	})
	if err != nil {
		return fmt.Errorf("start agent: %w", err)
	}
	f.VMs.Remove(f.vms[t.Name].ID)
	f.Agents[t.Name] = a
	f.vms[t.Name] = outside.VM{
		ID:         ulid.Make().String(),
		Name:       t.Name,
		Role:       outside.RoleTarget,
		Address:    a.Addr(),
		DataCentre: t.DataCentre,
		State:      outside.StateLive,
	}
	f.VMs.Put(f.vms[t.Name])
	return nil
}

// Agent returns the agent of a target, nil if there is none.
func (f *Fleet) Agent(target string) *agent.Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Agents[target]
}

// controlAgent lets scenarios kill, replace and drain the agents of this process.
func (f *Fleet) controlAgent(r *http.Request) (any, error) {
	name := r.PathValue("name")
	a := f.Agent(name)
	if a == nil {
		return nil, errNoTarget
	}
	switch r.PathValue("action") {
	case "kill":
		a.Close()
	case "drain":
		a.Drain()
	case "restart":
		return struct{}{}, f.RestartAgent(name)
	default:
		return nil, fmt.Errorf("want kill, drain or restart")
	}
	return struct{}{}, nil
}

// RestartAgent kills the agent of a target and starts another one on a new VM.
func (f *Fleet) RestartAgent(target string) error {
	if a := f.Agent(target); a != nil {
		a.Close()
	}
	for _, t := range f.Config.Targets {
		if t.Name == target {
			return f.startAgent(t)
		}
	}
	return errNoTarget
}

func (f *Fleet) startEntry(i int) error {
	name := fmt.Sprintf("entry-%d", i+1)
	dc := f.Config.Targets[i%len(f.Config.Targets)].DataCentre
	e, err := entry.Start(entry.Options{
		Settings: settings.Entry{
			Name:       name,
			DataCentre: dc,
			Callers:    loopback,
			Listen:     loopback,
			MaxBody:    4 << 20,
			MaxCallers: maxCallers,
			AnswerLife: f.opts.AnswerLife,
			Arrival:    f.opts.Arrival,
		},
		Log:         &outside.HTTPLog{Addr: f.Platform},
		VMs:         &outside.HTTPVMList{Addr: f.Platform},
		Logger:      f.opts.Logger,
		Metrics:     f.Metrics,
		Incarnation: f.incarnation(),
	})
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	f.Entries = append(f.Entries, e)
	f.VMs.Put(outside.VM{
		ID:         ulid.Make().String(),
		Name:       name,
		Role:       outside.RoleEntry,
		Address:    e.PeerAddr(),
		Callers:    e.Addr(),
		DataCentre: dc,
		State:      outside.StateLive,
	})
	return nil
}

// WaitReady returns when every entry has the configuration and every target can
// be reached through it.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for {
		if f.ready() {
			return nil
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("fleet is not ready: %w", ctx.Err())
		}
	}
}

func (f *Fleet) ready() bool {
	for _, e := range f.Entries {
		if !e.Ready() || e.Linked() < len(f.Config.Targets) {
			return false
		}
	}
	return true
}

// Close stops all parts.
func (f *Fleet) Close() {
	for _, e := range f.Entries {
		e.Close()
	}
	f.mu.Lock()
	agents := f.Agents
	f.Agents = make(map[string]*agent.Agent)
	f.mu.Unlock()
	for _, a := range agents {
		a.Close()
	}
	f.Standins.Close()
}
