// Package demo starts a whole small system in one process: stand-ins, agents and
// entries on loopback ports chosen by the operating system.
package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/ulid/v2"

	"github.com/heatherrail/heatherrail/agent"
	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/entry"
	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/platform"
	"github.com/heatherrail/heatherrail/settings"
)

// Options of a fleet.
type Options struct {
	Config     *config.Config
	Entries    int
	StepTime   time.Duration
	AnswerLife time.Duration
	Logger     logr.Logger
}

// Fleet is a running system. All of its parts are stopped by Close.
type Fleet struct {
	Config  *config.Config
	Log     *fake.Log
	VMs     *fake.VMList
	Weights *fake.WeightStore
	Engines map[string]*fake.Engine
	Plains  map[string]*fake.Plain
	Agents  map[string]*agent.Agent
	Entries []*entry.Entry
	Metrics *metrics.Set

	opts     Options
	groups   []*fake.RankGroup
	servers  []*fake.Server
	platform string
	nextInc  uint64
}

const (
	loopback        = "127.0.0.1:0"
	maxRunning      = 64
	weightStoreRate = 1 << 30 // bytes a second
)

// Start brings everything up and applies the configuration.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{
		Config:  o.Config,
		Log:     fake.NewLog(),
		VMs:     fake.NewVMList(0),
		Weights: fake.NewWeightStore(weightStoreRate),
		Engines: make(map[string]*fake.Engine),
		Plains:  make(map[string]*fake.Plain),
		Agents:  make(map[string]*agent.Agent),
		Metrics: metrics.New(),
		opts:    o,
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	srv, err := f.serve(fake.PlatformHandler(f.Log, f.VMs))
	if err != nil {
		return err
	}
	f.platform = srv.Addr
	for _, t := range f.Config.Targets {
		if err := f.startTarget(t); err != nil {
			return err
		}
	}
	f.startGroups()
	for i := range f.opts.Entries {
		if err := f.startEntry(i); err != nil {
			return err
		}
	}
	return f.apply()
}

func (f *Fleet) incarnation() uint64 {
	f.nextInc++
	return uint64(time.Now().UnixNano()) + f.nextInc
}

// backend is a stand-in behind an agent.
func (f *Fleet) startBackend(t config.Target) (platform.Backend, string) {
	for _, fleet := range f.Config.Fleets {
		if fleet.Name == t.Fleet && fleet.Kind == "engine" {
			e := fake.NewEngine(t.Name, f.model(t.Fleet), maxRunning)
			f.Engines[t.Name] = e
			return e, fleet.Kind
		}
	}
	p := fake.NewPlain(t.Name)
	f.Plains[t.Name] = p
	return p, "plain"
}

func (f *Fleet) model(fleet string) string {
	for _, s := range f.Config.Services {
		if s.Fleet == fleet {
			return s.Model
		}
	}
	return ""
}

func (f *Fleet) startTarget(t config.Target) error {
	backend, kind := f.startBackend(t)
	srv, err := f.serve(fake.BackendHandler(backend))
	if err != nil {
		return err
	}
	a, err := agent.Start(agent.Options{
		Settings: settings.Agent{
			Target:     t.Name,
			DataCentre: t.DataCentre,
			Listen:     loopback,
			Backend:    srv.Addr,
			Kind:       kind,
			Queue:      4 * maxRunning,
			Slots:      maxRunning,
		},
		Backend:     platform.NewHTTPBackend(srv.Addr),
		Logger:      f.opts.Logger,
		Metrics:     f.Metrics,
		Incarnation: f.incarnation(),
	})
	if err != nil {
		return fmt.Errorf("start agent: %w", err)
	}
	f.Agents[t.Name] = a
	f.VMs.Put(platform.VM{
		ID:         ulid.Make().String(),
		Name:       t.Name,
		Role:       platform.RoleTarget,
		Address:    a.Addr(),
		DataCentre: t.DataCentre,
		State:      platform.StateLive,
	})
	return nil
}

// startGroups runs the engines of each rank group in lock-step, and engines
// without a group alone.
func (f *Fleet) startGroups() {
	grouped := make(map[string]bool)
	for _, g := range f.Config.Groups {
		var ranks []*fake.Engine
		for _, name := range g.Ranks {
			grouped[name] = true
			ranks = append(ranks, f.Engines[name])
		}
		f.groups = append(f.groups, fake.NewRankGroup(f.opts.StepTime, ranks...))
	}
	for name, e := range f.Engines {
		if !grouped[name] {
			f.groups = append(f.groups, fake.NewRankGroup(f.opts.StepTime, e))
		}
	}
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
			AnswerLife: f.opts.AnswerLife,
		},
		Log:         &platform.HTTPLog{Addr: f.platform},
		VMs:         &platform.HTTPVMList{Addr: f.platform},
		Logger:      f.opts.Logger,
		Metrics:     f.Metrics,
		Incarnation: f.incarnation(),
	})
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	f.Entries = append(f.Entries, e)
	f.VMs.Put(platform.VM{
		ID:         ulid.Make().String(),
		Name:       name,
		Role:       platform.RoleEntry,
		Address:    e.Addr(),
		Callers:    e.Addr(),
		DataCentre: dc,
		State:      platform.StateLive,
	})
	return nil
}

func (f *Fleet) apply() error {
	raw, err := config.NewChange(ulid.Make().String(), 0, f.Config)
	if err != nil {
		return err
	}
	if _, err := f.Log.Append(context.Background(), [][]byte{raw}); err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	return nil
}

func (f *Fleet) serve(h http.Handler) (*fake.Server, error) {
	srv, err := fake.Serve(h)
	if err != nil {
		return nil, err
	}
	f.servers = append(f.servers, srv)
	return srv, nil
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
		if e.Current() == nil || e.Linked() < len(f.Config.Targets) {
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
	for _, a := range f.Agents {
		a.Close()
	}
	for _, g := range f.groups {
		g.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
}
