package lockstep

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// Gathering of counts.
//
// Counts of 64 ranks fill the leader's link for longer than a pass takes, and those
// of a quarter of the ranks show which requests these happen to run: maps for them
// leave the group at 1.4 times the mean where 1.15 was planned. So in a large group
// some agents add up the counts of their neighbours, and the leader gets sums.
const (
	directRanks = 16 // smaller groups tell the leader each for itself
	gatherRanks = 8  // whose counts are added up by one of them
	// gathererPlace is the place of that one among them; the first of all is the leader.
	gathererPlace = 1
	// gatherLimit is for questions to neighbours; it leaves their leader's own limit
	// time for the answer.
	gatherLimit = 120 * time.Millisecond
)

// assignCounts decides which of the ranks are asked for counts.
func assignCounts(ranks []rank) {
	if len(ranks) <= directRanks {
		for i := range ranks {
			ranks[i].counts, ranks[i].gather = true, nil
		}
		return
	}
	for some := range slices.Chunk(ranks, gatherRanks) {
		one := gatherer(some)
		for i := range some {
			some[i].counts, some[i].gather = false, nil
		}
		if one < 0 {
			continue
		}
		some[one].counts = true
		for i := range some {
			if i != one && some[i].peers != "" {
				some[one].gather = append(some[one].gather, some[i].peers)
			}
		}
	}
}

// gatherer returns the place of the rank that adds up the counts of some; -1 if
// none can.
func gatherer(some []rank) int {
	for i := range some {
		at := (i + gathererPlace) % len(some)
		if some[at].hasAgent() {
			return at
		}
	}
	return -1
}

// group are the engines among which the ranks are.
type group struct {
	a        *Agent
	members  map[string]*member // by engine address
	readNext time.Time          // no sooner
	model    *serving.EngineModel
	gapAim   time.Duration // for the pauses in the service's streams
}

func newGroup(a *Agent) *group { return &group{a: a, members: make(map[string]*member)} }

// reread reads the engines of the service from the store, but not more often than
// every rereadEvery: calls are paid for. A read that failed is made again sooner.
//
// Failure: an agent starts while the store is away. Symptom: the group is led three
// seconds after the store's return, and until then all streams run on the map that
// engines start with, each pass two to three times as long.
func (g *group) reread() {
	now := time.Now()
	if now.Before(g.readNext) {
		return
	}
	g.readNext = now.Add(rereadEvery)
	if err := g.readTargets(now); err != nil {
		g.readNext = now.Add(rereadFailed)
		g.a.opts.Log.Info("engines of the group not read", "error", err.Error())
	}
	if g.model != nil {
		return
	}
	if err := g.readModel(); err != nil {
		g.readNext = now.Add(rereadFailed)
		g.a.opts.Log.Info("cost model not read", "error", err.Error())
	}
}

// Paces of reading the store.
const (
	rereadEvery  = 3 * time.Second
	rereadFailed = 250 * time.Millisecond // a few calls a second, of one agent of a group
)

func (g *group) readTargets(now time.Time) error {
	records, _, err := g.a.opts.Store.Newest(g.a.ctx, serving.TopicTargets)
	if err != nil {
		return err
	}
	listed := make(map[string]bool)
	for _, rec := range records {
		if len(rec.Value) == 0 {
			continue
		}
		t, err := g.a.opts.DecodeTarget(rec.Key, rec.Value)
		if err != nil {
			g.a.opts.Metrics.Count("target_records_ignored", 1)
			g.a.opts.Log.Info("record of a target ignored", "target", rec.Key, "error", err.Error())
			continue
		}
		if t.Service == g.a.opts.Service {
			listed[t.Address] = true
			g.add(t.Address)
		}
	}
	g.forget(listed, now)
	return nil
}

// forget drops members that readings have lacked for as long as records may take to
// come back after an outage of the store: one reading may be of just after it, or stale,
// and a group without its members has no leader.
func (g *group) forget(listed map[string]bool, now time.Time) {
	for address, m := range g.members {
		switch {
		case listed[address] || m.own != nil:
			m.missing = time.Time{}
		case m.missing.IsZero():
			m.missing = now
		case now.Sub(m.missing) > serving.ReturnWait:
			m.client.Close()
			delete(g.members, address)
		}
	}
}

func (g *group) add(address string) {
	if g.members[address] != nil {
		return
	}
	m := &member{engine: address, direct: g.a.opts.Remote(address)}
	if host, _, err := net.SplitHostPort(address); err == nil {
		m.peers = net.JoinHostPort(host, g.a.opts.Port)
	}
	if address == g.a.opts.Address {
		m.own, m.direct = g.a, g.a.opts.Engine
	} else if m.peers != "" {
		m.client = g.a.opts.Dial(m.peers)
	}
	g.members[address] = m
}

func (g *group) readModel() error {
	records, _, err := g.a.opts.Store.Newest(g.a.ctx, serving.TopicConfig)
	if err != nil {
		return err
	}
	for _, rec := range records {
		c, ok, err := g.a.opts.DecodeConfig(rec.Key, rec.Value)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		index := serving.NewIndex(c)
		if s := index.Service(g.a.opts.Service); s != nil {
			g.model, g.gapAim = s.Engine, index.GapAim(g.a.opts.Service)
		}
	}
	return nil
}

// collect asks all members at once and returns those that are ranks of the group,
// ordered by rank. complete tells whether all ranks of one epoch are there.
func (g *group) collect(name string, q *peers.Collect) (ranks []rank, complete bool) {
	return g.collectWith(name, q, (*member).collect)
}

// collectWith is collect with a way to ask one member.
func (g *group) collectWith(name string, q *peers.Collect, askOne func(*member, *Agent, *peers.Collect) peers.RankState) (ranks []rank, complete bool) {
	plainly := *q
	plainly.Counts = false
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, m := range g.members {
		wait.Go(func() {
			ask := plainly
			if m.counts && q.Counts {
				ask.Counts, ask.Gather = true, m.gather
			}
			state := askOne(m, g.a, &ask)
			mu.Lock()
			defer mu.Unlock()
			if state.Known && state.Group == name {
				ranks = append(ranks, rank{member: m, state: state})
			}
		})
	}
	wait.Wait()
	slices.SortFunc(ranks, func(x, y rank) int { return x.state.Rank - y.state.Rank })
	assignCounts(ranks)
	return ranks, isComplete(ranks)
}

func isComplete(ranks []rank) bool {
	for i := range ranks {
		s, first := &ranks[i].state, &ranks[0].state
		if s.Rank != i || s.Epoch != first.Epoch || s.Ranks != len(ranks) || !s.Open {
			return false
		}
	}
	return len(ranks) > 0
}
