package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/heatherrail/heatherrail/bench"
)

type benchCompare struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"format of the comparison"`
	Args   struct {
		Old string `positional-arg-name:"OLD" description:"file of bench all --output json"`
		New string `positional-arg-name:"NEW" description:"file of bench all --output json"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *benchCompare) Execute([]string) error {
	older, err := readReportSet(c.Args.Old)
	if err != nil {
		return err
	}
	newer, err := readReportSet(c.Args.New)
	if err != nil {
		return err
	}
	return bench.Compare(older, newer).Write(os.Stdout, c.Output)
}

// readReportSet reads a JSON file written by "bench all".
func readReportSet(path string) (*bench.Set, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read reports: %w", err)
	}
	var set bench.Set
	if err := json.Unmarshal(text, &set); err != nil {
		return nil, fmt.Errorf("read reports: %s: %w", path, err)
	}
	return &set, nil
}
