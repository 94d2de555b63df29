// Package hosted contains the code that the main functions of the hosted deployment's
// programs share: settings, log, metrics and the listener for peers.
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
	"github.com/heatherrail/heatherrail/shedding"
)

// Process holds the settings, log, metrics and listener that Run sets up for a program.
type Process struct {
	Settings  *platform.Settings
	Log       logr.Logger
	Metrics   *metrics.Set
	PeersPort string
	PeersAddr string // IP address and port of Peers
	Peers     net.Listener
	MaxFiles  int // limit on the open files of the process
}

// memoryLimitDivisor is the memory limit of the process divided by the soft memory limit
// of the Go runtime. The garbage collector works harder above the soft limit. The
// rest of the memory is left for kernel buffers.
const memoryLimitDivisor = 2

// metricsPort is the port on which a program serves metrics, as in the deploy file.
const metricsPort = "9464"

// Run sets up a process, calls serve and returns the exit code of serve. If the setup
// fails, Run returns an exit code and does not call serve.
func Run(serve func(p *Process) int) int {
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitSettings
	}
	debug.SetMemoryLimit(s.MemoryBytes / memoryLimitDivisor)
	out := logging.NewAsync(os.Stdout)
	defer out.Close()
	p := &Process{Settings: s, Log: logging.New(out, 0), Metrics: metrics.New(), PeersPort: strconv.Itoa(s.PeerPort)}
	p.MaxFiles = maxFiles(s.MaxFiles)
	p.PeersAddr = net.JoinHostPort(s.IP, p.PeersPort)
	if p.Peers, err = tcp.Listen(p.PeersAddr); err != nil {
		p.Log.Error(err, "can't listen for peers")
		return daemon.ExitFail
	}
	if _, err := p.Metrics.Serve(net.JoinHostPort(s.IP, metricsPort), shedding.DivideFiles(p.MaxFiles).Metrics); err != nil {
		p.Log.Error(err, "can't serve metrics")
	}
	return serve(p)
}

// maxFiles returns the limit on the open files of the process: that of its settings, and at most that of the kernel.
func maxFiles(setting int) int {
	limit := daemon.MaxFiles()
	if setting == 0 {
		return limit
	}
	return min(setting, limit)
}

// Wait blocks until SIGTERM or SIGINT, shuts the service down within the grace period and
// returns the exit code. At each SIGHUP it logs whether the settings file has changed.
func (p *Process) Wait(s daemon.Service) int {
	return daemon.WaitAndReload(s, p.Settings.ShutdownGrace, func() { platform.LogSettingsChange(p.Log, p.Settings) })
}
