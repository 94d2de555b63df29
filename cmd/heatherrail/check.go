package main

import (
	"fmt"

	"github.com/heatherrail/heatherrail/config"
)

type checkCommand struct {
	Args struct {
		Dir string `positional-arg-name:"DIR" description:"directory of .ini files"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	cfg, err := config.LoadDir(c.Args.Dir)
	if err != nil {
		return err
	}
	fmt.Printf("ok: %d fleets, %d targets, %d services, %d teams, digest %016x\n",
		len(cfg.Fleets), len(cfg.Targets), len(cfg.Services), len(cfg.Teams), config.Digest(cfg))
	return nil
}
