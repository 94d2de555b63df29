package main

import (
	_ "embed"
	"strings"
)

// names holds the names of headers of the platform, one on each line: the mark of an engine's answer, and the engine that a
// request is meant for.
//
//go:embed names.txt
var names string

var sealHeader, instanceHeader, _ = strings.Cut(strings.TrimSpace(names), "\n")
