package main

import (
	"os"

	"github.com/heatherrail/heatherrail/losses"
)

type lossesCommand struct {
	Output string `long:"output" choice:"text" choice:"json" choice:"svg" default:"text" description:"format of the report"`
}

// Execute implements flags.Commander.
func (c *lossesCommand) Execute([]string) error {
	l, err := losses.Read(os.Stdin)
	if err != nil {
		return err
	}
	r := l.Report()
	switch c.Output {
	case "json":
		return r.WriteJSON(os.Stdout)
	case "svg":
		return r.WriteSVG(os.Stdout)
	}
	return r.WriteText(os.Stdout)
}
