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

// startControl begins to follow the configuration and to listen for peers.
func (e *Entry) startControl() error {
	e.peerLn = e.opts.PeerListener
	if e.peerLn == nil && e.opts.Settings.Listen != "" {
		ln, err := new(wire.Network).Listen(e.opts.Settings.Listen)
		if err != nil {
			return fmt.Errorf("entry %s: listen for peers: %w", e.opts.Settings.Name, err)
		}
		e.peerLn = ln
	}
	timing := e.opts.Control
	if timing == (control.Timing{}) {
		timing = control.DefaultTiming
	}
	if e.opts.Snapshots > 0 {
		timing.Snapshots = e.opts.Snapshots
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
		Install:     e.install,
		Folded:      e.out.foldedTo.Store,
		Leases:      e.notifyAgents,
		Status:      e.status,
		Drain:       e.setDrain,
		Note:        e.heardNote,
	})
	e.duties.Go(e.tellDemand)
	e.duties.Go(e.notifyLoop)
	e.node.Start()
	if e.peerLn != nil {
		e.duties.Go(e.acceptPeers)
	}
	return nil
}

// PeerAddr returns the address that other heatherrail processes connect to.
func (e *Entry) PeerAddr() string {
	if e.peerLn == nil {
		return ""
	}
	return e.peerLn.Addr().String()
}

// Leaser returns the leases of this process.
func (e *Entry) Leaser() control.Leaser { return e.node }

func (e *Entry) acceptPeers() {
	acceptor := wire.Acceptor{
		Listener: e.peerLn,
		Hello:    e.hello(),
		Handler:  e.node,
		Serve:    e.node.Accept,
		Refused: func(remote net.Addr, err error) {
			e.opts.Metrics.Result(result.From(err).Code)
			e.log.Error(err, "peer refused", "peer", remote.String())
		},
	}
	acceptor.Run()
}

// peers returns the entries of the VM list.
func peers(vms []outside.VM) []control.Peer {
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

// notifyAgents asks for every linked agent to be told the version and the fencing
// floors. It does not wait: an agent that does not read must not hold up the
// versions of this entry.
func (e *Entry) notifyAgents() {
	select {
	case e.notices <- struct{}{}:
	default: // what is asked for already covers it
	}
}

// notifyParallel bounds how many agents are told at once.
const notifyParallel = 32

func (e *Entry) notifyLoop() {
	for {
		select {
		case <-e.notices:
		case <-e.ctx.Done():
			return
		}
		configs := e.agentConfigs()
		p := pool.New().WithMaxGoroutines(notifyParallel)
		for _, l := range e.allLinks() {
			p.Go(func() { l.notify(configs) })
		}
		p.Wait()
	}
}

// agentConfigs is the configuration in force as agents need it, with what many of
// them share built once.
type agentConfigs struct {
	snap      *config.Snapshot
	base      wire.AgentConfig
	policies  map[string][]wire.ServicePolicy // by fleet
	resources map[string][]string             // by target
	floors    map[string]uint64               // by resource
}

// agentConfigs returns nil before the first version.
func (e *Entry) agentConfigs() *agentConfigs {
	s := e.current.Load()
	if s == nil {
		return nil
	}
	a := &agentConfigs{
		snap:      s,
		base:      wire.AgentConfig{Version: s.Version, Digest: s.Digest, Entries: e.node.Entries()},
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

func (a *agentConfigs) addPolicy(s *config.Snapshot, svc *config.Service) {
	p := s.Policy(svc)
	if p == nil {
		return
	}
	raw, err := p.MarshalMsg(nil)
	if err != nil {
		return // plain structs always encode
	}
	a.policies[svc.Fleet] = append(a.policies[svc.Fleet], wire.ServicePolicy{Service: svc.Name, Policy: raw})
}

// of returns one agent's part. Resources that nobody ever owned have no floor.
func (a *agentConfigs) of(target string) *wire.AgentConfig {
	c := a.base
	c.Policies = a.policies[a.snap.FleetOfTarget(target)]
	for _, r := range a.resources[target] {
		if fence := a.floors[r]; fence > 0 {
			c.Floors = append(c.Floors, wire.FenceFloor{Resource: r, Fence: fence})
		}
	}
	return &c
}

// status fills in what the operators' tool asks of this entry.
func (e *Entry) status(full bool, r *wire.StatusReply) {
	r.InFlight = int(e.inFlight.Load())
	if !full {
		return
	}
	r.Maps = e.mapsText()
	for _, l := range e.allLinks() {
		if load, ok := l.reported(); ok {
			r.Targets = append(r.Targets, load)
		}
	}
}

// setDrain takes this entry out of the answers that callers get, or back in.
func (e *Entry) setDrain(undo bool) {
	if !undo {
		e.Drain()
		return
	}
	e.leaving.Store(false)
	e.node.SetLeaving(false)
	e.log.Info("back in service")
}

// reported returns the agent's latest report.
func (l *link) reported() (wire.Load, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load, l.conn != nil && l.hasLoad
}

// Ready reports whether this entry has a configuration and may dispatch all kinds
// of requests.
func (e *Entry) Ready() bool { return e.current.Load() != nil && e.Registered() }
