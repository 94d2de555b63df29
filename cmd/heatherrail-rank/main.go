// Command heatherrail-rank is the process beside each model engine on the users'
// machines.
package main

import (
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"strconv"

	"github.com/go-logr/logr"

	"github.com/heatherrail/heatherrail/internal/daemon"
	"github.com/heatherrail/heatherrail/internal/tcp"
	"github.com/heatherrail/heatherrail/lockstep"
	"github.com/heatherrail/heatherrail/logging"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/platform"
)

func main() { os.Exit(run()) }

func run() int {
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitSettings
	}
	debug.SetMemoryLimit(s.Memory / memoryShare)
	out := logging.NewAsync(os.Stdout)
	defer out.Close()
	return serve(s, logging.New(out, 0))
}

// memoryShare: the collector works harder from half of the limit on; the rest is
// for bytes that the kernel holds.
const memoryShare = 2

func serve(s *platform.Settings, log logr.Logger) int {
	addr := net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))
	ln, err := tcp.Listen(addr)
	if err != nil {
		log.Error(err, "can't listen for peers")
		return daemon.ExitFail
	}
	set := metrics.New()
	if err := serveMetrics(s, set); err != nil {
		log.Error(err, "can't serve metrics")
	}
	a := lockstep.Start(lockstep.Options{
		Name:         s.Name,
		Engine:       platform.NewOwnEngine(s.Engine),
		Address:      s.Engine,
		Service:      s.Service,
		Peers:        addr,
		Port:         strconv.Itoa(s.PeerPort),
		Store:        platform.NewStore(s.Store),
		Remote:       func(address string) lockstep.Engine { return platform.NewEngine(address) },
		Dial:         lockstep.DialPeer,
		DecodeTarget: platform.DecodeTarget,
		DecodeConfig: platform.DecodeConfigRecord,
		Log:          log,
		Metrics:      set,
	}, ln)
	return daemon.WaitAndReload(a, s.Grace, func() { platform.LogReload(log, s) })
}

// metricsPort is the port that the deploy file names for metrics.
const metricsPort = "9464"

func serveMetrics(s *platform.Settings, set *metrics.Set) error {
	_, err := set.Serve(net.JoinHostPort(s.IP, metricsPort))
	return err
}
