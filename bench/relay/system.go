package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"github.com/heatherrail/heatherrail/agent"
	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/entry"
	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/settings"
)

const (
	serviceName  = "model"
	targetName   = "model-01"
	loopback     = "127.0.0.1:0"
	queueLimit   = 16384
	readyTimeout = 10 * time.Second
)

// system consists of a stand-in, its agent and an entry.
type system struct {
	standin *standin
	server  *fake.Server
	agent   *agent.Agent
	entry   *entry.Entry
}

func startSystem() (*system, error) {
	s := &system{standin: &standin{base: time.Now(), disconnects: make(chan time.Duration, 1)}}
	if err := s.start(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *system) start() (err error) {
	if s.server, err = fake.Serve(s.standin); err != nil {
		return err
	}
	backend := outside.NewHTTPBackend(s.server.Addr)
	backend.RequireDone = true
	s.agent, err = agent.Start(agent.Options{
		Settings:    settings.Agent{Target: targetName, Listen: loopback, Backend: s.server.Addr, Kind: settings.KindEngine, Queue: queueLimit},
		Backend:     backend,
		Logger:      logr.Discard(),
		Metrics:     metrics.New(),
		Incarnation: 1,
	})
	if err != nil {
		return fmt.Errorf("start agent: %w", err)
	}
	log, vms, err := s.platform()
	if err != nil {
		return err
	}
	s.entry, err = entry.Start(entry.Options{
		Settings:    settings.Entry{Name: "entry-1", Callers: loopback, Listen: loopback, MaxBody: 1 << 20, MaxCallers: queueLimit, DirectoryTTL: time.Second},
		Log:         log,
		VMs:         vms,
		Logger:      logr.Discard(),
		Metrics:     metrics.New(),
		Incarnation: 1,
	})
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	return s.awaitReady()
}

// platform returns a log with the configuration and a VM list with the agent.
func (s *system) platform() (outside.Log, outside.VMList, error) {
	cfg, err := config.Load(map[string]string{"bench.ini": fmt.Sprintf(
		"[fleet model]\nkind = engine\n[target %s]\nfleet = model\ndata-centre = a\n[service %s]\nfleet = model\nmodel = m\n[team bench]\nkey-hash = %s\nservices = %s\n",
		targetName, serviceName, config.HashKey(benchKey), serviceName)})
	if err != nil {
		return nil, nil, err
	}
	raw, err := config.NewChange("bench", 0, cfg)
	if err != nil {
		return nil, nil, err
	}
	log, vms := fake.NewLog(), fake.NewVMList(0)
	if _, err := log.Append(context.Background(), [][]byte{raw}); err != nil {
		return nil, nil, fmt.Errorf("append configuration: %w", err)
	}
	vms.Put(outside.VM{ID: "1", Name: targetName, Role: outside.RoleTarget, Address: s.agent.Addr(), State: outside.StateLive})
	return log, vms, nil
}

// awaitReady waits until the entry has a configuration and a connection to the agent.
func (s *system) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if s.entry.Current() != nil && s.entry.Linked() == 1 {
			return nil
		}
	}
	return errors.New("the entry did not connect to the agent in time")
}

func (s *system) close() {
	if s.entry != nil {
		s.entry.Close()
	}
	if s.agent != nil {
		s.agent.Close()
	}
	if s.server != nil {
		s.server.Close()
	}
}
