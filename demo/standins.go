package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/internal/fake"
)

// Standins holds the stand-ins for the platform and for all targets that a configuration
// declares. Each stand-in listens on a loopback port of its own.
type Standins struct {
	Config  *config.Config
	Log     *fake.Log
	VMs     *fake.VMList
	Weights *fake.WeightStore
	Engines map[string]*fake.Engine
	Plains  map[string]*fake.Plain
	Targets map[string]*fake.TargetServer
	Control *fake.Control

	Platform    string // address of the log service and the VM list
	ControlAddr string // address for requests that inject faults

	singleEngines []*fake.RankGroup // engines outside the rank groups, each in a group of its own
	// LockSteps holds the rank groups by name.
	LockSteps map[string]*fake.LockStep
	servers   []*fake.Server
}

const (
	engineSlots               = 64
	weightStoreBytesPerSecond = 1 << 30 // 1 GiB/s
)

// StartStandins starts the stand-ins. stepTime is the duration of an engine step.
func StartStandins(cfg *config.Config, stepTime time.Duration) (*Standins, error) {
	s := &Standins{
		Config:  cfg,
		Log:     fake.NewLog(),
		VMs:     fake.NewVMList(0),
		Weights: fake.NewWeightStore(weightStoreBytesPerSecond),
		Engines: make(map[string]*fake.Engine),
		Plains:  make(map[string]*fake.Plain),
		Targets: make(map[string]*fake.TargetServer),
		Control: fake.NewControl(),

		LockSteps: make(map[string]*fake.LockStep),
	}
	if err := s.start(stepTime); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Standins) start(stepTime time.Duration) error {
	srv, err := s.serve(fake.PlatformHandler(s.Log, s.VMs))
	if err != nil {
		return err
	}
	s.Platform = srv.Addr
	for _, t := range s.Config.Targets {
		if err := s.startTarget(t); err != nil {
			return err
		}
	}
	s.startRankGroups(stepTime)
	s.Control.AddLog(s.Log)
	s.Control.AddVMs(s.VMs)
	s.Control.AddGroups(s.LockSteps)
	s.Control.AddTargets(s.Targets)
	srv, err = s.serve(s.Control)
	if err != nil {
		return err
	}
	s.ControlAddr = srv.Addr
	return nil
}

func (s *Standins) serve(h http.Handler) (*fake.Server, error) {
	srv, err := fake.Serve(h)
	if err != nil {
		return nil, err
	}
	s.servers = append(s.servers, srv)
	return srv, nil
}

// Kind returns the kind of the fleet that a target belongs to, or "" if the configuration has
// no such fleet.
func (s *Standins) Kind(t config.Target) string {
	for _, fleet := range s.Config.Fleets {
		if fleet.Name == t.Fleet {
			return fleet.Kind
		}
	}
	return ""
}

func (s *Standins) startTarget(t config.Target) (err error) {
	if s.Kind(t) == "engine" {
		e := fake.NewEngine(t.Name, s.modelOfFleet(t.Fleet), engineSlots)
		s.Engines[t.Name] = e
		s.Targets[t.Name], err = fake.ServeTarget(t.Name, e)
	} else {
		p := fake.NewPlain(t.Name)
		s.Plains[t.Name] = p
		s.Targets[t.Name], err = fake.ServeTarget(t.Name, p)
	}
	if err == nil {
		s.servers = append(s.servers, s.Targets[t.Name].Server)
	}
	return err
}

// modelOfFleet returns the model of the first service that uses the fleet.
func (s *Standins) modelOfFleet(fleet string) string {
	for _, svc := range s.Config.Services {
		if svc.Fleet == fleet {
			return svc.Model
		}
	}
	return ""
}

// startRankGroups runs the engines of each rank group in lock-step, and every other engine alone.
func (s *Standins) startRankGroups(stepTime time.Duration) {
	grouped := make(map[string]bool)
	for _, g := range s.Config.Groups {
		var ranks []*fake.Engine
		for _, name := range g.Ranks {
			grouped[name] = true
			ranks = append(ranks, s.Engines[name])
		}
		shape := expert.Shape{Ranks: len(ranks), Layers: g.Layers, Experts: g.Experts, SlotsOfRank: g.Slots / len(ranks)}
		s.LockSteps[g.Name] = fake.NewLockStep(stepTime, shape, s.Weights, ranks...)
	}
	for name, e := range s.Engines {
		if !grouped[name] {
			s.singleEngines = append(s.singleEngines, fake.NewRankGroup(stepTime, e))
		}
	}
}

// Apply appends the configuration to the stand-in log as the first version.
func (s *Standins) Apply() error {
	raw, err := config.NewChange(ulid.Make().String(), 0, s.Config)
	if err != nil {
		return err
	}
	if _, err := s.Log.Append(context.Background(), [][]byte{raw}); err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	return nil
}

// errUnknownTarget is returned for targets that the configuration does not declare.
var errUnknownTarget = errors.New("no such target")

// Close stops all stand-ins.
func (s *Standins) Close() {
	for _, g := range s.singleEngines {
		g.Close()
	}
	for _, g := range s.LockSteps {
		g.Close()
	}
	for _, srv := range s.servers {
		srv.Close()
	}
	s.Control.Close()
}
