package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// loadReader learns from the agents of a service's engines how loaded each rank
// is.
type loadReader struct {
	g       *Gateway
	service string
	client  *peers.Client
	roster  uint64
	engines []string
}

// Paces of the questions. All entries together ask the agent that leads, which has
// a small part of a core, at most 250 times a second.
const (
	loadsEvery    = 120 * time.Millisecond
	loadsPerEntry = 4 * time.Millisecond
	loadsLimit    = 300 * time.Millisecond
	loadsRest     = 400 * time.Millisecond // after a failure
)

// followLoads asks for the loads of a service until ctx ends.
func (g *Gateway) followLoads(ctx context.Context, service string) {
	l := &loadReader{g: g, service: service}
	for ctx.Err() == nil {
		if l.ask(ctx) {
			sleep(ctx, max(loadsEvery, time.Duration(g.mesh.entries())*loadsPerEntry))
		} else {
			sleep(ctx, loadsRest)
		}
	}
}

func (l *loadReader) ask(ctx context.Context) bool {
	if l.client == nil && !l.choose() {
		return false
	}
	var loads peers.Loads
	err := l.client.Ask(ctx, peers.KindLoads, &peers.LoadsQuery{Roster: l.roster}, &loads, loadsLimit)
	if err != nil {
		l.drop(err)
		return false
	}
	if loads.Leader != "" && loads.Leader != l.client.Addr() {
		l.client.Close()
		l.client = peers.NewClient(loads.Leader)
		return true
	}
	if !loads.Known || time.Duration(loads.AgeMS)*time.Millisecond > reportLife {
		l.drop(nil)
		return false
	}
	l.take(&loads)
	return true
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
	if v == nil || len(v.targets[l.service]) == 0 {
		return false
	}
	targets := v.targets[l.service]
	host, _, err := net.SplitHostPort(targets[rand.IntN(len(targets))].Address)
	if err != nil {
		return false
	}
	l.client = peers.NewClient(net.JoinHostPort(host, l.g.opts.AgentPort))
	return true
}

func (l *loadReader) take(loads *peers.Loads) {
	if loads.Roster != l.roster {
		l.roster, l.engines = loads.Roster, loads.Engines
	}
	if len(l.engines) != len(loads.Ranks) {
		l.roster = 0 // the list belongs to another roster; ask for it
		return
	}
	now := time.Now()
	at := now.Add(-time.Duration(loads.AgeMS) * time.Millisecond)
	byAddress := make(map[string]peers.RankLoad, len(l.engines))
	for i, engine := range l.engines {
		byAddress[engine] = loads.Ranks[i]
	}
	v := l.g.knowledge.view()
	l.g.book.reported(v.targets[l.service], byAddress, at)
	total, pace := 0, 1.0
	for _, rank := range loads.Ranks {
		total += int(rank.Running) + int(rank.Waiting)
		pace = max(pace, float64(rank.Pace))
	}
	l.g.book.setGroup(l.service, groupState{
		mean:      total / max(len(loads.Ranks), 1),
		imbalance: float64(loads.Imbalance),
		worst:     float64(loads.Worst),
		pace:      pace,
		at:        at,
	})
	l.g.regate(l.service)
}

// startLoads begins to follow the loads of services that have rank groups.
func (g *Gateway) startLoads(followed map[string]bool) {
	v := g.knowledge.view()
	if v == nil {
		return
	}
	for i := range v.index.Services {
		s := &v.index.Services[i]
		if s.Engine == nil || s.Engine.Sets == 0 || followed[s.Name] {
			continue
		}
		followed[s.Name] = true
		g.tasks.Go(func() { g.followLoads(g.ctx, s.Name) })
	}
}

// gate returns the gate of a service; nil if it needs none.
func (g *Gateway) gate(s *serving.Service) *gate {
	if s.Engine == nil || s.Engine.Sets == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	gt := g.gates[s.Name]
	if gt == nil {
		gt = new(gate)
		g.gates[s.Name] = gt
	}
	return gt
}

// regate lets requests go that wait for a service.
func (g *Gateway) regate(service string) {
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
	now := time.Now()
	most := g.book.limit(s, v.index.GapAim(service), now)
	most -= g.unseen(gt, len(v.targets[service]), g.book.reportAge(service, now), now)
	most = max(most, 1)
	entries := g.mesh.entries()
	gt.grant(now, func(r *request) *serving.Target {
		g.book.assume(service, len(v.targets[service]), entries, now)
		return g.book.reserve(v.targets[service], most, entries, r.size, now)
	})
}

// unseen returns how many requests other entries have sent to each target since
// its load was reported, if they send as this one does. With many entries and
// reports a few hundred milliseconds old it is several, and targets that seem to
// have room fill their own queues.
func (g *Gateway) unseen(gt *gate, targets int, age time.Duration, now time.Time) int {
	others := g.mesh.entries() - 1
	if targets == 0 || age > reportLife {
		return 0
	}
	return int(gt.perSecond(now)*float64(others)/float64(targets)*age.Seconds() + 0.5)
}
