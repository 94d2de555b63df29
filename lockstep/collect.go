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
	counts, epoch, err := a.opts.Engine.Counts(a.ctx)
	if err != nil {
		a.opts.Metrics.Count("engine_failures", 1)
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var news []float64
	// After a restart the engine counts from zero; what it has by then is news.
	if epoch == a.epoch && len(a.last) == len(counts) {
		news = difference(counts, a.last)
	}
	a.last, a.epoch = counts, epoch
	return news
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
