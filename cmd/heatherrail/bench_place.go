package main

import "github.com/heatherrail/heatherrail/bench/place"

type benchPlaceCommand struct {
	benchFlags
}

// Execute implements flags.Commander.
func (c *benchPlaceCommand) Execute([]string) error {
	return c.print(place.Run(c.Seed))
}
