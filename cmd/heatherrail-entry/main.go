// Command heatherrail-entry is the process that callers connect to. It admits requests and
// relays them to the agents next to targets.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/heatherrail/heatherrail/entry"
	"github.com/heatherrail/heatherrail/internal/daemon"
	"github.com/heatherrail/heatherrail/logging"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/settings"
)

func main() { os.Exit(run()) }

// memoryLimitPercent is the soft limit of the Go runtime on its memory, in percent of that held for callers.
const memoryLimitPercent = 150

func run() int {
	f := daemon.Parse("heatherrail-entry admits, places and relays the requests of callers.")
	file, err := settings.LoadEntry(f.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitSettings
	}
	if f.Check {
		fmt.Println("ok")
		return daemon.ExitOK
	}
	debug.SetMemoryLimit(int64(file.Entry.CallerMemory) * memoryLimitPercent / 100)
	ln, err := file.Network.Listen(file.Entry.Listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitFail
	}
	e, err := entry.Start(entry.Options{
		Settings:         file.Entry,
		Dial:             file.Network.Dial,
		PeerListener:     ln,
		Log:              &outside.HTTPLog{Addr: file.Platform.Log},
		VMs:              &outside.HTTPVMList{Addr: file.Platform.VMs},
		Logger:           logging.New(os.Stderr, file.Entry.Verbosity),
		Metrics:          metrics.New(),
		Incarnation:      daemon.Incarnation(),
		SnapshotInterval: file.Platform.SnapshotInterval,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitFail
	}
	return daemon.Wait(e, file.Entry.Grace)
}
