package main

import (
	"context"
	"fmt"
	"os"

	"github.com/heatherrail/heatherrail/config"
)

// exitError is an error that sets the exit code of the program.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// errDifferences has no text, because the diff command has already printed the differences.
var errDifferences = fmt.Errorf("")

type diffCommand struct {
	platformFlags
	Args struct {
		Dir string `positional-arg-name:"DIR" description:"directory of .ini files"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. The exit codes are those of diff(1): 0 for no difference, 1
// for differences, 2 for an error.
func (c *diffCommand) Execute([]string) error {
	differs, err := c.printDiff()
	if err != nil {
		return &exitError{exitUsage, err}
	}
	if differs {
		return &exitError{exitFail, errDifferences}
	}
	return nil
}

// printDiff prints the differences between the configuration in the directory and the version
// in force, and returns whether there are any.
func (c *diffCommand) printDiff() (bool, error) {
	cfg, err := config.LoadDir(c.Args.Dir)
	if err != nil {
		return false, err
	}
	op, _, err := c.open()
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	if err := op.Sync(ctx); err != nil {
		return false, err
	}
	var old *config.Config
	version := uint64(0)
	if s := op.Current(); s != nil {
		old, version = s.Config, s.Version
	}
	diffs := config.Diff(old, cfg)
	if len(diffs) == 0 {
		fmt.Printf("no difference to version %d\n", version)
		return false, nil
	}
	fmt.Printf("against version %d:\n", version)
	return true, config.WriteDiff(os.Stdout, diffs)
}
