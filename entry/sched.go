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

// schedState holds the scheduling data of a call, for placement and for the target queue of the
// agent.
type schedState struct {
	prepared     bool // prepareSched has run
	cost         route.Cost
	blockHashes  []uint64
	weight       int
	maxWaitMS    int64   // limit on the wait for the first token, from the latest placement; 0: none
	cachedTokens float64 // prompt tokens that the latest chosen target has cached, estimated
	rejections   route.RejectionHistory
}

// recordRejection records that a target rejected an attempt because its queue was too
// long. It ignores other errors.
func (s *schedState) recordRejection(target string, err error) {
	if r := result.From(err); r.Code == result.WaitTooLong {
		s.rejections.Add(target, r.RetryAfter)
	}
}

// isUsable reports whether a target can take work.
func (e *Entry) isUsable(target string) bool {
	l := e.link(target)
	if l == nil {
		return false
	}
	var t route.Target
	l.readAvailability(&t)
	return t.Reachable && t.EngineUp && !t.Leaving
}

// modelRequestBody is the part of a model request that determines its cost.
type modelRequestBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// promptText returns the prompt and all messages as one text.
func (b *modelRequestBody) promptText() []byte {
	text := []byte(b.Prompt)
	for i := range b.Messages {
		text = append(text, b.Messages[i].Content...)
	}
	return text
}

// prepareSched computes the scheduling data that does not depend on the target. Only the first
// call has an effect.
func (c *Call) prepareSched(snap *config.Snapshot, svc *config.Service, meanAnswerTokens float64) {
	s := &c.sched
	if s.prepared {
		return
	}
	s.prepared = true
	s.weight = snap.Weight(c.Team)
	if svc.Model == "" {
		s.cost = route.PlainCost
		return
	}
	var b modelRequestBody
	if err := json.Unmarshal(c.Body, &b); err != nil {
		s.cost = route.EstimateCost(len(c.Body), 0, meanAnswerTokens) // a malformed body is left for the engine to report
		return
	}
	text := b.promptText()
	s.cost = route.EstimateCost(len(text), b.MaxTokens, meanAnswerTokens)
	s.blockHashes = route.BlockHashes(c.Team, text, nil)
}

// toWire returns the scheduling data for the agent's target queue.
func (s *schedState) toWire() wire.Sched {
	return wire.Sched{
		Weight:    s.weight,
		Prompt:    int(max(0, s.cost.Prompt-s.cachedTokens)),
		Decode:    int(math.Ceil(s.cost.Decode)),
		MaxWaitMs: s.maxWaitMS,
	}
}

var decisionPool = sync.Pool{New: func() any { return new(route.Decision) }}

// placeRequest chooses a target from a sample of the targets that this entry uses. The
// request must not go to the excluded targets.
func (e *Entry) placeRequest(snap *config.Snapshot, c *Call, view *fleetView, excluded map[string]bool) (string, error) {
	svc := snap.Service(c.Service)
	c.prepareSched(snap, svc, view.state.meanAnswerTokens())
	s := &c.sched
	if target, ok := s.rejections.FinalTarget(); ok && e.isUsable(target) {
		s.maxWaitMS = 0
		return target, nil
	}
	req := route.Request{
		DataCentre: e.opts.Settings.DataCentre,
		Avoid:      excluded,
		Cost:       s.cost,
		Blocks:     s.blockHashes,
		Seed:       rand.Uint64(),
	}
	placer := e.placerFor(snap.Policy(svc))
	decision := decisionPool.Get().(*route.Decision)
	defer decisionPool.Put(decision)
	placer.Pick(&req, view, decision)
	e.explanations.add(c, decision)
	best := decision.Best()
	if shortest, _, ok := s.rejections.ShortestWait(); best == nil && ok && e.isUsable(shortest) {
		s.maxWaitMS = 0 // no limit: all other targets were tried or are unusable
		return shortest, nil
	}
	if best == nil {
		return "", result.New(result.NoTarget, "none of %d targets of %s can take work", view.Len(), c.Service)
	}
	s.cachedTokens, s.maxWaitMS = best.Target.CachedTokens, 0
	if svc.Model != "" {
		s.maxWaitMS = s.rejections.MaxWait(placer.MaxWait(&req, best)).Milliseconds()
	}
	view.recordPrompt(best.Index, s.blockHashes)
	return best.Target.Name, nil
}

// placerKey is the part of a policy that determines a placer.
type placerKey struct {
	waitSlack, remotePenalty time.Duration
	nearSamples, farSamples  int
	loadPenalty              float64
}

// placerFor returns the placer of a policy. Placers are cached.
//
// A policy written by a build that did not know the sampling keys has no samples, and a
// placer without samples finds no target. Such a policy gets the default placer. Every
// policy of a newer build has at least one sample.
func (e *Entry) placerFor(p *config.Policy) *route.Placer {
	key := placerKey{p.WaitSlack, p.Distance, p.SampleNear, p.SampleFar, p.LoadPrice}
	if cached, ok := e.placers.Load(key); ok {
		return cached.(*route.Placer)
	}
	placer := route.DefaultPlacer()
	if p.SampleNear+p.SampleFar > 0 {
		placer.WaitSlack = p.WaitSlack
		placer.NearSamples, placer.FarSamples = p.SampleNear, p.SampleFar
		placer.Scorer = route.WaitScorer{RemotePenaltySec: p.Distance.Seconds(), LoadPenaltySec: p.LoadPrice}
	}
	cached, _ := e.placers.LoadOrStore(key, placer)
	return cached.(*route.Placer)
}
