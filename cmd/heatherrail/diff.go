package main

import (
	"context"
	"fmt"
	"os"

	"github.com/heatherrail/heatherrail/config"
)

// exitError ends the tool with an exit code of its own.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// errDiffers has no text: the differences were printed.
var errDiffers = fmt.Errorf("")

type diffCommand struct {
	platformFlags
	Args struct {
		Dir string `positional-arg-name:"DIR" description:"directory of .ini files"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. The exit code is that of diff: 0 for no
// difference, 1 for some, 2 for trouble.
func (c *diffCommand) Execute([]string) error {
	differs, err := c.run()
	if err != nil {
		return &exitError{exitUsage, err}
	}
	if differs {
		return &exitError{exitFail, errDiffers}
	}
	return nil
}

func (c *diffCommand) run() (bool, error) {
	cfg, err := config.LoadDir(c.Args.Dir)
	if err != nil {
		return false, err
	}
	op, _, err := c.open()
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	if err := op.Sync(ctx); err != nil {
		return false, err
	}
	var old *config.Config
	version := uint64(0)
	if s := op.Current(); s != nil {
		old, version = s.Config, s.Version
	}
	ds := config.Diff(old, cfg)
	if len(ds) == 0 {
		fmt.Printf("no difference to version %d\n", version)
		return false, nil
	}
	fmt.Printf("against version %d:\n", version)
	return true, config.WriteDiff(os.Stdout, ds)
}
