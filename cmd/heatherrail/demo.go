package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/demo"
	"github.com/heatherrail/heatherrail/demo/hosted"
	"github.com/heatherrail/heatherrail/examples"
	"github.com/heatherrail/heatherrail/logging"
)

const (
	demoTimeout      = 20 * time.Second
	demoDirectoryTTL = 30 * time.Second
)

type demoCommand struct {
	Quiet        bool          `long:"quiet" description:"no log lines"`
	Keep         bool          `long:"keep" description:"start the programs of our own form, print one JSON line with all addresses and keys and stay up until interrupted"`
	StandinsOnly bool          `long:"standins-only" description:"like --keep, but start the stand-ins alone, for entries and agents in processes of their own"`
	NoApply      bool          `long:"no-apply" description:"with --standins-only: leave the log empty"`
	Example      string        `long:"example" default:"clarach" choice:"clarach" choice:"qazbake" description:"with --keep or --standins-only: configuration to apply"`
	Entries      int           `long:"entries" default:"3" description:"with --keep: entries to start"`
	Step         time.Duration `long:"step" default:"5ms" description:"with --keep or --standins-only: time of an engine's step"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	switch {
	case c.StandinsOnly:
		return c.startStandins()
	case c.Keep:
		return c.startAndWait()
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	return hosted.Run(ctx, c.logger(), os.Stdout)
}

func (c *demoCommand) logger() logr.Logger {
	if c.Quiet {
		return logr.Discard()
	}
	return logging.New(os.Stderr, 0)
}

// startAndWait starts entries and agents in front of stand-ins, and waits for a signal. They are those
// of heatherrail-entry and heatherrail-agent, not of the hosted deployment.
func (c *demoCommand) startAndWait() error {
	cfg, err := exampleConfig(c.Example)
	if err != nil {
		return err
	}
	f, err := demo.Start(demo.Options{
		Config:       cfg,
		Entries:      c.Entries,
		StepTime:     c.Step,
		DirectoryTTL: demoDirectoryTTL,
		Logger:       c.logger(),
	})
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	return describeAndWait(f.Describe())
}

func exampleConfig(name string) (*config.Config, error) {
	files, err := examples.Files(name)
	if err != nil {
		return nil, err
	}
	return config.Load(files)
}

// startStandins starts the stand-ins without entries and agents, and waits for a signal.
func (c *demoCommand) startStandins() error {
	cfg, err := exampleConfig(c.Example)
	if err != nil {
		return err
	}
	s, err := demo.StartStandins(cfg, c.Step)
	if err != nil {
		return err
	}
	defer s.Close()
	if !c.NoApply {
		if err := s.Apply(); err != nil {
			return err
		}
	}
	return describeAndWait(s.Describe())
}

// describeAndWait prints the description of a fleet, and returns after SIGTERM or SIGINT.
func describeAndWait(d demo.Description) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := d.Write(os.Stdout); err != nil {
		return err
	}
	<-signals
	return nil
}
