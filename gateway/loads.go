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

// loadReader learns from the agents of a group's engines how loaded each rank is.
type loadReader struct {
	g       *Gateway
	f       *follower
	service string
	group   string // "": it looks for one that nobody reads yet
	client  *peers.Client
	asked   string // address of the engine whose agent was drawn last
	roster  uint64
	engines []string
	shared  bool // any agent can be asked, not only the leader
}

// Paces of the questions. Any agent of a large group can be asked. That of a small one is
// asked by all entries together, and has a small part of a core: at most 250 times a second.
const (
	loadsEvery    = 120 * time.Millisecond
	loadsPerEntry = 4 * time.Millisecond
	loadsLimit    = 300 * time.Millisecond
	loadsRest     = 400 * time.Millisecond // after a failure
)

// pause returns how long to wait until the next question.
func (l *loadReader) pause() time.Duration {
	if l.shared {
		return loadsEvery
	}
	return max(loadsEvery, time.Duration(l.g.mesh.entries())*loadsPerEntry)
}

func (l *loadReader) ask(ctx context.Context) bool {
	if l.client == nil && !l.choose() {
		return false
	}
	var loads peers.Loads
	waiting := l.waiting()
	q := &peers.LoadsQuery{Roster: l.roster, Entry: l.g.opts.Name, QueuedInTime: peers.ClampUint16(waiting.InTime), QueuedLate: peers.ClampUint16(waiting.Late)}
	err := l.client.Ask(ctx, peers.KindLoads, q, &loads, loadsLimit)
	if err != nil {
		l.drop(err)
		return false
	}
	l.size(&loads)
	if !loads.Known && loads.Leader != "" && loads.Leader != l.client.Addr() {
		l.client.Close()
		l.client = peers.NewClient(loads.Leader)
		return true
	}
	if loads.Known && !l.f.claim(l, loads.Group) {
		l.drop(nil)
		return false
	}
	if !loads.Known || time.Duration(loads.AgeMS)*time.Millisecond > placing.ReportTTL {
		l.drop(nil)
		return false
	}
	l.shared = loads.Leader == ""
	l.take(&loads)
	if loads.AskOthers {
		l.client.Close()
		l.client = nil
	}
	return true
}

// size notes how many ranks the group has.
func (l *loadReader) size(loads *peers.Loads) {
	if loads.Ranks > 0 {
		l.g.book.SetGroupSize(l.service, loads.Group, int(loads.Ranks), time.Now())
		l.g.roomMade(l.service)
	}
}

// waiting returns how many requests wait here for the service.
func (l *loadReader) waiting() placing.QueueCounts {
	l.g.mu.Lock()
	gt := l.g.gates[l.service]
	l.g.mu.Unlock()
	if gt == nil {
		return placing.QueueCounts{}
	}
	return gt.QueueCounts(time.Now())
}

func (l *loadReader) drop(err error) {
	if err != nil {
		l.g.opts.Log.Info("loads not read", "service", l.service, "agent", l.client.Addr(), "error", err.Error())
	}
	l.client.Close()
	l.client = nil
}

// choose draws an agent; it tells who leads.
func (l *loadReader) choose() bool {
	v := l.g.knowledge.view()
	if v == nil {
		return false
	}
	targets := l.near(l.f.mine(l, v.targets[l.service]))
	if len(targets) == 0 {
		return false
	}
	l.asked = targets[rand.IntN(len(targets))].Address
	host, _, err := net.SplitHostPort(l.asked)
	if err != nil {
		return false
	}
	l.client = peers.NewClient(net.JoinHostPort(host, l.g.opts.AgentPort))
	return true
}

// near returns the targets of this entry's data centre, or all if none is there.
func (l *loadReader) near(targets []*serving.Target) []*serving.Target {
	var near []*serving.Target
	for _, t := range targets {
		if t.DataCentre == l.g.opts.DataCentre {
			near = append(near, t)
		}
	}
	if len(near) == 0 {
		return targets
	}
	return near
}

func (l *loadReader) take(loads *peers.Loads) {
	if loads.Roster != l.roster {
		l.roster, l.engines = loads.Roster, loads.Engines
	}
	if len(l.engines) != len(loads.Running) || len(l.engines) != len(loads.Waiting) {
		l.roster = 0 // the list belongs to another roster; ask for it
		return
	}
	now := time.Now()
	at := now.Add(-time.Duration(loads.AgeMS) * time.Millisecond)
	byAddress := make(map[string]placing.RankLoad, len(l.engines))
	for i, engine := range l.engines {
		byAddress[engine] = placing.RankLoad{Running: int(loads.Running[i]), Waiting: int(loads.Waiting[i]), Slowdown: 1}
	}
	for _, slow := range loads.Slow {
		if int(slow.Rank) < len(l.engines) {
			engine := l.engines[slow.Rank]
			load := byAddress[engine]
			load.Slowdown = float64(slow.Slowdown)
			byAddress[engine] = load
		}
	}
	l.f.covers(l.group, l.engines)
	state := placing.NewGroupState(byAddress, float64(loads.Imbalance), float64(loads.PeakImbalance), placing.QueueCounts{InTime: int(loads.QueuedInTime), Late: int(loads.QueuedLate)}, at)
	state.Name, state.Complete = l.group, loads.Complete
	l.g.book.ApplyLoadReport(l.service, l.g.knowledge.view().targets[l.service], byAddress, state)
	l.g.roomMade(l.service)
}

// startLoads begins to follow the loads of services that have rank groups.
func (g *Gateway) startLoads(followed map[string]bool) {
	v := g.knowledge.view()
	if v == nil {
		return
	}
	for i := range v.index.Services {
		s := &v.index.Services[i]
		if s.Engine == nil || s.Engine.LayerSets == 0 || followed[s.Name] {
			continue
		}
		followed[s.Name] = true
		g.tasks.Go(func() { g.followLoads(g.ctx, s.Name) })
	}
}

// gate returns the gate of a service; nil if it needs none.
func (g *Gateway) gate(s *serving.Service) *placing.AdmissionQueue {
	if s.Engine == nil || s.Engine.LayerSets == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	gt := g.gates[s.Name]
	if gt == nil {
		gt = new(placing.AdmissionQueue)
		g.gates[s.Name] = gt
	}
	return gt
}

// roomMade lets requests go that wait for a service, after something that may have made room for
// them. Mostly nobody waits, and entries hear of each group several times a second.
func (g *Gateway) roomMade(service string) {
	g.mu.Lock()
	gt := g.gates[service]
	g.mu.Unlock()
	if gt != nil && gt.HasWaiting() {
		g.admitWaiting(service)
	}
}

// admitWaiting computes what a service may be sent, and admits requests that wait.
func (g *Gateway) admitWaiting(service string) {
	v := g.knowledge.view()
	if v == nil {
		return
	}
	s := v.index.Service(service)
	if s == nil {
		return
	}
	gt := g.gate(s)
	if gt == nil {
		return
	}
	placing.Admit(gt, g.book, placing.TargetPool{
		Service:           s,
		EventGapObjective: v.index.EventGapObjective(service),
		Targets:           v.targets[service],
		Entries:           g.mesh.entries(),
	}, time.Now())
}
