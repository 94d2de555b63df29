// Command heatherrail-rank is the agent next to each model engine of the hosted deployment
// on the users' machines.
package main

import (
	"os"

	"github.com/heatherrail/heatherrail/internal/hosted"
	"github.com/heatherrail/heatherrail/lockstep"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/platform"
	"github.com/heatherrail/heatherrail/shedding"
)

func main() { os.Exit(hosted.Run(serve)) }

// serve runs the agent until the process ends, and returns the exit code.
func serve(p *hosted.Process) int {
	s := p.Settings
	return p.Wait(lockstep.Start(lockstep.Options{
		VM:              s.Name,
		Engine:          platform.NewLocalEngine(s.EngineAddr),
		EngineAddr:      s.EngineAddr,
		Service:         s.Service,
		PeerAddr:        p.PeersAddr,
		PeerPort:        p.PeersPort,
		PeerLimits:      peers.Limits(shedding.AgentPeers(p.MaxFiles), s.MemoryBytes),
		Store:           platform.NewStore(s.StoreAddr),
		NewRemoteEngine: func(address string) lockstep.Engine { return platform.NewEngine(address) },
		Dial:            lockstep.DialPeer,
		DecodeTarget:    platform.DecodeTarget,
		DecodeConfig:    platform.DecodeConfigRecord,
		Log:             p.Log,
		Metrics:         p.Metrics,
	}, p.Peers))
}
