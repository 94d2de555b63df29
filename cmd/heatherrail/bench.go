package main

import (
	"fmt"
	"os"

	"github.com/heatherrail/heatherrail/bench"
)

// benchCommand groups the benchmarks as subcommands.
type benchCommand struct {
	Expert   benchExpertCommand `command:"expert" description:"expert maps: skew, bytes moved and planner time against the baselines"`
	Outcomes benchOutcomes      `command:"outcomes" description:"what callers are told under faults, and what at most once costs"`
	All      benchAll           `command:"all" description:"run all benches, several times each, and print one file of reports"`
	Compare  benchCompare       `command:"compare" description:"medians and spread of two files of bench all"`
	Load     benchLoadCommand   `command:"load" description:"loads against an emulated group of lock-step engines, by policy, in virtual time"`
	Place    benchPlaceCommand  `command:"place" description:"placement, overload and fairness, in virtual time"`
	Relay    benchRelay         `command:"relay" description:"what entry and agent add to a streamed answer"`
}

// benchFlags are the flags shared by all benchmarks.
type benchFlags struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"format of the report"`
	Seed   uint64 `long:"seed" default:"1" description:"seed of everything random"`
}

// reportSink, if set, receives the benchmark reports instead of standard output. "bench all"
// sets reportSink while it runs.
var reportSink func(*bench.Report)

// print writes a report to standard output, or passes it to reportSink if that is set.
func (f *benchFlags) print(r *bench.Report) error {
	if reportSink != nil {
		reportSink(r)
		return nil
	}
	if err := r.Write(os.Stdout, f.Output); err != nil {
		return fmt.Errorf("bench %s: %w", r.Bench, err)
	}
	return nil
}
