package agent

import (
	"context"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// defaultStaleGrace stands in for settings that were not read from a file.
const defaultStaleGrace = 10 * time.Second

// keptVersions bounds the versions whose arrival is remembered; of the older ones
// only that they are overtaken matters.
const keptVersions = 64

// configState is what an agent knows of the configuration: no teams, only the
// version, the policies of its services and the fencing floors.
type configState struct {
	mu       *sync.Mutex
	heard    []heardVersion // ascending, at most keptVersions
	policies map[string]config.Policy
	fence    *control.Fence
}

type heardVersion struct {
	version uint64
	at      time.Time
}

func newConfigState() configState {
	return configState{mu: new(sync.Mutex), policies: make(map[string]config.Policy), fence: control.NewFence()}
}

// newest returns the newest version heard of.
func (s *configState) newest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.heard) == 0 {
		return 0
	}
	return s.heard[len(s.heard)-1].version
}

// Fence returns the agent's memory of fencing numbers.
func (a *Agent) Fence() *control.Fence { return a.config.fence }

// Version returns the newest configuration version that the agent has heard of.
func (a *Agent) Version() uint64 { return a.config.newest() }

// Policy returns the policy of a service that the target serves; false before an
// entry told it.
func (a *Agent) Policy(service string) (config.Policy, bool) {
	a.config.mu.Lock()
	defer a.config.mu.Unlock()
	p, ok := a.config.policies[service]
	return p, ok
}

// heardVersion books when a version was first heard of.
func (a *Agent) heardVersion(version uint64, now time.Time) {
	s := &a.config
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.heard); n > 0 && version <= s.heard[n-1].version {
		return
	}
	if len(s.heard) == keptVersions {
		s.heard = append(s.heard[:0], s.heard[1:]...)
	}
	s.heard = append(s.heard, heardVersion{version: version, at: now})
}

// overtaken reports whether work under a version comes too late. An entry that is
// cut off from the log and its peers would otherwise keep an old policy in force
// for as long as it reaches agents. The grace lets work pass that was stamped
// while the newer version spread.
func (a *Agent) overtaken(version uint64, now time.Time) bool {
	grace := a.opts.Settings.StaleGrace
	if grace == 0 {
		grace = defaultStaleGrace
	}
	s := &a.config
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.heard {
		if h.version > version {
			return now.Sub(h.at) > grace
		}
	}
	return false
}

// heardConfig takes an entry's AgentConfig.
func (a *Agent) heardConfig(c *wire.Conn, payload []byte) {
	var msg wire.AgentConfig
	if _, err := msg.UnmarshalMsg(payload); err != nil {
		a.log.Error(err, "bad configuration notice", "peer", c.Peer().Name)
		return
	}
	floors := make([]control.Floor, len(msg.Floors))
	for i, f := range msg.Floors {
		floors[i] = control.Floor{Resource: f.Resource, Fence: f.Fence}
	}
	a.config.fence.Learn(c.Peer().Name, msg.Entries, floors)
	if msg.Version >= a.config.newest() {
		a.setPolicies(&msg)
	}
	a.heardVersion(msg.Version, time.Now())
}

func (a *Agent) setPolicies(msg *wire.AgentConfig) {
	policies := make(map[string]config.Policy, len(msg.Policies))
	for _, p := range msg.Policies {
		var policy config.Policy
		if _, err := policy.UnmarshalMsg(p.Policy); err != nil {
			a.log.Error(err, "bad policy", "service", p.Service)
			return
		}
		policies[p.Service] = policy
	}
	a.config.mu.Lock()
	defer a.config.mu.Unlock()
	a.config.policies = policies
}

// serveControl serves streams of control; false: the method is not one of them.
func (a *Agent) serveControl(ctx context.Context, s *wire.Stream, m wire.Method, payload []byte) bool {
	var err error
	switch m {
	case wire.MethodStatus:
		err = a.sendStatus(s)
	case wire.MethodOrder:
		err = a.serveOrder(ctx, s, payload)
	case wire.MethodDrain:
		err = a.serveDrain(s, payload)
	default:
		return false
	}
	if err != nil {
		_ = s.Refuse(err) // without a connection nobody waits for it
	}
	return true
}

func (a *Agent) sendStatus(s *wire.Stream) error {
	r := &wire.StatusReply{
		Name:        a.opts.Settings.Target,
		Role:        wire.RoleAgent,
		DataCentre:  a.opts.Settings.DataCentre,
		Incarnation: a.opts.Incarnation,
		Version:     a.config.newest(),
		Leaving:     a.leaving.Load(),
		InFlight:    int(a.running.Load()),
	}
	if err := s.SendMessage(wire.MessageStatus, r); err != nil {
		return err
	}
	return s.Finish()
}

func (a *Agent) serveDrain(s *wire.Stream, payload []byte) error {
	var req wire.DrainRequest
	if _, err := req.UnmarshalMsg(payload); err != nil {
		return result.New(result.WireMalformed, "drain request: %w", err)
	}
	if role := s.Conn().Peer().Role; role != wire.RoleTool {
		return result.New(result.WireRole, "role %q may not drain", role)
	}
	if req.Undo {
		a.leaving.Store(false)
		a.log.Info("back in service")
	} else {
		a.Drain()
	}
	return a.sendStatus(s)
}
