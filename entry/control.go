package entry

import (
	"fmt"
	"net"

	"github.com/sourcegraph/conc/pool"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// startControl starts to follow the configuration and to accept peers.
func (e *Entry) startControl() error {
	e.peerListener = e.opts.PeerListener
	if e.peerListener == nil && e.opts.Settings.Listen != "" {
		ln, err := new(wire.Network).Listen(e.opts.Settings.Listen)
		if err != nil {
			return fmt.Errorf("entry %s: listen for peers: %w", e.opts.Settings.Name, err)
		}
		e.peerListener = ln
	}
	timing := e.opts.ControlTiming
	if timing == (control.Timing{}) {
		timing = control.DefaultTiming
	}
	if e.opts.SnapshotInterval > 0 {
		timing.SnapshotInterval = e.opts.SnapshotInterval
	}
	s := &e.opts.Settings
	e.node = control.New(control.Options{
		Self:        control.Peer{Name: s.Name, Address: e.PeerAddr(), DataCentre: s.DataCentre, Region: s.Region},
		Incarnation: e.opts.Incarnation,
		Log:         e.opts.Log,
		Dial:        e.opts.Dial,
		Logger:      e.log,
		Metrics:     e.opts.Metrics,
		Timing:      timing,
		Install:     e.installConfig,
		Folded:      e.recordFolded,
		Leases:      e.requestNotify,
		Status:      e.fillStatus,
		Drain:       e.setDraining,
		Note:        e.handleNote,
	})
	e.tasks.Go(e.sendDemandLoop)
	e.tasks.Go(e.notifyAgentsLoop)
	e.node.Start()
	if e.peerListener != nil {
		e.tasks.Go(e.acceptPeers)
	}
	return nil
}

// PeerAddr returns the address that other heatherrail processes connect to.
func (e *Entry) PeerAddr() string {
	if e.peerListener == nil {
		return ""
	}
	return e.peerListener.Addr().String()
}

// Leaser returns the lease interface of this entry.
func (e *Entry) Leaser() control.Leaser { return e.node }

// acceptPeers accepts peer connections until the listener is closed.
func (e *Entry) acceptPeers() {
	acceptor := wire.Acceptor{
		Listener: e.peerListener,
		Hello:    e.hello(),
		Handler:  e.node,
		Serve:    e.node.Accept,
		Refused: func(remote net.Addr, err error) {
			e.opts.Metrics.CountResult(result.From(err).Code)
			e.log.Error(err, "peer refused", "peer", remote.String())
		},
	}
	acceptor.Run()
}

// entryPeers returns the entries of the VM list as peers.
func entryPeers(vms []outside.VM) []control.Peer {
	var list []control.Peer
	for _, vm := range vms {
		if vm.Role == outside.RoleEntry {
			list = append(list, control.Peer{
				Name:       vm.Name,
				Address:    vm.Address,
				DataCentre: vm.DataCentre,
				Region:     vm.Region,
				Leaving:    vm.State == outside.StateLeaving,
			})
		}
	}
	return list
}

// requestNotify makes notifyAgentsLoop send the configuration and fencing floors to all agents. It
// returns at once, so an agent that does not read cannot delay a configuration version.
func (e *Entry) requestNotify() {
	select {
	case e.notifyRequests <- struct{}{}:
	default: // a notification of all agents is already pending
	}
}

// maxParallelNotifies is how many agents are notified at the same time.
const maxParallelNotifies = 32

// notifyAgentsLoop notifies all agents on request until the entry stops.
func (e *Entry) notifyAgentsLoop() {
	for {
		select {
		case <-e.notifyRequests:
		case <-e.ctx.Done():
			return
		}
		configs := e.agentConfigs()
		p := pool.New().WithMaxGoroutines(maxParallelNotifies)
		for _, l := range e.allLinks() {
			p.Go(func() { l.notify(configs) })
		}
		p.Wait()
	}
}

// agentConfigs is the configuration in force, prepared for the agents. Data that many agents share
// is built once.
type agentConfigs struct {
	snap      *config.Snapshot
	common    wire.AgentConfig
	policies  map[string][]wire.ServicePolicy // policies of the services of a fleet, by fleet
	resources map[string][]string             // lease resources of the target and of its groups, by target
	floors    map[string]uint64               // fencing floors, by resource
}

// agentConfigs returns the configuration for agents, or nil before the first version.
func (e *Entry) agentConfigs() *agentConfigs {
	s := e.current.Load()
	if s == nil {
		return nil
	}
	a := &agentConfigs{
		snap: s,
		common: wire.AgentConfig{Version: s.Version, Digest: s.Digest, Entries: e.node.Entries(), Recoveries: e.outcomes.folded.Load().losses.Recoveries,
			Unsettled: !e.node.Settled()},
		policies:  make(map[string][]wire.ServicePolicy),
		resources: make(map[string][]string),
		floors:    make(map[string]uint64),
	}
	for _, t := range s.Config.Targets {
		a.resources[t.Name] = []string{control.TargetResource(t.Name)}
	}
	for i := range s.Config.Services {
		a.addPolicy(s, &s.Config.Services[i])
	}
	for _, g := range s.Config.Groups {
		for _, rank := range g.Ranks {
			a.resources[rank] = append(a.resources[rank], control.GroupResource(g.Name))
		}
	}
	for _, row := range e.node.Leases() {
		a.floors[row.Resource] = row.Fence
	}
	return a
}

// addPolicy adds the policy of a service to its fleet.
func (a *agentConfigs) addPolicy(s *config.Snapshot, svc *config.Service) {
	p := s.Policy(svc)
	if p == nil {
		return
	}
	raw, err := p.MarshalMsg(nil)
	if err != nil {
		return // not reached: encoding a policy cannot fail
	}
	a.policies[svc.Fleet] = append(a.policies[svc.Fleet], wire.ServicePolicy{Service: svc.Name, Policy: raw})
}

// forTarget returns the configuration for a target's agent. A resource that never had a lease has
// no fencing floor.
func (a *agentConfigs) forTarget(target string) *wire.AgentConfig {
	c := a.common
	c.Policies = a.policies[a.snap.FleetOfTarget(target)]
	for _, r := range a.resources[target] {
		if fence := a.floors[r]; fence > 0 {
			c.Floors = append(c.Floors, wire.FenceFloor{Resource: r, Fence: fence})
		}
	}
	return &c
}

// fillStatus fills in the status reply for the operator tool. Only a full reply lists expert maps
// and targets.
func (e *Entry) fillStatus(full bool, r *wire.StatusReply) {
	r.InFlight = int(e.inFlight.Load())
	if !full {
		return
	}
	r.Maps = e.mapStatusText()
	for _, l := range e.allLinks() {
		if load, ok := l.latestLoad(); ok {
			r.Targets = append(r.Targets, load)
		}
	}
}

// setDraining starts to drain this entry, or ends the drain if undo is set.
func (e *Entry) setDraining(undo bool) {
	if !undo {
		e.Drain()
		return
	}
	e.leaving.Store(false)
	e.node.SetLeaving(false)
	e.log.Info("back in service")
}

// latestLoad returns the agent's latest load report, and false if there is none.
func (l *link) latestLoad() (wire.Load, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load, l.conn != nil && l.hasLoad
}

// Ready reports whether this entry has a configuration and may dispatch all kinds of requests.
func (e *Entry) Ready() bool { return e.current.Load() != nil && e.Registered() }
