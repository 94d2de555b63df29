// Command heatherrail-gateway is the entry process of the hosted deployment on the users'
// machines. Callers connect to it.
package main

import (
	"os"

	"github.com/heatherrail/heatherrail/gateway"
	"github.com/heatherrail/heatherrail/internal/daemon"
	"github.com/heatherrail/heatherrail/internal/hosted"
	"github.com/heatherrail/heatherrail/internal/tcp"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/platform"
	"github.com/heatherrail/heatherrail/shedding"
)

func main() { os.Exit(hosted.Run(serve)) }

// serve starts the listeners for callers, peers, the directory and readiness checks, and waits
// for the end of the process. It returns the exit code.
func serve(p *hosted.Process) int {
	callers, err := tcp.Listen(p.Settings.CallerAddr)
	if err != nil {
		p.Log.Error(err, "failed to listen for callers")
		return daemon.ExitFail
	}
	files := shedding.DivideFiles(p.MaxFiles)
	g := gateway.Start(options(p, files), callers, p.Peers)
	if err := platform.ServeDirectory(p.Settings.DirectoryAddr, files.Directory, p.Metrics.Observer(), g.Entries); err != nil {
		p.Log.Error(err, "failed to serve the directory")
		return daemon.ExitFail
	}
	if err := platform.ServeReady(p.Settings.ReadyAddr, files.Ready, p.Metrics.Observer(), g.Ready); err != nil {
		p.Log.Error(err, "failed to serve readiness checks")
		return daemon.ExitFail
	}
	return p.Wait(g)
}

// options returns the gateway's options from the settings of the process.
func options(p *hosted.Process, files shedding.Files) gateway.Options {
	s := p.Settings
	return gateway.Options{
		Name:                    s.Name,
		Incarnation:             daemon.Incarnation(),
		DataCentre:              s.DataCentre,
		CallerAddr:              s.CallerAddr,
		PeerAddr:                p.PeersAddr,
		Headers:                 platform.HeaderNames(),
		Store:                   platform.NewStore(s.StoreAddr),
		DecodeConfig:            platform.DecodeConfigRecord,
		DecodeEvacuation:        platform.DecodeEvacuation,
		DecodeTarget:            platform.DecodeTarget,
		DecodeAnswer:            platform.DecodeAnswer,
		DrainTimeout:            s.DrainTimeout,
		ConfigApplyTimeout:      s.ConfigApplyTimeout,
		TargetHeartbeatInterval: s.TargetHeartbeatInterval,
		ShutdownGrace:           s.ShutdownGrace,
		MaxDirectoryTTL:         s.MaxDirectoryTTL,
		MaxDirectoryAddresses:   platform.MaxDirectoryAddresses,
		MaxCallerConns:          files.Callers,
		MaxCallerBytes:          shedding.CallerBytes(s.MemoryBytes),
		MaxTargetConns:          files.Targets,
		MaxEntryConns:           files.Entries,
		PeerLimits:              peers.Limits(files.Peers, s.MemoryBytes),
		RetryBudget: gateway.RetryBudget{
			Ratio:  s.RetryRatio,
			Slack:  s.RetrySlack,
			Window: s.RetryWindow,
		},
		AgentPort: p.PeersPort,
		Log:       p.Log,
		Metrics:   p.Metrics,
	}
}
