package entry

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

// sched is what placement and queues know of a call.
type sched struct {
	known   bool
	cost    route.Cost
	blocks  []uint64
	weight  int
	maxWait int64   // milliseconds, of the latest choice
	cached  float64 // tokens, at the latest choice
	trail   route.RejectionHistory
}

// refused notes a failed try.
func (s *sched) refused(target string, err error) {
	if r := result.From(err); r.Code == result.WaitTooLong {
		s.trail.Add(target, r.RetryAfter)
	}
}

// usable tells whether a target can take work.
func (e *Entry) usable(target string) bool {
	l := e.link(target)
	if l == nil {
		return false
	}
	var t route.Target
	l.view(&t)
	return t.Reachable && t.EngineUp && !t.Leaving
}

// bodyShape is the part of a model request that costs depend on.
type bodyShape struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// text returns the prompt as one text.
func (b *bodyShape) text() []byte {
	text := []byte(b.Prompt)
	for i := range b.Messages {
		text = append(text, b.Messages[i].Content...)
	}
	return text
}

// prepare fills in what depends on the call alone.
func (c *Call) prepare(snap *config.Snapshot, svc *config.Service, answer float64) {
	s := &c.sched
	if s.known {
		return
	}
	s.known = true
	s.weight = snap.Weight(c.Team)
	if svc.Model == "" {
		s.cost = route.PlainCost
		return
	}
	var b bodyShape
	if err := json.Unmarshal(c.Body, &b); err != nil {
		s.cost = route.EstimateCost(len(c.Body), 0, answer) // the engine will say what is wrong
		return
	}
	text := b.text()
	s.cost = route.EstimateCost(len(text), b.MaxTokens, answer)
	s.blocks = route.BlockHashes(c.Team, text, nil)
}

// wire returns what the agent's queue must know.
func (s *sched) wire() wire.Sched {
	return wire.Sched{
		Weight:    s.weight,
		Prompt:    int(max(0, s.cost.Prompt-s.cached)),
		Decode:    int(math.Ceil(s.cost.Decode)),
		MaxWaitMs: s.maxWait,
	}
}

var decisions = sync.Pool{New: func() any { return new(route.Decision) }}

// place chooses a target among few of those that the entry uses. keepOut are
// targets that this request must not use.
func (e *Entry) place(snap *config.Snapshot, c *Call, view *fleetView, keepOut map[string]bool) (string, error) {
	svc := snap.Service(c.Service)
	c.prepare(snap, svc, view.state.answerTokens())
	s := &c.sched
	if target, ok := s.trail.FinalTarget(); ok && e.usable(target) {
		s.maxWait = 0
		return target, nil
	}
	req := route.Request{
		DataCentre: e.opts.Settings.DataCentre,
		Avoid:      keepOut,
		Cost:       s.cost,
		Blocks:     s.blocks,
		Seed:       rand.Uint64(),
	}
	placer := e.placerOf(snap.Policy(svc))
	d := decisions.Get().(*route.Decision)
	defer decisions.Put(d)
	placer.Pick(&req, view, d)
	e.explain.add(c, d)
	best := d.Best()
	if told, _, ok := s.trail.ShortestWait(); best == nil && ok && e.usable(told) {
		s.maxWait = 0 // all others were tried, or can't be used
		return told, nil
	}
	if best == nil {
		return "", result.New(result.NoTarget, "none of %d targets of %s can take work", view.Len(), c.Service)
	}
	s.cached, s.maxWait = best.Target.CachedTokens, 0
	if svc.Model != "" {
		s.maxWait = s.trail.MaxWait(placer.MaxWait(&req, best)).Milliseconds()
	}
	view.learn(best.Index, s.blocks)
	return best.Target.Name, nil
}

// placerKey is the part of a policy that a placer depends on.
type placerKey struct {
	patience, distance time.Duration
	near, far          int
	loadPrice          float64
}

// placerOf returns the placer of a policy.
//
// Failure: a policy was written by a build that did not know the sampling keys, so
// they are zero here. Symptom: no target is ever found. Enough, because a policy of
// a build that knows them has at least one sample.
func (e *Entry) placerOf(p *config.Policy) *route.Placer {
	key := placerKey{p.WaitSlack, p.Distance, p.SampleNear, p.SampleFar, p.LoadPrice}
	if held, ok := e.placers.Load(key); ok {
		return held.(*route.Placer)
	}
	placer := route.DefaultPlacer()
	if p.SampleNear+p.SampleFar > 0 {
		placer.WaitSlack = p.WaitSlack
		placer.NearSamples, placer.FarSamples = p.SampleNear, p.SampleFar
		placer.Scorer = route.WaitScorer{RemotePenaltySec: p.Distance.Seconds(), LoadPenaltySec: p.LoadPrice}
	}
	held, _ := e.placers.LoadOrStore(key, placer)
	return held.(*route.Placer)
}
