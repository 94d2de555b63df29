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

// group holds the candidate engines of one group: all engines of the service, of which the
// group's ranks are a part.
type group struct {
	a                    *Agent
	members              map[string]*member // engines of the service by address
	nextRead             time.Time          // earliest time of the next read of the store
	readsWhileIncomplete int                // reads of the store since all ranks were last seen
	costModel
	modelReads     chan costModel // result of a read of the cost model that runs beside the rounds; nil: none runs
	targetsEnd     serving.Position
	ranksMissing   bool      // the latest collect did not find all ranks
	lastSearch     time.Time // when members of other groups were last asked whether they have joined this one
	failedSearches int       // consecutive searches that did not find all ranks
}

// costModel is what the configuration says of the service of a group.
type costModel struct {
	model             *serving.EngineModel
	eventGapObjective time.Duration // longest gap between two events with which a stream of the service is on time
	version           uint64        // version of the configuration
	readAt            time.Time
}

func newGroup(a *Agent) *group { return &group{a: a, members: make(map[string]*member)} }

// refresh reads the engines of the service and its cost model from the store. While ranks are
// missing, reads back off: calls to the store are billed, and engines that are too few for a group
// may wait for more forever. The first reads follow each other quickly, and a failed read is
// repeated soon.
//
// With slow first reads, an agent that starts while the store is down, or while other engines are
// still registering, would lead its group only seconds after the last engine has registered. Until
// then all streams run on the initial map, on which a pass takes two to three times as long.
func (g *group) refresh() {
	now := time.Now()
	if now.Before(g.nextRead) {
		return
	}
	g.nextRead = now.Add(min(minReadInterval<<min(g.readsWhileIncomplete, maxReadDoublings), maxReadInterval))
	g.readsWhileIncomplete++
	if err := g.readTargets(now); err != nil {
		g.nextRead = now.Add(failedReadInterval)
		g.a.opts.Log.Info("reading the engines of the group failed", "error", err.Error())
	}
	if g.model != nil {
		return
	}
	read, err := g.a.readCostModel()
	if err != nil {
		g.nextRead = now.Add(failedReadInterval)
		g.a.opts.Log.Info("reading the cost model failed", "error", err.Error())
		return
	}
	g.setCostModel(read)
}

func (g *group) setCostModel(read costModel) {
	g.costModel = read
	if read.model != nil {
		g.a.reportLag.Store(int64(read.model.ReportLag))
	}
}

// modelTTL is how long a cost model is used before it is read again. A store that has come back from
// an older copy has an older configuration until the operator has written the lost one again.
const modelTTL = 30 * time.Second

// renewModel reads the cost model again once it is older than modelTTL. The read runs beside the
// rounds of the leader, as it may last long while the store is slow or down.
func (g *group) renewModel(now time.Time) {
	select {
	case read := <-g.modelReads:
		g.modelReads, g.readAt = nil, now
		if read.model != nil && read.version >= g.version {
			g.setCostModel(read)
		}
	default:
	}
	if g.model == nil || g.modelReads != nil || now.Sub(g.readAt) < modelTTL {
		return
	}
	results := make(chan costModel, 1)
	g.modelReads = results
	g.a.tasks.Go(func() {
		read, err := g.a.readCostModel()
		if err != nil {
			g.a.opts.Log.Info("reading the cost model failed", "error", err.Error())
		}
		results <- read
	})
}

// Intervals between reads of the store.
const (
	minReadInterval    = 250 * time.Millisecond
	maxReadInterval    = 3 * time.Second
	failedReadInterval = 250 * time.Millisecond // short: it causes only a few calls a second, by one agent of a group
	// maxReadDoublings doublings of minReadInterval exceed maxReadInterval.
	maxReadDoublings = 4
)

func (g *group) readTargets(now time.Time) error {
	records, end, err := g.a.opts.Store.Newest(g.a.ctx, serving.TopicTargets)
	if err != nil {
		return err
	}
	if serving.EraOf(end) < serving.EraOf(g.targetsEnd) {
		return serving.ErrEarlierEra
	}
	g.targetsEnd = end
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
			g.addMember(t.Address)
		}
	}
	g.dropMissing(listed, now)
	return nil
}

// dropMissing removes members that the store has not listed for serving.LapsedGrace, the time that
// records may take to return after an outage of the store. A single read may be stale or follow an
// outage directly, and a group that has lost its members has no leader.
func (g *group) dropMissing(listed map[string]bool, now time.Time) {
	for address, m := range g.members {
		switch {
		case listed[address] || m.localAgent != nil:
			m.missingSince = time.Time{}
		case m.missingSince.IsZero():
			m.missingSince = now
		case now.Sub(m.missingSince) > serving.LapsedGrace:
			g.a.agentClients.drop(m.agentAddr)
			delete(g.members, address)
		}
	}
}

func (g *group) addMember(address string) {
	if g.members[address] != nil {
		return
	}
	m := &member{engineAddr: address, engine: g.a.opts.NewRemoteEngine(address), rank: unknownRank}
	if host, _, err := net.SplitHostPort(address); err == nil {
		m.agentAddr = net.JoinHostPort(host, g.a.opts.PeerPort)
	}
	if address == g.a.opts.EngineAddr {
		m.localAgent, m.engine = g.a, g.a.opts.Engine
	} else if m.agentAddr != "" {
		m.agent = g.a.agentClients.get(m.agentAddr, g.a.opts.Dial)
	}
	g.members[address] = m
}

