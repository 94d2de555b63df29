package main

import (
	"os"

	"github.com/heatherrail/heatherrail/story"
)

type storyCommand struct {
	Args struct {
		Request string `positional-arg-name:"REQUEST" description:"id of the request"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *storyCommand) Execute([]string) error {
	s, err := story.Read(os.Stdin, c.Args.Request)
	if err != nil {
		return err
	}
	return s.Write(os.Stdout)
}
