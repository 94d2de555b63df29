// Package demo starts a complete small system in one process: stand-ins, agents and
// entries, each on a loopback port that the operating system chooses.
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

// Options configure a fleet.
type Options struct {
	Config         *config.Config
	Entries        int           // number of entries
	StepTime       time.Duration // duration of one engine step
	DirectoryTTL   time.Duration // TTL of the list of entries that callers read
	RequestTimeout time.Duration // timeout for receiving a whole request; 0: the default of the entry
	Logger         logr.Logger
}

// Fleet is a running system. Close stops all of its parts.
type Fleet struct {
	*Standins
	Entries []*entry.Entry
	Metrics *metrics.Set

	opts         Options
	mu           sync.Mutex
	Agents       map[string]*agent.Agent // by target; requests to the control address may replace agents
	agentVMs     map[string]outside.VM   // VMs of the agents, by target
	incarnations uint64
}

const (
	loopback   = "127.0.0.1:0"
	maxCallers = 8192
)

// Start starts the stand-ins, agents and entries of a fleet, and applies the configuration.
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
		agentVMs: make(map[string]outside.VM),
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

// nextIncarnation returns an incarnation number that is greater than all earlier ones.
func (f *Fleet) nextIncarnation() uint64 {
	f.incarnations++
	return uint64(time.Now().UnixNano()) + f.incarnations
}

// startAgent starts the agent of a target on a new VM and removes the previous VM of the
// target from the VM list.
func (f *Fleet) startAgent(t config.Target) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	addr := f.Targets[t.Name].Server.Addr
	backend := outside.NewHTTPBackend(addr)
	backend.RequireDone = f.Kind(t) == settings.KindEngine
	a, err := agent.Start(agent.Options{
		Settings: settings.Agent{
			Target:     t.Name,
			DataCentre: t.DataCentre,
			Listen:     loopback,
			Backend:    addr,
			Kind:       f.Kind(t),
			Queue:      4 * engineSlots,
			Slots:      engineSlots,
		},
		Backend:     backend,
		Logger:      f.opts.Logger,
		Metrics:     f.Metrics,
		Incarnation: f.nextIncarnation(),
		Log:         &outside.HTTPLog{Addr: f.Platform},
	})
	if err != nil {
		return fmt.Errorf("start agent: %w", err)
	}
	f.VMs.Remove(f.agentVMs[t.Name].ID)
	f.Agents[t.Name] = a
	f.agentVMs[t.Name] = outside.VM{
		ID:         ulid.Make().String(),
		Name:       t.Name,
		Role:       outside.RoleTarget,
		Address:    a.Addr(),
		DataCentre: t.DataCentre,
		State:      outside.StateLive,
	}
	f.VMs.Put(f.agentVMs[t.Name])
	return nil
}

// Agent returns the agent of a target, or nil if there is none.
func (f *Fleet) Agent(target string) *agent.Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Agents[target]
}

// controlAgent handles a request to the control address to kill, restart or drain an agent.
func (f *Fleet) controlAgent(r *http.Request) (any, error) {
	name := r.PathValue("name")
	a := f.Agent(name)
	if a == nil {
		return nil, errUnknownTarget
	}
	switch r.PathValue("action") {
	case "kill":
		a.Close()
	case "drain":
		a.Drain()
	case "restart":
		return struct{}{}, f.RestartAgent(name)
	default:
		return nil, fmt.Errorf("unknown action: want kill, drain or restart")
	}
	return struct{}{}, nil
}

// RestartAgent closes the agent of a target and starts another one on a new VM.
func (f *Fleet) RestartAgent(target string) error {
	if a := f.Agent(target); a != nil {
		a.Close()
	}
	for _, t := range f.Config.Targets {
		if t.Name == target {
			return f.startAgent(t)
		}
	}
	return errUnknownTarget
}

func (f *Fleet) startEntry(i int) error {
	name := fmt.Sprintf("entry-%d", i+1)
	dc := f.Config.Targets[i%len(f.Config.Targets)].DataCentre
	e, err := entry.Start(entry.Options{
		Settings: settings.Entry{
			Name:           name,
			DataCentre:     dc,
			Callers:        loopback,
			Listen:         loopback,
			MaxBody:        4 << 20,
			MaxCallers:     maxCallers,
			DirectoryTTL:   f.opts.DirectoryTTL,
			RequestTimeout: f.opts.RequestTimeout,
		},
		Log:         &outside.HTTPLog{Addr: f.Platform},
		VMs:         &outside.HTTPVMList{Addr: f.Platform},
		Logger:      f.opts.Logger,
		Metrics:     f.Metrics,
		Incarnation: f.nextIncarnation(),
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

// WaitReady waits until every entry is ready and connected to every target. It fails when ctx
// ends first.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for {
		if f.isReady() {
			return nil
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("fleet is not ready: %w", ctx.Err())
		}
	}
}

func (f *Fleet) isReady() bool {
	for _, e := range f.Entries {
		if !e.Ready() || e.Linked() < len(f.Config.Targets) {
			return false
		}
	}
	return true
}

// Close stops entries, agents and stand-ins.
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
