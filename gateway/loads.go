package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
)

// loadReader polls the agents of a group's engines for the load of each rank. An agent is the
// process of package lockstep beside an engine; one agent of each group leads it.
type loadReader struct {
	g          *Gateway
	follower   *loadFollower
	service    string
	group      string // "": the reader is searching for a group without a reader
	client     *peers.Client
	engineAddr string   // engine whose agent was picked last
	rosterID   uint64   // identifies the list in engines
	engines    []string // engine addresses of the group, in the order of the loads in reports
	anyAgent   bool     // every agent has the loads, not only the leader
}

// Intervals between polls. In a large group every agent has the loads. In a small group all entries
// poll the leader agent, which may use only a small part of a CPU core; the interval per entry
// limits the polls of all entries to 250 a second.
const (
	loadsInterval         = 120 * time.Millisecond
	loadsIntervalPerEntry = 4 * time.Millisecond
	loadsTimeout          = 300 * time.Millisecond
	loadsRetryDelay       = 400 * time.Millisecond // pause after a failed poll
)

// pollInterval returns the pause until the next poll.
func (r *loadReader) pollInterval() time.Duration {
	if r.anyAgent {
		return loadsInterval
	}
	return max(loadsInterval, time.Duration(r.g.cluster.liveCount())*loadsIntervalPerEntry)
}

// poll requests the loads once and applies them. It returns true if it has received the loads or
// only the leader's address, and false if the next poll is to wait for loadsRetryDelay.
func (r *loadReader) poll(ctx context.Context) bool {
	if r.client == nil && !r.connectAgent() {
		return false
	}
	var loads peers.Loads
	queued := r.queuedRequests()
	query := &peers.LoadsQuery{
		Roster:        r.rosterID,
		Entry:         r.g.opts.Name,
		QueuedOnTime:  peers.ClampUint16(queued.OnTime),
		QueuedLate:    peers.ClampUint16(queued.Late),
		QueuedByLevel: peers.PackLevels(queued.ByLevel[:]),
		LongestGapMS:  peers.ClampUint16(int(r.g.tracker.TakeLongestGap(r.service, r.group).Milliseconds())),
	}
	err := r.client.Ask(ctx, peers.KindLoads, query, &loads, loadsTimeout)
	if err != nil {
		r.disconnect(err)
		return false
	}
	r.recordGroupSize(&loads)
	if !loads.Known && loads.Leader != "" && loads.Leader != r.client.Addr() {
		r.client.Close()
		r.client = peers.NewClient(loads.Leader)
		return true
	}
	if loads.Known && !r.follower.claimGroup(r, loads.Group) {
		r.disconnect(nil)
		return false
	}
	if !loads.Known || time.Duration(loads.AgeMS)*time.Millisecond > placing.ReportTTL {
		r.disconnect(nil)
		return false
	}
	r.anyAgent = loads.Leader == ""
	r.applyLoads(&loads)
	if loads.AskOthers {
		r.client.Close()
		r.client = nil
	}
	return true
}

// recordGroupSize stores the number of ranks in the group.
func (r *loadReader) recordGroupSize(loads *peers.Loads) {
	if loads.Ranks > 0 {
		r.g.tracker.SetGroupSize(r.service, loads.Group, int(loads.Ranks), time.Now())
		r.g.admitIfQueued(r.service)
	}
}

// queuedRequests returns how many requests for the service are queued at this entry.
func (r *loadReader) queuedRequests() placing.QueueCounts {
	r.g.mu.Lock()
	queue := r.g.queues[r.service]
	r.g.mu.Unlock()
	if queue == nil {
		return placing.QueueCounts{}
	}
	return queue.QueueCounts(time.Now())
}

func (r *loadReader) disconnect(err error) {
	if err != nil {
		r.g.opts.Log.Info("loads not read", "service", r.service, "agent", r.client.Addr(), "error", err.Error())
	}
	r.client.Close()
	r.client = nil
}

// connectAgent picks an agent at random to poll. An agent without the loads responds with the
// address of the leader, which is polled next.
func (r *loadReader) connectAgent() bool {
	snap := r.g.state.snapshot()
	if snap == nil {
		return false
	}
	targets := r.preferLocal(r.follower.candidates(r, snap.targets[r.service]))
	if len(targets) == 0 {
		return false
	}
	r.engineAddr = targets[rand.IntN(len(targets))].Address
	host, _, err := net.SplitHostPort(r.engineAddr)
	if err != nil {
		return false
	}
	r.client = peers.NewClient(net.JoinHostPort(host, r.g.opts.AgentPort))
	return true
}

