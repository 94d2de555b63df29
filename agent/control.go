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

// defaultStaleGrace is how long work under a superseded version is still accepted if the
// settings were not read from a file.
const defaultStaleGrace = 10 * time.Second

// maxVersions bounds the number of versions whose arrival time is remembered. For an older
// version it is enough to know that there is a newer one.
const maxVersions = 64

// configState is what an agent knows of the configuration: the versions that it has received,
// the policies of its target's services, and the fencing floors (the lowest fencing numbers
// that are still valid). It does not include teams.
type configState struct {
	mu       *sync.Mutex
	versions []versionArrival // ascending, at most maxVersions
	policies map[string]config.Policy
	fence    *control.Fence
}

// versionArrival is a configuration version and the time at which it was first received.
type versionArrival struct {
	version uint64
	heardAt time.Time
}

func newConfigState() configState {
	return configState{mu: new(sync.Mutex), policies: make(map[string]config.Policy), fence: control.NewFence()}
}

// newestVersion returns the newest version received, 0 if there is none.
func (s *configState) newestVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.versions) == 0 {
		return 0
	}
	return s.versions[len(s.versions)-1].version
}

// Fence returns the agent's fence, which checks the fencing numbers of orders.
func (a *Agent) Fence() *control.Fence { return a.config.fence }

// Version returns the newest configuration version that the agent has received.
func (a *Agent) Version() uint64 { return a.config.newestVersion() }

// Policy returns the policy of a service of the target; false before an entry has sent it.
func (a *Agent) Policy(service string) (config.Policy, bool) {
	a.config.mu.Lock()
	defer a.config.mu.Unlock()
	p, ok := a.config.policies[service]
	return p, ok
}

// recordVersion records the arrival time of a version that is newer than all versions
// received before.
func (a *Agent) recordVersion(version uint64, now time.Time) {
	s := &a.config
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.versions); n > 0 && version <= s.versions[n-1].version {
		return
	}
	if len(s.versions) == maxVersions {
		s.versions = append(s.versions[:0], s.versions[1:]...)
	}
	s.versions = append(s.versions, versionArrival{version: version, heardAt: now})
}

// isSuperseded reports whether work under a version arrives too long after a newer
// version. Otherwise an entry that is cut off from the log and its peers would keep an old
// policy in force for as long as it reaches agents. The grace admits work that was stamped
// while the newer version spread.
func (a *Agent) isSuperseded(version uint64, now time.Time) bool {
	grace := a.opts.Settings.StaleGrace
	if grace == 0 {
		grace = defaultStaleGrace
	}
	s := &a.config
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.versions {
		if h.version > version {
			return now.Sub(h.heardAt) > grace
		}
	}
	return false
}

// handleConfig applies an AgentConfig note of an entry.
func (a *Agent) handleConfig(c *wire.Conn, payload []byte) {
	var msg wire.AgentConfig
	if _, err := msg.UnmarshalMsg(payload); err != nil {
		a.log.Error(err, "invalid configuration note", "peer", c.Peer().Name)
		return
	}
	floors := make([]control.Floor, len(msg.Floors))
	for i, f := range msg.Floors {
		floors[i] = control.Floor{Resource: f.Resource, Fence: f.Fence}
	}
	if msg.Unsettled {
		a.config.fence.RecordUnsettledFloors(msg.Entries, floors)
	} else {
		a.config.fence.RecordFloors(c.Peer().Name, msg.Entries, floors)
	}
	if msg.Version >= a.config.newestVersion() {
		a.setPolicies(&msg)
	}
	a.recordVersion(msg.Version, time.Now())
	a.dispatches.recordRecoveries(msg.Recoveries)
}

func (a *Agent) setPolicies(msg *wire.AgentConfig) {
	policies := make(map[string]config.Policy, len(msg.Policies))
	for _, p := range msg.Policies {
		var policy config.Policy
		if _, err := policy.UnmarshalMsg(p.Policy); err != nil {
			a.log.Error(err, "invalid policy", "service", p.Service)
			return
		}
		policies[p.Service] = policy
	}
	a.config.mu.Lock()
	defer a.config.mu.Unlock()
	a.config.policies = policies
}

// serveControl serves streams of the control methods. It returns false for other methods.
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
		_ = s.Refuse(err) // on a lost connection there is no receiver
	}
	return true
}

func (a *Agent) sendStatus(s *wire.Stream) error {
	r := &wire.StatusReply{
		Name:        a.opts.Settings.Target,
		Role:        wire.RoleAgent,
		DataCentre:  a.opts.Settings.DataCentre,
		Incarnation: a.opts.Incarnation,
		Version:     a.config.newestVersion(),
		Leaving:     a.leaving.Load(),
		InFlight:    int(a.inFlight.Load()),
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
		return result.New(result.WireRole, "role %q may not drain an agent", role)
	}
	if req.Undo {
		a.leaving.Store(false)
		a.log.Info("back in service")
	} else {
		a.Drain()
	}
	return a.sendStatus(s)
}
