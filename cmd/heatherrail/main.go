// Command heatherrail is the operators' tool.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK    = 0
	exitFail  = 1
	exitUsage = 2
)

type options struct {
	Demo    demoCommand    `command:"demo" description:"start a whole small system on loopback and send requests through it"`
	Check   checkCommand   `command:"check" description:"check configuration files without applying them"`
	Bench   benchCommand   `command:"bench" description:"measure this build; each bench compares within one run"`
	Version versionCommand `command:"version" description:"print the version"`
}

func main() {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "heatherrail routes requests to groups of expert-parallel model engines and the plain services beside them."
	os.Exit(run(parser))
}

func run(parser *flags.Parser) int {
	_, err := parser.Parse()
	var fe *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(err)
		return exitOK
	case errors.As(err, &fe):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, err)
		return exitFail
	}
}
