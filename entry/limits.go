package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

// limits keeps the teams' limits at this entry. A team has state here only while
// it has limits and is seen.
type limits struct {
	start time.Time

	mu    sync.Mutex
	teams map[string]*route.TeamLimiter
	parts map[string]teamPart
	nodes uint64 // digest of the entries that parts was made for
}

// teamPart is a part that was worked out before: ranking all entries for each
// request would cost more than placing it.
type teamPart struct {
	part   route.LimitMembership
	member bool
}

const (
	limitTeams = 8192        // that have state at once; about 500 bytes each
	limitIdle  = time.Minute // after which a team's state is dropped
)

func newLimits() *limits {
	return &limits{start: time.Now(), teams: make(map[string]*route.TeamLimiter), parts: make(map[string]teamPart)}
}

func (l *limits) now() time.Duration { return time.Since(l.start) }

// team returns a team's state, nil if there are too many. Called with mu.
func (l *limits) team(name string) *route.TeamLimiter {
	t := l.teams[name]
	if t == nil && len(l.teams) < limitTeams {
		t = route.NewTeamLimiter()
		l.teams[name] = t
	}
	return t
}

// admit books a call in its team's limits. The refusal is final and at once; done
// must be called when an admitted call is over.
func (e *Entry) admit(snap *config.Snapshot, team *config.Team, c *Call) (done func(), err error) {
	limit := route.Limits{Requests: float64(team.Requests), Tokens: float64(team.Tokens), InFlight: team.InFlight}
	if !limit.HasLimit() {
		return func() {}, nil
	}
	svc := snap.Service(c.Service)
	c.prepare(snap, svc, e.fleetView(snap, svc.Fleet).state.answerTokens())
	part, member := e.part(team.Name)
	l := e.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(team.Name)
	if t == nil {
		return nil, result.New(result.LimitTracked, "%d teams with limits are seen here", limitTeams)
	}
	ok, wait := t.Admit(l.now(), limit, part, c.sched.cost.DecodeEquivalent())
	if !ok {
		return nil, limitRefusal(team.Name, member, wait)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		t.Release(0)
	}, nil
}

func limitRefusal(team string, member bool, wait time.Duration) error {
	code := result.LimitTeam
	if !member {
		code = result.LimitShare
	}
	err := result.New(code, "team %s", team)
	err.RetryAfter = wait
	return err
}

// part returns which part of a team's limits is kept here, and whether this entry
// is one of the team's.
func (e *Entry) part(team string) (route.LimitMembership, bool) {
	nodes := e.entriesDigest.Load()
	l := e.limits
	l.mu.Lock()
	if l.nodes != nodes || len(l.parts) >= limitTeams {
		l.nodes = nodes
		clear(l.parts)
	}
	held, ok := l.parts[team]
	l.mu.Unlock()
	if ok {
		return held.part, held.member
	}
	made := e.makePart(team)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nodes == nodes {
		l.parts[team] = made
	}
	return made.part, made.member
}

func (e *Entry) makePart(team string) teamPart {
	entries := e.liveEntries()
	p := teamPart{part: route.LimitMembership{Self: e.opts.Settings.Name, Entries: len(entries)}}
	for _, m := range route.TeamMembers(team, entries, route.EntriesPerTeam) {
		p.part.Members = append(p.part.Members, m.Name)
		p.member = p.member || m.Name == p.part.Self
	}
	return p
}

// tellDemand tells the other entries of each team what it asked for here.
func (e *Entry) tellDemand() {
	for period := uint64(1); e.sleep(route.DemandPeriod); period++ {
		for peer, rows := range e.demandByPeer() {
			e.node.Send(peer, wire.NoteDemand, &wire.Demand{Period: period, Teams: rows})
		}
	}
}

func (e *Entry) demandByPeer() map[string][]wire.TeamDemand {
	l := e.limits
	told := make(map[string]float64)
	l.mu.Lock()
	now := l.now()
	for name, t := range l.teams {
		if demand, tell := t.EndPeriod(); tell {
			told[name] = demand
		}
		if t.IsIdle(now, limitIdle) {
			delete(l.teams, name)
		}
	}
	l.mu.Unlock()
	peers := make(map[string][]wire.TeamDemand)
	for team, demand := range told {
		p, member := e.part(team)
		if !member {
			continue // its part does not depend on demand
		}
		for _, m := range p.Members {
			if m != p.Self {
				peers[m] = append(peers[m], wire.TeamDemand{Team: team, Requests: float32(demand)})
			}
		}
	}
	return peers
}

// heardNote takes another entry's demand.
func (e *Entry) heardNote(from string, kind wire.Note, payload []byte) error {
	if kind != wire.NoteDemand {
		return nil
	}
	var d wire.Demand
	if _, err := d.UnmarshalMsg(payload); err != nil {
		return result.New(result.WireMalformed, "demand: %w", err)
	}
	l := e.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range d.Teams {
		if t := l.team(row.Team); t != nil {
			t.RecordDemand(l.now(), from, float64(row.Requests))
		}
	}
	return nil
}

// teamFirst moves the entries that keep the limits of the asking team to the
// front. A caller that sends no key, or a team without limits, gets the list as it
// is.
func (e *Entry) teamFirst(c fiber.Ctx, addresses []string) {
	if c.Get(fiber.HeaderAuthorization) == "" {
		return
	}
	_, team, err := e.authenticate(c)
	if err != nil || (team.Requests == 0 && team.Tokens == 0 && team.InFlight == 0) {
		return
	}
	p, _ := e.part(team.Name)
	vms := e.vms.Load()
	if vms == nil {
		return
	}
	rank := make(map[string]int)
	for _, vm := range *vms {
		if at := slices.Index(p.Members, vm.Name); at >= 0 {
			rank[vm.Callers] = at - len(p.Members)
		}
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(rank[a], rank[b]) })
}
