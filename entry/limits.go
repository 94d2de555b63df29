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

// teamLimits enforces this entry's share of the team limits. A team has a limiter only while it
// has limits and sends requests.
type teamLimits struct {
	startedAt time.Time

	mu            sync.Mutex
	limiters      map[string]*route.TeamLimiter
	memberships   map[string]teamMembership
	entriesDigest uint64 // digest of the entry list that memberships was computed for
}

// teamMembership is a cached result of newMembership: the entries that enforce a team's limits, and
// whether this entry is one of them. Ranking all entries for each request would cost more than
// placing the request.
type teamMembership struct {
	limitMembership route.LimitMembership
	isMember        bool
}

const (
	maxLimitedTeams = 8192 // teams with a limiter at the same time; about 500 bytes each
	limiterIdleTTL  = time.Minute
)

func newTeamLimits() *teamLimits {
	return &teamLimits{startedAt: time.Now(), limiters: make(map[string]*route.TeamLimiter), memberships: make(map[string]teamMembership)}
}

// elapsed returns the time since startedAt, which is the clock of the limiters.
func (l *teamLimits) elapsed() time.Duration { return time.Since(l.startedAt) }

// limiter returns the limiter of a team, or nil if too many teams have one. The caller holds
// mu.
func (l *teamLimits) limiter(team string) *route.TeamLimiter {
	t := l.limiters[team]
	if t == nil && len(l.limiters) < maxLimitedTeams {
		t = route.NewTeamLimiter()
		l.limiters[team] = t
	}
	return t
}

// admit counts a call against its team's limits or rejects it at once. done must be called when
// an admitted call has ended.
func (e *Entry) admit(snap *config.Snapshot, team *config.Team, c *Call) (done func(), err error) {
	limit := route.Limits{Requests: float64(team.Requests), Tokens: float64(team.Tokens), InFlight: team.InFlight}
	if !limit.HasLimit() {
		return func() {}, nil
	}
	svc := snap.Service(c.Service)
	c.prepareSched(snap, svc, e.fleetView(snap, svc.Fleet).state.meanAnswerTokens())
	membership, isMember := e.limitMembership(team.Name)
	l := e.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.limiter(team.Name)
	if t == nil {
		return nil, result.New(result.LimitTracked, "limits of %d teams are tracked, no more fit", maxLimitedTeams)
	}
	ok, wait := t.Admit(l.elapsed(), limit, membership, c.sched.cost.DecodeEquivalent())
	if !ok {
		return nil, limitError(team.Name, isMember, wait)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		t.Release(0)
	}, nil
}

// limitError returns the error of a call that its team limit rejects.
func limitError(team string, isMember bool, wait time.Duration) error {
	code := result.LimitTeam
	if !isMember {
		code = result.LimitShare
	}
	err := result.New(code, "team %s", team)
	err.RetryAfter = wait
	return err
}

// limitMembership returns the entries that enforce a team's limits, and whether this entry is one of
// them.
func (e *Entry) limitMembership(team string) (route.LimitMembership, bool) {
	entriesDigest := e.entriesDigest.Load()
	l := e.limits
	l.mu.Lock()
	if l.entriesDigest != entriesDigest || len(l.memberships) >= maxLimitedTeams {
		l.entriesDigest = entriesDigest
		clear(l.memberships)
	}
	cached, ok := l.memberships[team]
	l.mu.Unlock()
	if ok {
		return cached.limitMembership, cached.isMember
	}
	computed := e.newMembership(team)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entriesDigest == entriesDigest {
		l.memberships[team] = computed
	}
	return computed.limitMembership, computed.isMember
}

// newMembership computes the membership that limitMembership caches.
func (e *Entry) newMembership(team string) teamMembership {
	entries := e.liveEntries()
	membership := teamMembership{limitMembership: route.LimitMembership{Self: e.opts.Settings.Name, Entries: len(entries)}}
	for _, m := range route.TeamMembers(team, entries, route.EntriesPerTeam) {
		membership.limitMembership.Members = append(membership.limitMembership.Members, m.Name)
		membership.isMember = membership.isMember || m.Name == membership.limitMembership.Self
	}
	return membership
}

// sendDemandLoop sends the demand of each team at this entry to the other entries that enforce the
// team's limits.
func (e *Entry) sendDemandLoop() {
	for period := uint64(1); e.sleep(route.DemandPeriod); period++ {
		for peer, rows := range e.demandByPeer() {
			e.node.Send(peer, wire.NoteDemand, &wire.Demand{Period: period, Teams: rows})
		}
	}
}

// demandByPeer ends the demand period of all limiters. It returns the changed team demands that
// each peer must be sent, and removes idle limiters.
func (e *Entry) demandByPeer() map[string][]wire.TeamDemand {
	l := e.limits
	changed := make(map[string]float64)
	l.mu.Lock()
	now := l.elapsed()
	for name, t := range l.limiters {
		if demand, propagate := t.EndPeriod(); propagate {
			changed[name] = demand
		}
		if t.IsIdle(now, limiterIdleTTL) {
			delete(l.limiters, name)
		}
	}
	l.mu.Unlock()
	peers := make(map[string][]wire.TeamDemand)
	for team, demand := range changed {
		membership, isMember := e.limitMembership(team)
		if !isMember {
			continue // this entry does not enforce the team's limits, so its share does not depend on demand
		}
		for _, m := range membership.Members {
			if m != membership.Self {
				peers[m] = append(peers[m], wire.TeamDemand{Team: team, Requests: float32(demand)})
			}
		}
	}
	return peers
}

// handleNote applies another entry's demand note and ignores other notes.
func (e *Entry) handleNote(from string, kind wire.Note, payload []byte) error {
	if kind != wire.NoteDemand {
		return nil
	}
	var d wire.Demand
	if _, err := d.UnmarshalMsg(payload); err != nil {
		return result.New(result.WireMalformed, "decode demand: %w", err)
	}
	l := e.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range d.Teams {
		if t := l.limiter(row.Team); t != nil {
			t.RecordDemand(l.elapsed(), from, float64(row.Requests))
		}
	}
	return nil
}

// preferTeamEntries moves the entries that enforce the limits of the caller's team to the front. The
// order is unchanged if the caller sends no valid key or the team has no limits.
func (e *Entry) preferTeamEntries(c fiber.Ctx, addresses []string) {
	if c.Get(fiber.HeaderAuthorization) == "" {
		return
	}
	_, team, err := e.authenticate(c)
	if err != nil || (team.Requests == 0 && team.Tokens == 0 && team.InFlight == 0) {
		return
	}
	membership, _ := e.limitMembership(team.Name)
	vms := e.vms.Load()
	if vms == nil {
		return
	}
	rank := make(map[string]int)
	for _, vm := range *vms {
		if position := slices.Index(membership.Members, vm.Name); position >= 0 {
			rank[vm.Callers] = position - len(membership.Members)
		}
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(rank[a], rank[b]) })
}
