// Package hosted holds what the mains of the programs on the users' machines share:
// settings, log, metrics and the address for peers.
package hosted

import (
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"strconv"

	"github.com/go-logr/logr"

	"github.com/heatherrail/heatherrail/internal/daemon"
	"github.com/heatherrail/heatherrail/internal/tcp"
	"github.com/heatherrail/heatherrail/logging"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/platform"
)

// Process is what a program is given to run with.
type Process struct {
	Settings  *platform.Settings
	Log       logr.Logger
	Metrics   *metrics.Set
	PeersPort string
	PeersAddr string
	Peers     net.Listener
}

// memoryShare: the collector works harder from half of the limit on; the rest is
// for bytes that the kernel holds.
const memoryShare = 2

// metricsPort is the port that the deploy file names for metrics.
const metricsPort = "9464"

// Run sets a process up and runs serve, whose exit code it returns.
func Run(serve func(p *Process) int) int {
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitSettings
	}
	debug.SetMemoryLimit(s.MemoryBytes / memoryShare)
	out := logging.NewAsync(os.Stdout)
	defer out.Close()
	p := &Process{Settings: s, Log: logging.New(out, 0), Metrics: metrics.New(), PeersPort: strconv.Itoa(s.PeerPort)}
	p.PeersAddr = net.JoinHostPort(s.IP, p.PeersPort)
	if p.Peers, err = tcp.Listen(p.PeersAddr); err != nil {
		p.Log.Error(err, "can't listen for peers")
		return daemon.ExitFail
	}
	if _, err := p.Metrics.Serve(net.JoinHostPort(s.IP, metricsPort)); err != nil {
		p.Log.Error(err, "can't serve metrics")
	}
	return serve(p)
}

// Wait waits for the order to stop.
func (p *Process) Wait(s daemon.Service) int {
	return daemon.WaitAndReload(s, p.Settings.ShutdownGrace, func() { platform.LogSettingsChange(p.Log, p.Settings) })
}
