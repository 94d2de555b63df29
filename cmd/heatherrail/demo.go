package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/demo"
	"github.com/heatherrail/heatherrail/examples"
	"github.com/heatherrail/heatherrail/logging"
)

const (
	demoLimit    = 10 * time.Second
	demoLifetime = 30 * time.Second
)

type demoCommand struct {
	Example      string        `long:"example" default:"clarach" choice:"clarach" choice:"qazbake" description:"configuration to apply"`
	Entries      int           `long:"entries" default:"3" description:"entries to start"`
	Step         time.Duration `long:"step" default:"5ms" description:"time of an engine's step"`
	Keep         bool          `long:"keep" description:"print one JSON line with all addresses and keys and stay up until interrupted"`
	StandinsOnly bool          `long:"standins-only" description:"like --keep, but start the stand-ins alone, for entries and agents in processes of their own"`
	NoApply      bool          `long:"no-apply" description:"with --standins-only: leave the log empty"`
	Quiet        bool          `long:"quiet" description:"no log lines"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	cfg, err := exampleConfig(c.Example)
	if err != nil {
		return err
	}
	if c.StandinsOnly {
		return c.standins(cfg)
	}
	if !c.Keep {
		demo.QuickPlans(cfg)
	}
	verbosity := 0
	if c.Quiet {
		verbosity = -1
	}
	f, err := demo.Start(demo.Options{
		Config:     cfg,
		Entries:    c.Entries,
		StepTime:   c.Step,
		AnswerLife: demoLifetime,
		Logger:     logging.New(os.Stderr, verbosity),
	})
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), demoLimit)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	if c.Keep {
		return keep(f.Describe())
	}
	if err := demo.Run(ctx, f, os.Stdout); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return nil
}

func exampleConfig(name string) (*config.Config, error) {
	files, err := examples.Files(name)
	if err != nil {
		return nil, err
	}
	return config.Load(files)
}

func (c *demoCommand) standins(cfg *config.Config) error {
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
	return keep(s.Describe())
}

// keep prints the description and waits for a signal.
func keep(d demo.Description) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := d.Write(os.Stdout); err != nil {
		return err
	}
	<-signals
	return nil
}
