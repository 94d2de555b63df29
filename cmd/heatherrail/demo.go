package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/demo"
	"github.com/heatherrail/heatherrail/examples"
	"github.com/heatherrail/heatherrail/logging"
)

const (
	demoEntries  = 3
	demoStep     = 5 * time.Millisecond
	demoLimit    = 10 * time.Second
	demoLifetime = 30 * time.Second
	demoVerbose  = 0
)

type demoCommand struct {
	Quiet bool `long:"quiet" description:"no log lines"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	files, err := examples.Files(examples.Clarach)
	if err != nil {
		return err
	}
	cfg, err := config.Load(files)
	if err != nil {
		return err
	}
	verbosity := demoVerbose
	if c.Quiet {
		verbosity = -1
	}
	f, err := demo.Start(demo.Options{
		Config:     cfg,
		Entries:    demoEntries,
		StepTime:   demoStep,
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
	if err := demo.Run(ctx, f, os.Stdout); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return nil
}
