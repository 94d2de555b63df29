package main

import (
	"context"
	"time"

	"github.com/heatherrail/heatherrail/bench/relay"
)

type benchRelay struct {
	benchFlags
	Streams []int         `long:"streams" default:"1" default:"64" default:"1024" description:"counts of concurrent streams"`
	Rounds  int           `long:"rounds" default:"3" description:"rounds of each pair"`
	Time    time.Duration `long:"time" default:"1s" description:"of one half of a pair"`
}

// Execute implements flags.Commander.
func (b *benchRelay) Execute([]string) error {
	r, err := relay.Run(context.Background(), relay.Options{Seed: b.Seed, Streams: b.Streams, Rounds: b.Rounds, Time: b.Time})
	if err != nil {
		return err
	}
	return b.print(r)
}
