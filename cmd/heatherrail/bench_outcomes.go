package main

import (
	"github.com/heatherrail/heatherrail/bench"
	"github.com/heatherrail/heatherrail/outcomes"
)

// benchOutcomes runs small systems under faults and checks the results that callers got.
type benchOutcomes struct {
	benchFlags
	Seeds int `long:"seeds" default:"16" description:"runs under faults; each takes about twelve seconds, eight at a time"`
}

// Execute implements flags.Commander.
func (c *benchOutcomes) Execute([]string) error {
	r := bench.NewReport("outcomes", c.Seed)
	if err := outcomes.Bench(r, c.Seeds); err != nil {
		return err
	}
	return c.print(r)
}
