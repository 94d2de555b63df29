package lockstep

import (
	"hash/fnv"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/placing"
)

// Entries, the processes that take requests from callers, place requests by the loads of a group's
// ranks. They query the agents for these loads.
//
// If all entries of a large fleet queried the leader, which has a fraction of a core, each entry
// could do so only twice a second. It would place requests by stale loads, and requests would queue
// in some engines while others have headroom. So the leader's Collect messages carry the loads
// to all agents of a large group, an entry may query any of them, and the entries' queue counts
// return to the leader with the responses.

// groupLoads are the loads of a group's ranks that an agent reports to entries.
type groupLoads struct {
	loads    peers.Loads
	asOf     time.Time
	isLeader bool // this agent leads the group
}

// publishLoads sets the loads that this agent reports to entries while it leads the group.
func (a *Agent) publishLoads(loads peers.Loads) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.groupLoads, a.leaderAddr = groupLoads{loads: loads, asOf: time.Now(), isLeader: true}, a.opts.PeerAddr
}

// setGroup sets the group of this VM's engine and its number of ranks.
func (a *Agent) setGroup(name string, ranks int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.groupName, a.groupRanks = name, ranks
}

// storeLoads stores the loads that the leader sent. The leader includes the engine list only if the
// list is new or some agent has reported that it lacks the list.
func (a *Agent) storeLoads(loads *peers.Loads) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := groupLoads{loads: *loads, asOf: time.Now().Add(-time.Duration(loads.AgeMS) * time.Millisecond)}
	if len(next.loads.Engines) == 0 && next.loads.Roster == a.groupLoads.loads.Roster {
		next.loads.Engines = a.groupLoads.loads.Engines
	}
	a.groupLoads = next
}

// enginesUnknown reports whether the agent has loads but not the list of engines that they belong
// to.
func (a *Agent) enginesUnknown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.groupLoads.loads.Known && len(a.groupLoads.loads.Engines) == 0
}

// takeEntryReports returns the numbers of requests that are queued at the entries that query this
// agent, and the longest gap between events that they have reported since the previous call.
func (a *Agent) takeEntryReports() (queued placing.QueueCounts, longestGap time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.entryReports.queued(time.Now()), a.entryReports.takeLongestGap()
}

// handleLoads answers a LoadsQuery of an entry and records the entry's queue counts.
func (a *Agent) handleLoads(payload []byte) (msgp.Marshaler, error) {
	var q peers.LoadsQuery
	if _, err := q.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entryReports.record(&q, time.Now())
	loads := a.groupLoads.loads
	if !loads.Known || len(loads.Engines) == 0 {
		return &peers.Loads{Leader: a.leaderAddr, Group: a.groupName, Ranks: peers.ClampUint16(a.groupRanks)}, nil
	}
	loads.AskOthers = a.groupLoads.isLeader && len(loads.Engines) > maxDirectRanks
	loads.AgeMS = uint32(min(time.Since(a.groupLoads.asOf), time.Hour).Milliseconds())
	if a.groupLoads.isLeader && !loads.AskOthers {
		loads.Leader = a.leaderAddr
	}
	if q.Roster == loads.Roster {
		loads.Engines = nil
	}
	return &loads, nil
}

// buildLoads returns the loads of the group's ranks in the message that entries get.
func (l *leader) buildLoads(ranks []rank, own peers.RankState) peers.Loads {
	loads := peers.Loads{
		Known:         true,
		Complete:      own.Complete,
		PassMS:        float32(l.passTime.mean.Seconds() * 1e3),
		Imbalance:     float32(l.peakImbalance.current),
		PeakImbalance: float32(l.peakImbalance.peak),
		Group:         own.Group,
		Ranks:         peers.ClampUint16(own.Ranks),
	}
	queued, ownGap := l.a.takeEntryReports()
	var gaps gapMerge
	gaps.add(ownGap)
	rosterHash := fnv.New64a()
	for i := range ranks {
		s := &ranks[i].state
		_, _ = rosterHash.Write([]byte(ranks[i].engineAddr + "\n")) // never fails
		loads.Engines = append(loads.Engines, ranks[i].engineAddr)
		loads.Running = append(loads.Running, peers.ClampUint8(s.Running))
		loads.Waiting = append(loads.Waiting, peers.ClampUint8(s.Waiting))
		if s.Slowdown > 1 {
			loads.Slow = append(loads.Slow, peers.SlowRank{Rank: uint16(i), Slowdown: float32(s.Slowdown)})
		}
		queued.OnTime += int(s.QueuedOnTime)
		queued.Late += int(s.QueuedLate)
		peers.AddLevels(queued.ByLevel[:], s.QueuedByLevel)
		gaps.add(time.Duration(s.LongestGapMS) * time.Millisecond)
	}
	l.longestGap = gaps.result()
	loads.QueuedOnTime, loads.QueuedLate = peers.ClampUint16(queued.OnTime), peers.ClampUint16(queued.Late)
	loads.QueuedByLevel = peers.PackLevels(queued.ByLevel[:])
	loads.Roster = rosterHash.Sum64()
	return loads
}

// loadsToSend returns the loads that the leader sends to the agents in the Collect messages of a
// round. It returns none for a small group: entries query its leader and get fresher loads.
func (l *leader) loadsToSend(ranks int) peers.Loads {
	if ranks <= maxDirectRanks {
		return peers.Loads{}
	}
	a := l.a
	a.mu.Lock()
	defer a.mu.Unlock()
	loads := a.groupLoads.loads
	loads.AgeMS = uint32(min(time.Since(a.groupLoads.asOf), time.Hour).Milliseconds())
	if loads.Roster == l.sentRoster && !l.enginesUnknown {
		loads.Engines = nil
	}
	l.sentRoster = loads.Roster
	return loads
}
