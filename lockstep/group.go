package lockstep

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// group are the engines among which the ranks are.
type group struct {
	a        *Agent
	members  map[string]*member // by engine address
	readNext time.Time          // no sooner
	reads    int                // since all ranks were there last
	model    *serving.EngineModel
	gapAim   time.Duration // for the pauses in the service's streams
	lacking  bool          // ranks were missing when the group was asked last
	searched time.Time     // when members of other groups were asked last
	inVain   int           // times in a row that they were asked while ranks were missing
}

func newGroup(a *Agent) *group { return &group{a: a, members: make(map[string]*member)} }

// reread reads the engines of the service from the store, but less and less often as long as
// ranks are missing: calls are paid for, and engines that are too few for a group may wait for
// others for good. A read that failed is made again sooner.
//
// Failure: an agent starts while the store is away, or while other engines still register.
// Symptom: the group is led seconds after the last of them is there, and until then all streams
// run on the map that engines start with, each pass two to three times as long.
func (g *group) reread() {
	now := time.Now()
	if now.Before(g.readNext) {
		return
	}
	g.readNext = now.Add(min(rereadFirst<<min(g.reads, rereadDoublings), rereadEvery))
	g.reads++
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
	rereadFirst  = 250 * time.Millisecond
	rereadEvery  = 3 * time.Second
	rereadFailed = 250 * time.Millisecond // a few calls a second, of one agent of a group
	// rereadDoublings of rereadFirst are longer than rereadEvery.
	rereadDoublings = 4
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
		case now.Sub(m.missing) > serving.LapsedGrace:
			g.a.contacts.drop(m.peers)
			delete(g.members, address)
		}
	}
}

func (g *group) add(address string) {
	if g.members[address] != nil {
		return
	}
	m := &member{engine: address, direct: g.a.opts.NewRemoteEngine(address), rank: noRank}
	if host, _, err := net.SplitHostPort(address); err == nil {
		m.peers = net.JoinHostPort(host, g.a.opts.PeerPort)
	}
	if address == g.a.opts.EngineAddr {
		m.own, m.direct = g.a, g.a.opts.Engine
	} else if m.peers != "" {
		m.agent = g.a.contacts.get(m.peers, g.a.opts.Dial)
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
			g.model, g.gapAim = s.Engine, index.EventGapObjective(g.a.opts.Service)
		}
	}
	return nil
}

// askOne is a way to ask one member for its state.
type askOne func(*member, *Agent, *peers.Collect) peers.RankState

// collect asks all members at once and returns those that are ranks of the group,
// ordered by rank. complete tells whether all ranks of one epoch are there.
func (g *group) collect(name string, q *peers.Collect) (ranks []rank, complete bool) {
	return g.collectWith(name, q, (*member).collect)
}

// collectWith is collect with a way to ask one member.
func (g *group) collectWith(name string, q *peers.Collect, ask askOne) (ranks []rank, complete bool) {
	members := g.mayBelong(name, time.Now())
	states := make([]peers.RankState, len(members))
	through, alone := divide(members)
	var wait sync.WaitGroup
	for _, i := range alone {
		one := *q
		one.Counts = q.Counts && (len(members) <= directRanks || members[i].own != nil)
		wait.Go(func() { states[i] = ask(members[i], g.a, &one) })
	}
	if len(through) > 0 {
		g.collectThrough(members, through, states, q, ask)
	}
	wait.Wait()
	for i, m := range members {
		if !states[i].Known {
			continue
		}
		m.rank, m.group = states[i].Rank, states[i].Group
		if m.group == name {
			ranks = append(ranks, rank{member: m, state: states[i]})
		}
	}
	slices.SortStableFunc(ranks, func(x, y rank) int { return x.state.Rank - y.state.Rank })
	g.lacking = len(ranks) == 0 || len(ranks) < ranks[0].state.Ranks
	if !g.lacking {
		g.inVain, g.reads = 0, 0
	}
	return ranks, isComplete(ranks)
}

// searchEvery is how often members of other groups are asked whether they belong to this one
// by now. While ranks are missing that is done after lackingEvery, and then after twice as
// long each time: a few engines that are too many for one group may wait for others for good.
const (
	searchEvery  = 5 * time.Second
	lackingEvery = 500 * time.Millisecond
)

// searchPause returns how long to wait until members of other groups are asked again.
func (g *group) searchPause() time.Duration {
	if !g.lacking {
		return searchEvery
	}
	return min(lackingEvery<<min(g.inVain, 8), searchEvery)
}

// mayBelong returns the members that are asked for a group, in order. Those that told that
// they are of another one are left out, but for a look now and then: a service may have many
// groups, and if each leader asked all engines in each round the load on every agent would
// grow with their number.
func (g *group) mayBelong(name string, now time.Time) []*member {
	members := g.inOrder()
	if now.Sub(g.searched) >= g.searchPause() {
		g.searched = now
		g.inVain++
		return members
	}
	return slices.DeleteFunc(members, func(m *member) bool { return m.group != "" && m.group != name })
}

// inOrder returns the members by rank, as far as they have told it, and then by address:
// all who ask the group make nearly the same tree of it, so that agents hold few
// connections.
func (g *group) inOrder() []*member {
	return slices.SortedFunc(maps.Values(g.members), func(x, y *member) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.engine, y.engine))
	})
}

// divide returns the members that are asked along the tree, and those that are asked alone:
// all of a small group, those whose agents did not answer lately, and the leader, which when
// it stands still would keep a whole branch waiting just when the group stands still too.
func divide(members []*member) (through, alone []int) {
	for i, m := range members {
		if len(members) <= directRanks || m.own != nil || m.rank == 0 || m.agent == nil || !m.agent.steady() {
			alone = append(alone, i)
		} else {
			through = append(through, i)
		}
	}
	return through, alone
}

// collectThrough asks members along the tree, and alone those that it did not reach.
func (g *group) collectThrough(members []*member, through []int, states []peers.RankState, q *peers.Collect, ask askOne) {
	addresses := make([]string, len(through))
	for k, i := range through {
		addresses[k] = members[i].peers
	}
	below := g.a.collectBelow(addresses, q, askLimit)
	var wait sync.WaitGroup
	for k, i := range through {
		states[i] = below[k]
		if below[k].Known {
			continue
		}
		wait.Go(func() {
			if below[k].Unreachable {
				states[i] = members[i].collectDirectly(g.a, q)
			} else {
				states[i] = ask(members[i], g.a, &peers.Collect{Lists: q.Lists, Leader: q.Leader, Fence: q.Fence, Epoch: q.Epoch, Loads: q.Loads})
			}
		})
	}
	wait.Wait()
}

func isComplete(ranks []rank) bool {
	for i := range ranks {
		s, first := &ranks[i].state, &ranks[0].state
		if s.Rank != i || s.Epoch != first.Epoch || s.Ranks != len(ranks) || !s.Complete {
			return false
		}
	}
	return len(ranks) > 0
}
