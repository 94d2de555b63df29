package main

import (
	"fmt"

	"github.com/heatherrail/heatherrail/wire"
)

// version is the version of the next release.
const version = "0.1.0-dev"

type versionCommand struct{}

// Execute implements flags.Commander.
func (*versionCommand) Execute([]string) error {
	fmt.Printf("heatherrail %s, wire schema %d to %d\n", version, wire.OldestSchema, wire.SchemaVersion)
	return nil
}
