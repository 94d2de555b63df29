package main

import (
	"context"
	"fmt"
	"time"
)

type drainCommand struct {
	platformFlags
	Undo bool          `long:"undo" description:"take it back into service"`
	Wait time.Duration `long:"wait" default:"0s" description:"how long to wait until nothing is in flight there"`
	Args struct {
		Name string `positional-arg-name:"NAME" description:"entry or target"`
	} `positional-args:"yes" required:"yes"`
}

const drainPollInterval = 500 * time.Millisecond

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	_, client, err := c.open()
	if err != nil {
		return &exitError{exitUsage, err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout+c.Wait)
	defer cancel()
	deadline := time.Now().Add(c.Wait)
	for {
		a, err := client.Drain(ctx, c.Args.Name, c.Undo)
		if err != nil {
			return err
		}
		if c.Undo {
			fmt.Printf("%s is back in service\n", c.Args.Name)
			return nil
		}
		if a.Status.InFlight == 0 || time.Now().After(deadline) {
			fmt.Printf("%s takes no new work, %d requests in flight\n", c.Args.Name, a.Status.InFlight)
			return nil
		}
		time.Sleep(drainPollInterval)
	}
}
