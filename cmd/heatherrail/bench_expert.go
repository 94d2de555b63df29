package main

import (
	"github.com/heatherrail/heatherrail/bench"
)

type benchExpertCommand struct {
	benchFlags
}

// Execute implements flags.Commander.
func (c *benchExpertCommand) Execute([]string) error {
	return c.print(bench.Expert(c.Seed))
}
