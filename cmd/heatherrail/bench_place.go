package main

import (
	"fmt"

	"github.com/heatherrail/heatherrail/bench/place"
)

type benchPlaceCommand struct {
	benchFlags
}

// Execute implements flags.Commander.
func (c *benchPlaceCommand) Execute([]string) error {
	report, err := place.Run(c.Seed)
	if err != nil {
		return fmt.Errorf("bench place: %w", err)
	}
	return c.print(report)
}
