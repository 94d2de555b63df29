package main

import (
	"context"
	"time"

	"github.com/heatherrail/heatherrail/bench/control"
)

type benchControl struct {
	benchFlags
	Nodes   []int         `long:"nodes" default:"8" default:"16" default:"32" default:"64" description:"counts of nodes, in data centres of eight"`
	Centre  []int         `long:"centre" default:"19" default:"32" description:"counts of nodes in one data centre"`
	Teams   []int         `long:"teams" default:"10000" default:"38000" description:"counts of teams"`
	Targets []int         `long:"targets" default:"400" default:"1100" description:"counts of targets"`
	Window  time.Duration `long:"window" default:"5s" description:"of each measurement"`
}

// Execute implements flags.Commander.
func (b *benchControl) Execute([]string) error {
	r, err := control.Run(context.Background(), control.Options{Seed: b.Seed, Nodes: b.Nodes, Centre: b.Centre, Teams: b.Teams, Targets: b.Targets, Window: b.Window})
	if err != nil {
		return err
	}
	return b.print(r)
}
