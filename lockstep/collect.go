package lockstep

import (
	"slices"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/peers"
)

// collect returns the state of this rank, with what was chosen since the last time
// if that is wanted.
func (a *Agent) collect(q *peers.Collect) peers.RankState {
	state, err := a.opts.Engine.State(a.ctx)
	if err != nil {
		a.opts.Metrics.Count("engine_failures", 1)
		return peers.RankState{}
	}
	a.noteRun(state.StartedAtMS)
	a.mu.Lock()
	state.ProxyArm = a.other
	a.mu.Unlock()
	state.HighestMapReceived = a.maps.newest(state.Epoch)
	if q.Lists {
		a.tellLists(&state)
	}
	if !q.Counts {
		return state
	}
	tell(&state, a.chosen())
	return state
}

// tellLists puts the experts of this rank into a state, if they are of the map that it names.
func (a *Agent) tellLists(s *peers.RankState) {
	lists, version, err := a.opts.Engine.RankExperts(a.ctx)
	switch {
	case err != nil:
		a.opts.Metrics.Count("engine_failures", 1)
	case version == s.Map:
		s.Lists = lists
	}
}

// tell puts what was chosen into a state.
func tell(s *peers.RankState, chosen []float64) {
	if len(chosen) > 0 {
		s.Experts = uint32(len(chosen))
		s.Unit, s.Bands = expert.EncodeLoads(chosen)
	}
}

// collectAll is collect for this rank and those below it.
func (a *Agent) collectAll(q *peers.Collect) peers.RankState {
	if len(q.Subtree) == 0 {
		state := a.collect(q)
		if q.LimitMS > 0 && len(state.Bands) > 0 {
			// It is added to the choices of many others.
			state.Bands, state.Coarse = expert.PackCoarse(state.Bands), true
		}
		return state
	}
	ask := *q
	ask.Subtree = nil
	below := make(chan []peers.RankState, 1)
	go func() { below <- a.collectBelow(q.Subtree, &ask, limitBelow(q.LimitMS)) }()
	state := a.collect(&ask)
	state.Subtree = <-below
	sum := addChoices(nil, &state)
	for i := range state.Subtree {
		sum = addChoices(sum, &state.Subtree[i])
	}
	tell(&state, sum)
	return state
}

// addChoices adds what was chosen at a rank to a sum, which may be nil yet, and takes it
// out of its state.
func addChoices(sum []float64, s *peers.RankState) []float64 {
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

// chosen returns how often each expert was chosen since the last time; nil if that
// is not known.
func (a *Agent) chosen() []float64 {
	choices, err := a.opts.Engine.ExpertCounts(a.ctx)
	if err != nil {
		a.opts.Metrics.Count("engine_failures", 1)
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var news []float64
	// After a restart the engine counts from zero; what it has by then is news.
	if choices.Run == a.last.Run && len(a.last.Counts) == len(choices.Counts) {
		news = difference(choices.Counts, a.last.Counts)
	}
	a.last = choices
	if !slices.ContainsFunc(news, func(n float64) bool { return n > 0 }) {
		return nil // no pass has ended meanwhile
	}
	return news
}

// noteRun begins anew when the engine has started again.
//
// Failure: all engines of a group start again while their agents run on, and the group
// begins with an epoch that it had before. Symptom: an agent refuses arms for passes that
// an old fence names, and leads changes on from a map that no engine holds any more.
// Orders from before do no harm: no engine has prepared the versions that they name.
func (a *Agent) noteRun(born int64) {
	a.mu.Lock()
	known := a.born
	a.born = born
	a.mu.Unlock()
	switch known {
	case born:
		return
	case 0:
		a.bindFence(born)
	default:
		a.maps.clear()
	}
	a.opts.Log.Info("engine runs", "engine", a.opts.EngineAddr, "born", born, "before", known)
}

func difference(now, before []uint64) []float64 {
	d := make([]float64, len(now))
	for i := range now {
		if now[i] > before[i] {
			d[i] = float64(now[i] - before[i])
		}
	}
	return d
}

// tellWaiting tells the leader what waits at the entries that ask this agent for loads and
// those below.
func (a *Agent) tellWaiting(s *peers.RankState) {
	inTime, late := a.waiting()
	s.QueuedInTime, s.QueuedLate = uint32(inTime), uint32(late)
	s.EnginesUnknown = a.lacksEngines()
	for i := range s.Subtree {
		below := &s.Subtree[i]
		s.QueuedInTime += below.QueuedInTime
		s.QueuedLate += below.QueuedLate
		s.EnginesUnknown = s.EnginesUnknown || below.EnginesUnknown
		below.QueuedInTime, below.QueuedLate = 0, 0
	}
}

func (a *Agent) answerCollect(payload []byte) (msgp.Marshaler, error) {
	var q peers.Collect
	if _, err := q.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	if q.Leader != "" {
		a.mu.Lock()
		a.leader = q.Leader
		a.mu.Unlock()
	}
	if q.Loads.Known {
		a.relay(&q.Loads)
	}
	fenced := q.Fence != 0 && a.setFence(fence{epoch: q.Epoch, step: q.Fence})
	state := a.collectAll(&q)
	state.Fenced = fenced
	if q.Loads.Known {
		a.tellWaiting(&state)
	}
	return &state, nil
}