// readCostModel reads the cost model from the store. It is empty if the store has none.
func (a *Agent) readCostModel() (read costModel, err error) {
	records, _, err := a.opts.Store.Newest(a.ctx, serving.TopicConfig)
	if err != nil {
		return read, err
	}
	read.readAt = time.Now()
	for _, rec := range records {
		c, ok, err := a.opts.DecodeConfig(rec.Key, rec.Value)
		if err != nil {
			return read, err
		}
		if !ok {
			continue
		}
		index := serving.NewIndex(c)
		if s := index.Service(a.opts.Service); s != nil {
			read.model, read.eventGapObjective, read.version = s.Engine, index.EventGapObjective(a.opts.Service), c.Version
		}
	}
	return read, nil
}

// collectFunc asks one member for its state.
type collectFunc func(*member, *Agent, *peers.Collect) peers.RankState

// collect asks all members at once and returns those that are ranks of the named group, ordered
// by rank. complete reports whether all ranks of one epoch answered.
func (g *group) collect(name string, q *peers.Collect) (ranks []rank, complete bool) {
	return g.collectUsing(name, q, (*member).collect)
}

// collectUsing does the work of collect. It uses the function ask to ask one member for its state.
func (g *group) collectUsing(name string, q *peers.Collect, ask collectFunc) (ranks []rank, complete bool) {
	members := g.candidates(name, time.Now())
	states := make([]peers.RankState, len(members))
	viaTree, direct := splitForTree(members)
	var wait sync.WaitGroup
	for _, i := range direct {
		one := *q
		one.Counts = q.Counts && (len(members) <= maxDirectRanks || members[i].localAgent != nil)
		wait.Go(func() { states[i] = ask(members[i], g.a, &one) })
	}
	if len(viaTree) > 0 {
		g.collectViaTree(members, viaTree, states, q, ask)
	}
	wait.Wait()
	for i, m := range members {
		if !states[i].Known {
			continue
		}
		m.rank, m.groupName = states[i].Rank, states[i].Group
		if m.groupName == name {
			ranks = append(ranks, rank{member: m, state: states[i]})
		}
	}
	slices.SortStableFunc(ranks, func(x, y rank) int { return x.state.Rank - y.state.Rank })
	g.ranksMissing = len(ranks) == 0 || len(ranks) < ranks[0].state.Ranks
	if !g.ranksMissing {
		g.failedSearches, g.readsWhileIncomplete = 0, 0
	}
	return ranks, isComplete(ranks)
}

// A search asks members of other groups whether they have joined this one. The usual interval
// between searches is the maximum. While ranks are missing, it starts at the minimum and doubles
// with each failed search: engines that are too few for a second group may wait for more forever.
const (
	maxSearchInterval = 5 * time.Second
	minSearchInterval = 500 * time.Millisecond
)

// searchDelay returns the current interval between searches.
func (g *group) searchDelay() time.Duration {
	if !g.ranksMissing {
		return maxSearchInterval
	}
	return min(minSearchInterval<<min(g.failedSearches, 8), maxSearchInterval)
}

// candidates returns the members to ask for their state, in the order of sortedMembers. Members
// known to belong to another group are left out except in a periodic search. A service may have
// many groups, and if each leader asked all engines in every round, the load on each agent would
// grow with the number of groups.
func (g *group) candidates(name string, now time.Time) []*member {
	members := g.sortedMembers()
	if now.Sub(g.lastSearch) >= g.searchDelay() {
		g.lastSearch = now
		g.failedSearches++
		return members
	}
	return slices.DeleteFunc(members, func(m *member) bool { return m.groupName != "" && m.groupName != name })
}

// sortedMembers returns the members ordered by last known rank, then by address. All agents that
// ask the group thus build nearly the same tree, so each agent keeps few connections.
func (g *group) sortedMembers() []*member {
	return slices.SortedFunc(maps.Values(g.members), func(x, y *member) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.engineAddr, y.engineAddr))
	})
}

// splitForTree returns the indexes of the members to ask along the tree, and of those to ask
// directly: all members of a small group, members whose agent failed to answer its latest request,
// and the leader. A frozen leader in the tree would delay a whole branch just when the group is
// stalled.
func splitForTree(members []*member) (viaTree, direct []int) {
	for i, m := range members {
		if len(members) <= maxDirectRanks || m.localAgent != nil || m.rank == 0 || m.agent == nil || !m.agent.isHealthy() {
			direct = append(direct, i)
		} else {
			viaTree = append(viaTree, i)
		}
	}
	return viaTree, direct
}

// collectViaTree asks members along the tree, and directly those that the tree did not reach.
func (g *group) collectViaTree(members []*member, viaTree []int, states []peers.RankState, q *peers.Collect, ask collectFunc) {
	addresses := make([]string, len(viaTree))
	for k, i := range viaTree {
		addresses[k] = members[i].agentAddr
	}
	askedAt := time.Now()
	collected := g.a.collectAlongTree(addresses, q, askTimeout)
	var wait sync.WaitGroup
	for k, i := range viaTree {
		states[i] = collected[k]
		states[i].AsOf = askedAt
		if collected[k].Known {
			continue
		}
		wait.Go(func() {
			if collected[k].Unreachable {
				states[i] = members[i].collectFromEngine(g.a, q)
			} else {
				states[i] = ask(members[i], g.a, &peers.Collect{Lists: q.Lists, Leader: q.Leader, Fence: q.Fence, Epoch: q.Epoch, Loads: q.Loads})
			}
		})
	}
	wait.Wait()
}

// isComplete reports whether ranks holds every rank of a complete group, all in the same epoch.
func isComplete(ranks []rank) bool {
	for i := range ranks {
		s, first := &ranks[i].state, &ranks[0].state
		if s.Rank != i || s.Epoch != first.Epoch || s.Ranks != len(ranks) || !s.Complete {
			return false
		}
	}
	return len(ranks) > 0
}
