package main

import (
	"fmt"
	"os"

	"github.com/heatherrail/heatherrail/bench"
)

// benchCommand groups the benches; each bench has a file of its own.
type benchCommand struct {
	Relay benchRelay `command:"relay" description:"what entry and agent add to a streamed answer"`
}

// benchFlags are the flags that all benches share.
type benchFlags struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"format of the report"`
	Seed   uint64 `long:"seed" default:"1" description:"seed of everything random"`
}

// print writes a report to standard output.
func (f *benchFlags) print(r *bench.Report) error {
	if err := r.Write(os.Stdout, f.Output); err != nil {
		return fmt.Errorf("bench %s: %w", r.Bench, err)
	}
	return nil
}
