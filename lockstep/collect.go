package lockstep

import (
	"slices"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/peers"
)

// collect returns the state of this agent's rank, with the expert selections since the
// previous collect if q.Counts is set.
func (a *Agent) collect(q *peers.Collect) peers.RankState {
	state, err := a.opts.Engine.State(a.ctx)
	if err != nil {
		a.opts.Metrics.Count("engine_failures", 1)
		return peers.RankState{}
	}
	a.recordEngineRun(state.StartedAtMS)
	state.ProxyArm = a.recordedArm()
	state.HighestMapReceived = a.mapHistory.highestVersion(state.Epoch)
	if q.Lists {
		a.addRankExperts(&state)
	}
	if !q.Counts {
		return state
	}
	setSelections(&state, a.newSelections())
	return state
}

// addRankExperts adds this rank's experts to s, if they are of the map version in s.
func (a *Agent) addRankExperts(s *peers.RankState) {
	lists, version, err := a.opts.Engine.RankExperts(a.ctx)
	switch {
	case err != nil:
		a.opts.Metrics.Count("engine_failures", 1)
	case version == s.Map:
		s.Lists = lists
	}
}

// setSelections stores expert selection counts in s.
func setSelections(s *peers.RankState, counts []float64) {
	if len(counts) > 0 {
		s.Experts = uint32(len(counts))
		s.Unit, s.Bands = expert.EncodeLoads(counts)
	}
}

// collectSubtree collects the states of this rank and of the ranks in q.Subtree.
func (a *Agent) collectSubtree(q *peers.Collect) peers.RankState {
	if len(q.Subtree) == 0 {
		state := a.collect(q)
		if q.LimitMS > 0 && len(state.Bands) > 0 {
			// Coarse counts are precise enough: they are summed with the counts of many ranks.
			state.Bands, state.Coarse = expert.PackCoarse(state.Bands), true
		}
		return state
	}
	forwarded := *q
	forwarded.Subtree = nil
	subtree := make(chan []peers.RankState, 1)
	go func() { subtree <- a.collectAlongTree(q.Subtree, &forwarded, subtreeTimeout(q.LimitMS)) }()
	state := a.collect(&forwarded)
	state.Subtree = <-subtree
	sum := addSelections(nil, &state)
	for i := range state.Subtree {
		sum = addSelections(sum, &state.Subtree[i])
	}
	setSelections(&state, sum)
	return state
}

// addSelections moves the expert selections of s into sum and returns sum. A nil sum is
// allocated; selections that do not match the length of sum are dropped.
func addSelections(sum []float64, s *peers.RankState) []float64 {
	bands, experts := s.Bands, int(s.Experts)
	s.Bands, s.Experts = nil, 0
	size := experts
	if s.Coarse {
		size = (experts + 1) / 2
	}
	if experts == 0 || len(bands) != size || len(sum) != 0 && len(sum) != experts {
		return sum
	}
	if len(sum) == 0 {
		sum = make([]float64, experts)
	}
	if s.Coarse {
		expert.AddCoarse(sum, s.Unit, bands)
	} else {
		expert.AddLoads(sum, s.Unit, bands)
	}
	return sum
}

// newSelections returns how often each expert was selected since the previous call. It returns nil
// if the counts are unknown or no expert was selected.
func (a *Agent) newSelections() []float64 {
	current, err := a.opts.Engine.ExpertCounts(a.ctx)
	if err != nil {
		a.opts.Metrics.Count("engine_failures", 1)
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var delta []float64
	// After a restart the engine counts from zero, so there is no valid difference.
	if current.Run == a.lastCounts.Run && len(a.lastCounts.Counts) == len(current.Counts) {
		delta = subtractCounts(current.Counts, a.lastCounts.Counts)
	}
	a.lastCounts = current
	if !slices.ContainsFunc(delta, func(n float64) bool { return n > 0 }) {
		return nil // no pass has completed in between
	}
	return delta
}

// recordEngineRun drops the state of an earlier engine run when the engine has restarted.
//
// If all engines of a group restart while their agents keep running, the group may reuse an
// earlier epoch. Without this reset an agent would refuse arm orders because of an old fence,
// and would apply changes to a map that no engine holds any more. Orders of the earlier run are
// harmless, because no engine has prepared their versions.
func (a *Agent) recordEngineRun(startedAtMS int64) {
	a.mu.Lock()
	previous := a.engineStartedAtMS
	a.engineStartedAtMS = startedAtMS
	a.mu.Unlock()
	switch previous {
	case startedAtMS:
		return
	case 0:
		a.bindFence(startedAtMS)
	default:
		a.mapHistory.clear()
		a.mu.Lock()
		a.proxyArm = peers.ProxyArm{}
		a.mu.Unlock()
	}
	a.opts.Log.Info("engine runs", "engine", a.opts.EngineAddr, "born", startedAtMS, "before", previous)
}

// subtractCounts returns current minus previous; a count that fell gives 0.
func subtractCounts(current, previous []uint64) []float64 {
	d := make([]float64, len(current))
	for i := range current {
		if current[i] > previous[i] {
			d[i] = float64(current[i] - previous[i])
		}
	}
	return d
}

// addEntryReports adds to s what the entries have reported that query this agent, or an agent of
// its subtree, for loads.
func (a *Agent) addEntryReports(s *peers.RankState) {
	queued, ownGap := a.takeEntryReports()
	// In a large group each agent is queried by one or two entries, so a stalled entry is told apart
	// only here.
	var gaps gapMerge
	gaps.add(ownGap)
	s.EnginesUnknown = a.enginesUnknown()
	for i := range s.Subtree {
		below := &s.Subtree[i]
		queued.OnTime += int(below.QueuedOnTime)
		queued.Late += int(below.QueuedLate)
		peers.AddLevels(queued.ByLevel[:], below.QueuedByLevel)
		gaps.add(time.Duration(below.LongestGapMS) * time.Millisecond)
		s.EnginesUnknown = s.EnginesUnknown || below.EnginesUnknown
		below.QueuedOnTime, below.QueuedLate, below.QueuedByLevel, below.LongestGapMS = 0, 0, nil, 0
	}
	s.QueuedOnTime, s.QueuedLate = uint32(queued.OnTime), uint32(queued.Late)
	s.QueuedByLevel = peers.PackLevels(queued.ByLevel[:])
	s.LongestGapMS = peers.ClampUint16(int(gaps.result().Milliseconds()))
}

func (a *Agent) handleCollect(payload []byte) (msgp.Marshaler, error) {
	var q peers.Collect
	if _, err := q.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	if q.Leader != "" {
		a.mu.Lock()
		a.leaderAddr = q.Leader
		a.mu.Unlock()
	}
	if q.Loads.Known {
		a.storeLoads(&q.Loads)
	}
	fenced := q.Fence != 0 && a.setFence(fence{epoch: q.Epoch, step: q.Fence})
	state := a.collectSubtree(&q)
	state.Fenced = fenced
	if q.Loads.Known {
		a.addEntryReports(&state)
	}
	return &state, nil
}
