package main

import (
	"fmt"
	"os"
	"strconv"

	"github.com/jessevdk/go-flags"

	"github.com/heatherrail/heatherrail/bench"
)

type benchAll struct {
	benchFlags
	Runs int      `long:"runs" default:"5" description:"runs of each bench"`
	Only []string `long:"only" description:"bench to run; may be given several times"`
}

// Execute implements flags.Commander.
func (b *benchAll) Execute([]string) error {
	names, err := benchNames(b.Only)
	if err != nil {
		return err
	}
	var set bench.Set
	reportSink = func(r *bench.Report) { set.Reports = append(set.Reports, r) }
	defer func() { reportSink = nil }()
	for i := range b.Runs {
		for _, name := range names {
			fmt.Fprintf(os.Stderr, "run %d of %d: %s\n", i+1, b.Runs, name)
			if err := runBench(name, b.Seed+uint64(i)); err != nil {
				return fmt.Errorf("bench %s: %w", name, err)
			}
		}
	}
	return set.Write(os.Stdout, b.Output)
}

// benchNames checks the names in only and returns them, or the names of all benchmarks if only is
// empty. It fails for an unknown name.
func benchNames(only []string) ([]string, error) {
	known := make(map[string]bool)
	var names []string
	for _, c := range newParser(new(options)).Find("bench").Commands() {
		if c.Name != "all" && c.Name != "compare" {
			known[c.Name] = true
			names = append(names, c.Name)
		}
	}
	if len(only) == 0 {
		return names, nil
	}
	for _, name := range only {
		if !known[name] {
			return nil, fmt.Errorf("unknown bench %q, known are %v", name, names)
		}
	}
	return only, nil
}

// runBench runs one benchmark with a seed and otherwise the defaults of its command.
func runBench(name string, seed uint64) error {
	_, err := newParser(new(options)).ParseArgs([]string{"bench", name, "--seed", strconv.FormatUint(seed, 10)})
	return err
}

func newParser(o *options) *flags.Parser {
	return flags.NewParser(o, flags.HelpFlag|flags.PassDoubleDash)
}
