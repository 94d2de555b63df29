// Command heatherrail is the command-line tool for operators.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes that all commands share.
const (
	exitOK    = 0
	exitFail  = 1
	exitUsage = 2
)

type options struct {
	Demo    demoCommand    `command:"demo" description:"start a whole small system on loopback and send requests through it"`
	Check   checkCommand   `command:"check" description:"check configuration files without applying them"`
	Diff    diffCommand    `command:"diff" description:"compare configuration files with the version in force; exit status as of diff"`
	Apply   applyCommand   `command:"apply" description:"put configuration files in force, whole or not at all"`
	Status  statusCommand  `command:"status" description:"show versions, leases and targets of all processes"`
	Drain   drainCommand   `command:"drain" description:"take an entry or a target out of service"`
	Story   storyCommand   `command:"story" description:"read logs of any number of processes from standard input and tell what became of one request"`
	Losses  lossesCommand  `command:"losses" description:"read logs of any number of processes from standard input and put each late, refused or failed request down to its cause"`
	Soak    soakCommand    `command:"soak" description:"run real processes under random faults and check what is promised"`
	Bench   benchCommand   `command:"bench" description:"measure this build; each bench compares within one run"`
	Version versionCommand `command:"version" description:"print the version"`
}

// programHelp is the long description in the output of --help.
const programHelp = `heatherrail routes requests to groups of expert-parallel model engines and the plain services beside them. This is its operators' tool.

First steps, without any set-up: "heatherrail demo" sends requests through a whole small system; "heatherrail demo --keep" leaves it up.

Configuration is a directory of INI files: "check DIR" reads it, "diff DIR" compares it with what is in force, "apply DIR" puts it in force as a whole or not at all. "status" and "drain NAME" work on the running system. These read the platform's addresses and the keys from heatherrail.ini, or from the file that --settings names.

Exit status: 0 done; 1 failed; 2 wrong usage, settings or configuration; others are named by the command's own help. docs/OPERATING.md has the first fleet step by step.`

func main() {
	var o options
	parser := newParser(&o)
	parser.LongDescription = programHelp
	os.Exit(run(parser))
}

func run(parser *flags.Parser) int {
	_, err := parser.Parse()
	var flagsErr *flags.Error
	var exitErr *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exitErr):
		if text := exitErr.Error(); text != "" {
			fmt.Fprintln(os.Stderr, text)
		}
		return exitErr.code
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
		return exitOK
	case errors.As(err, &flagsErr):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, err)
		return exitFail
	}
}
