package main

import (
	"fmt"
	"os"

	"github.com/heatherrail/heatherrail/bench"
)

type benchExpertCommand struct {
	benchFlags
	Plot string `long:"plot" value-name:"FILE" description:"write the curve of skew against bytes moved as SVG"`
}

const plotFileMode = 0o644

// Execute implements flags.Commander.
func (c *benchExpertCommand) Execute([]string) error {
	report, curve := bench.Expert(c.Seed)
	if c.Plot != "" {
		if err := os.WriteFile(c.Plot, []byte(curve), plotFileMode); err != nil {
			return fmt.Errorf("bench expert: %w", err)
		}
	}
	return c.print(report)
}
