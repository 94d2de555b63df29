// Command heatherrail-gateway is the process that callers talk to on the users'
// machines.
package main

import (
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"strconv"

	"github.com/go-logr/logr"

	"github.com/heatherrail/heatherrail/gateway"
	"github.com/heatherrail/heatherrail/internal/daemon"
	"github.com/heatherrail/heatherrail/internal/tcp"
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
	callersLn, err := tcp.Listen(s.Callers)
	if err != nil {
		log.Error(err, "can't listen for callers")
		return daemon.ExitFail
	}
	peersAddr := net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))
	peersLn, err := tcp.Listen(peersAddr)
	if err != nil {
		log.Error(err, "can't listen for peers")
		return daemon.ExitFail
	}
	set := metrics.New()
	g := gateway.Start(options(s, log, set, peersAddr), callersLn, peersLn)
	if err := serveMetrics(s, set); err != nil {
		log.Error(err, "can't serve metrics")
	}
	if err := platform.ServeDirectory(s.Directory, g.Entries); err != nil {
		log.Error(err, "can't serve the directory")
		return daemon.ExitFail
	}
	if err := platform.ServeReady(s.Ready, g.Ready); err != nil {
		log.Error(err, "can't serve readiness checks")
		return daemon.ExitFail
	}
	return daemon.WaitAndReload(g, s.Grace, func() { platform.LogReload(log, s) })
}

func options(s *platform.Settings, log logr.Logger, set *metrics.Set, peersAddr string) gateway.Options {
	return gateway.Options{
		Name:         s.Name,
		Incarnation:  daemon.Incarnation(),
		DataCentre:   s.DataCentre,
		Callers:      s.Callers,
		Peers:        peersAddr,
		Protocol:     platform.Protocol(),
		Store:        platform.NewStore(s.Store),
		DecodeConfig: platform.DecodeConfigRecord,
		DecodeTarget: platform.DecodeTarget,
		Drain:        s.Drain,
		ConfigApply:  s.ConfigApply,
		Grace:        s.Grace,
		LifetimeMax:  s.LifetimeMax,
		Retries: gateway.RetryBounds{
			Ratio:  s.RetryRatio,
			Slack:  s.RetrySlack,
			Window: s.RetryWindow,
		},
		AgentPort: strconv.Itoa(s.PeerPort),
		Log:       log,
		Metrics:   set,
	}
}

// metricsPort is the port that the deploy file names for metrics.
const metricsPort = "9464"

func serveMetrics(s *platform.Settings, set *metrics.Set) error {
	_, err := set.Serve(net.JoinHostPort(s.IP, metricsPort))
	return err
}
