package lockstep

import (
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/peers"
)

// collect returns the state of this rank, with what was chosen since the last
// time, here and at the ranks to gather from, if that is wanted.
func (a *Agent) collect(q *peers.Collect) peers.RankState {
	state, err := a.opts.Engine.State(a.ctx)
	if err != nil {
		a.opts.Metrics.Count("engine_failures", 1)
		return peers.RankState{}
	}
	a.noteRun(state.Born)
	a.mu.Lock()
	state.Other = a.other
	a.mu.Unlock()
	if !q.Counts {
		return state
	}
	gathered := a.gather(q.Gather)
	chosen := a.chosen()
	if len(chosen) == 0 {
		return state
	}
	for _, others := range gathered {
		if len(others.Bands) == len(chosen) {
			expert.AddLoads(chosen, others.Unit, others.Bands)
		}
	}
	state.Unit, state.Bands = expert.EncodeLoads(chosen)
	return state
}

// chosen returns how often each expert was chosen since the last time; nil if that
// is not known.
func (a *Agent) chosen() []float64 {
	choices, err := a.opts.Engine.Choices(a.ctx)
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
	a.opts.Log.Info("engine runs", "engine", a.opts.Address, "born", born, "before", known)
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
	fenced := q.Fence != 0 && a.setFence(fence{epoch: q.Epoch, step: q.Fence})
	state := a.collect(&q)
	state.Fenced = fenced
	return &state, nil
}
