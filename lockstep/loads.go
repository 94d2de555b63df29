package lockstep

import (
	"hash/fnv"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
)

// Loads of the ranks, for entries to place requests by.
//
// Failure: all entries of a large fleet ask the leader, which has a small part of a core.
// Symptom: each may ask twice a second only, places requests by loads of before, and they
// wait inside some engines while others have room. So the leader's questions bring the
// loads to all agents of a large group, and an entry asks any of them; what waits at the
// entries goes back with the answers.

// toldLoads are the loads that an agent tells entries.
type toldLoads struct {
	loads peers.Loads
	asOf  time.Time
	own   bool // this agent leads
}

// publish keeps what this agent tells entries while it leads.
func (a *Agent) publish(loads peers.Loads) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loads, a.leader = toldLoads{loads: loads, asOf: time.Now(), own: true}, a.opts.PeerAddr
}

// noteGroup keeps which group this VM's engine is of, and how many ranks that has.
func (a *Agent) noteGroup(name string, ranks int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.group, a.ranks = name, ranks
}

// relay keeps what the leader told with a question. Which engines the loads are of is told
// only when that is new, or an agent says that it was not told.
func (a *Agent) relay(loads *peers.Loads) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := toldLoads{loads: *loads, asOf: time.Now().Add(-time.Duration(loads.AgeMS) * time.Millisecond)}
	if len(next.loads.Engines) == 0 && next.loads.Roster == a.loads.loads.Roster {
		next.loads.Engines = a.loads.loads.Engines
	}
	a.loads = next
}

// lacksEngines tells whether the agent was not told which engines its loads are of.
func (a *Agent) lacksEngines() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loads.loads.Known && len(a.loads.loads.Engines) == 0
}

// waiting returns the requests that wait at the entries that ask this agent.
func (a *Agent) waiting() (inTime, late int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waits.sum(time.Now())
}

func (a *Agent) answerLoads(payload []byte) (msgp.Marshaler, error) {
	var q peers.LoadsQuery
	if _, err := q.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waits.note(q.Entry, int(q.QueuedInTime), int(q.QueuedLate), time.Now())
	loads := a.loads.loads
	if !loads.Known || len(loads.Engines) == 0 {
		return &peers.Loads{Leader: a.leader, Group: a.group, Ranks: peers.ClampUint16(a.ranks)}, nil
	}
	loads.AskOthers = a.loads.own && len(loads.Engines) > directRanks
	loads.AgeMS = uint32(min(time.Since(a.loads.asOf), time.Hour).Milliseconds())
	if a.loads.own && !loads.AskOthers {
		loads.Leader = a.leader
	}
	if q.Roster == loads.Roster {
		loads.Engines = nil
	}
	return &loads, nil
}

// loads returns what entries want to know of the ranks.
func (l *leader) loads(ranks []rank, own peers.RankState) peers.Loads {
	loads := peers.Loads{
		Known:         true,
		Complete:      own.Complete,
		PassMS:        float32(l.passes.mean.Seconds() * 1e3),
		Imbalance:     float32(l.worst.now),
		PeakImbalance: float32(l.worst.most),
		Group:         own.Group,
		Ranks:         peers.ClampUint16(own.Ranks),
	}
	inTime, late := l.a.waiting()
	roster := fnv.New64a()
	for i := range ranks {
		s := &ranks[i].state
		_, _ = roster.Write([]byte(ranks[i].engine + "\n")) // never fails
		loads.Engines = append(loads.Engines, ranks[i].engine)
		loads.Running = append(loads.Running, peers.ClampUint8(s.Running))
		loads.Waiting = append(loads.Waiting, peers.ClampUint8(s.Waiting))
		if s.Slowdown > 1 {
			loads.Slow = append(loads.Slow, peers.SlowRank{Rank: uint16(i), Slowdown: float32(s.Slowdown)})
		}
		inTime += int(s.QueuedInTime)
		late += int(s.QueuedLate)
	}
	loads.QueuedInTime, loads.QueuedLate = peers.ClampUint16(inTime), peers.ClampUint16(late)
	loads.Roster = roster.Sum64()
	return loads
}

// loadsFor returns the loads that go with the questions of a round; those of a small group
// are asked for at the leader, where they are fresher.
func (l *leader) loadsFor(ranks int) peers.Loads {
	if ranks <= directRanks {
		return peers.Loads{}
	}
	a := l.a
	a.mu.Lock()
	defer a.mu.Unlock()
	loads := a.loads.loads
	loads.AgeMS = uint32(min(time.Since(a.loads.asOf), time.Hour).Milliseconds())
	if loads.Roster == l.roster && !l.noEngines {
		loads.Engines = nil
	}
	l.roster = loads.Roster
	return loads
}
