// Command standin runs the cases of the review against the programs of the deploy file.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	usage        = "usage: standin CASE FOLDER"
	troubleName  = "TROUBLE"
	troubleOff   = "0"
	recordedFile = "record.txt"
	maxCaseTime  = 110 * time.Second
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(exitNotRun)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(exitNotRun)
	}
	// The gateway is killed with the thread that started it.
	runtime.LockOSThread()
	time.AfterFunc(maxCaseTime, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(exitNotRun)
	})
	os.Exit(runCase(run, os.Args[2], os.Getenv(troubleName) != troubleOff))
}

var cases = map[string]caseFunc{}
