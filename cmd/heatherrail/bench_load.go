package main

import (
	"fmt"
	"os"

	"github.com/heatherrail/heatherrail/bench/group"
)

// benchLoadCommand runs load patterns against a simulated group of engines.
type benchLoadCommand struct {
	benchFlags
	Seeds   int    `long:"seeds" default:"3" description:"plays of each pattern and policy; the report has their means"`
	Pattern string `long:"pattern" description:"name of one pattern; default: all"`
	Shape   string `long:"shape" description:"name of one group; default: all"`
	Plot    string `long:"plot" value-name:"FILE" description:"write worth against load as SVG"`
}

// Execute implements flags.Commander.
func (c *benchLoadCommand) Execute([]string) error {
	report, err := group.Run(group.Options{Seed: c.Seed, Seeds: c.Seeds, Pattern: c.Pattern, Shape: c.Shape})
	if err != nil {
		return fmt.Errorf("bench load: %w", err)
	}
	if c.Plot != "" {
		if err := os.WriteFile(c.Plot, []byte(group.Plot(c.Seed, c.Seeds)), 0o644); err != nil {
			return fmt.Errorf("bench load: %w", err)
		}
	}
	return c.print(report)
}
