package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/heatherrail/heatherrail/soak"
)

type soakCommand struct {
	Seed    uint64        `long:"seed" default:"1" description:"decides which faults come and when"`
	For     time.Duration `long:"for" default:"15s" description:"how long it runs"`
	Entries int           `long:"entries" default:"3" description:"gateway processes"`
	Targets int           `long:"targets" default:"3" description:"targets of each of two services"`
	Callers int           `long:"callers" default:"12" description:"callers at the same time"`
	Program string        `long:"program" default:"target/heatherrail-gateway" description:"path of the gateway"`
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	_, err := soak.Run(ctx, soak.Options{
		Program:  c.Program,
		Seed:     c.Seed,
		Duration: c.For,
		Entries:  c.Entries,
		Targets:  c.Targets,
		Callers:  c.Callers,
		Out:      os.Stdout,
	})
	return err
}