// preferLocal returns the targets in this entry's data centre, or all targets if there are none.
func (r *loadReader) preferLocal(targets []*serving.Target) []*serving.Target {
	var local []*serving.Target
	for _, t := range targets {
		if t.DataCentre == r.g.opts.DataCentre {
			local = append(local, t)
		}
	}
	if len(local) == 0 {
		return targets
	}
	return local
}

func (r *loadReader) applyLoads(loads *peers.Loads) {
	if loads.Roster != r.rosterID {
		r.rosterID, r.engines = loads.Roster, loads.Engines
	}
	if len(r.engines) != len(loads.Running) || len(r.engines) != len(loads.Waiting) {
		r.rosterID = 0 // the loads belong to another list of engines, which the next poll requests
		return
	}
	now := time.Now()
	reportedAt := now.Add(-time.Duration(loads.AgeMS) * time.Millisecond)
	byAddress := make(map[string]placing.RankLoad, len(r.engines))
	for i, engine := range r.engines {
		byAddress[engine] = placing.RankLoad{Running: int(loads.Running[i]), Waiting: int(loads.Waiting[i]), Slowdown: 1}
	}
	for _, slow := range loads.Slow {
		if int(slow.Rank) < len(r.engines) {
			engine := r.engines[slow.Rank]
			load := byAddress[engine]
			load.Slowdown = float64(slow.Slowdown)
			byAddress[engine] = load
		}
	}
	r.follower.setEngines(r.group, r.engines)
	queued := placing.QueueCounts{OnTime: int(loads.QueuedOnTime), Late: int(loads.QueuedLate)}
	peers.AddLevels(queued.ByLevel[:], loads.QueuedByLevel)
	state := placing.NewGroupState(byAddress, float64(loads.Imbalance), float64(loads.PeakImbalance), queued, reportedAt)
	state.Name, state.Complete = r.group, loads.Complete
	r.g.tracker.ApplyLoadReport(r.service, r.g.state.snapshot().targets[r.service], byAddress, state)
	r.g.admitIfQueued(r.service)
}

// startLoadFollowers starts a load follower for each service with rank groups that has none yet.
func (g *Gateway) startLoadFollowers(followed map[string]bool) {
	snap := g.state.snapshot()
	if snap == nil {
		return
	}
	for i := range snap.index.Services {
		s := &snap.index.Services[i]
		if s.Engine == nil || s.Engine.LayerSets == 0 || followed[s.Name] {
			continue
		}
		followed[s.Name] = true
		g.tasks.Go(func() { g.followLoads(g.ctx, s.Name) })
	}
}

// admissionQueue returns the admission queue of a service, nil if the service has no rank groups.
func (g *Gateway) admissionQueue(s *serving.Service) *placing.AdmissionQueue {
	if s.Engine == nil || s.Engine.LayerSets == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	queue := g.queues[s.Name]
	if queue == nil {
		queue = new(placing.AdmissionQueue)
		g.queues[s.Name] = queue
	}
	return queue
}

// admitIfQueued admits queued requests of a service after an event that may have made headroom.
// It returns early if the queue is empty, which is the usual case: load reports of each group
// arrive several times a second.
func (g *Gateway) admitIfQueued(service string) {
	g.mu.Lock()
	queue := g.queues[service]
	g.mu.Unlock()
	if queue != nil && queue.HasWaiting() {
		g.admitQueued(service)
	}
}

// admitQueued admits queued requests of a service up to the current headroom of its groups.
func (g *Gateway) admitQueued(service string) {
	snap := g.state.snapshot()
	if snap == nil {
		return
	}
	s := snap.index.Service(service)
	if s == nil {
		return
	}
	queue := g.admissionQueue(s)
	if queue == nil {
		return
	}
	placing.Admit(queue, g.tracker, placing.TargetPool{
		Service:           s,
		EventGapObjective: snap.index.EventGapObjective(service),
		Targets:           snap.targets[service],
		EntryCount:        g.cluster.liveCount(),
	}, time.Now())
}
