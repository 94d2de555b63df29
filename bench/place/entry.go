package place

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/route"
)

// targetView is what an entry knows of one engine.
type targetView struct {
	target route.Target
	others route.Work
	made   time.Duration // when the report was made
}

// entryState is one entry; it is its own route.TargetPool.
type entryState struct {
	w        *world
	index    int
	name     string
	dc       int
	near     int
	order    []int // engines, those of the entry's data centre first
	views    []*targetView
	cache    *route.CacheIndex
	rng      *rand.Rand
	next     int // round robin
	decision route.Decision
	means    route.LoadMeans
}

const indexBlocks = 1 << 15

func newEntryState(w *world, index int) *entryState {
	en := &entryState{
		w:     w,
		index: index,
		name:  fmt.Sprintf("entry-%d", index),
		dc:    index % w.dcs,
		cache: route.NewCacheIndex(indexBlocks),
		rng:   rand.New(rand.NewPCG(w.opts.seed, uint64(100+index))),
		next:  index,
	}
	for i, e := range w.engines {
		en.views = append(en.views, &targetView{target: route.Target{
			Name:       fmt.Sprintf("engine-%02d", i),
			DataCentre: fmt.Sprint(e.dc),
			Reachable:  true,
			EngineUp:   true,
			Slots:      engineSlots,
		}})
		if e.dc == en.dc {
			en.order = append(en.order, i)
		}
	}
	en.near = len(en.order)
	for i, e := range w.engines {
		if e.dc != en.dc {
			en.order = append(en.order, i)
		}
	}
	return en
}

// Len implements route.TargetPool.
func (en *entryState) Len() int { return len(en.order) }

// NearCount implements route.TargetPool.
func (en *entryState) NearCount() int { return en.near }

// Read implements route.TargetPool.
func (en *entryState) Read(i int, r *route.Request, t *route.Target) {
	v := en.views[en.order[i]]
	*t = v.target
	t.Others = en.means.DiscountStale(v.others, (en.w.now - v.made).Seconds())
	en.means.FillSpeeds(t)
	t.CachedTokens = en.cache.CachedTokens(i, r.Blocks)
}

// LongestCached implements route.TargetPool.
func (en *entryState) LongestCached(r *route.Request, into []int) int {
	return en.cache.LongestMatch(r.Blocks, r.Seed, into)
}

func (en *entryState) position(engine int) int {
	for i, at := range en.order {
		if at == engine {
			return i
		}
	}
	return -1
}

// report takes an account that left the agent a while ago.
func (en *entryState) report(engine int, a route.LoadReport, made time.Duration) {
	v := en.views[engine]
	if made < v.made {
		return
	}
	v.made = made
	t := &v.target
	v.others, t.Slots = a.Others(), a.Slots
	en.means.RecordSpeeds(t, len(en.views))
	en.means.RecordLoad(t.Own, v.others, len(en.views))
	t.FirstTokenBaseSec = a.FirstTokenBaseSec
	t.PrefillPerSec, t.TokensPerSec = a.PrefillPerSec, a.TokensPerSec
}

func (en *entryState) cacheEvents(engine int, seq uint64, events []cacheEvent) {
	at := en.position(engine)
	if !en.cache.AcceptBatch(at, seq) {
		return
	}
	for _, ev := range events {
		if ev.added {
			en.cache.Add(at, ev.block)
		} else {
			en.cache.Remove(at, ev.block)
		}
	}
}

// arrive places a request.
func (en *entryState) arrive(r *request) {
	r.tries++
	choice := en.w.policy.choose(en, r)
	if choice.engine < 0 {
		en.w.refuse(r)
		return
	}
	v := en.views[choice.engine]
	r.target = choice.engine
	r.cost = route.Cost{Prompt: max(0, float64(r.prompt)-choice.cached), Decode: en.w.expectedDecode()}
	own := &v.target.Own
	own.Requests++
	own.Prompt += r.cost.Prompt
	own.Decode += r.cost.Decode
	if en.w.policy.learnsCache {
		at := en.position(choice.engine)
		for _, b := range r.blocks {
			en.cache.Add(at, b)
		}
	}
	en.w.after(hop, func() { en.deliver(v, r, choice) })
}

// deliver is the request's arrival at the agent.
func (en *entryState) deliver(v *targetView, r *request, c choice) {
	e := en.w.engines[c.engine]
	offer := route.AdmissionBounds{MaxWait: c.maxWait}
	if !en.w.policy.fifo {
		offer.TimeLeft = r.deadline - (en.w.now - r.at)
	}
	verdict, wait := e.offer(r, c.cached, offer)
	if verdict == route.Admitted {
		return
	}
	if verdict == route.RejectedWait {
		r.trail.Add(v.target.Name, wait)
	}
	account, made := e.gate.LoadReport(en.name), en.w.now
	en.w.after(hop, func() { en.bounced(v, r, c, account, made) })
}

const maxTries = 4

// bounced is the agent's refusal back at the entry: the request did not run.
func (en *entryState) bounced(v *targetView, r *request, c choice, a route.LoadReport, made time.Duration) {
	en.finished(r)
	en.report(c.engine, a, made)
	if r.tries >= maxTries {
		en.w.refuse(r)
		return
	}
	if r.avoid == nil {
		r.avoid = make(map[string]bool)
	}
	r.avoid[v.target.Name] = true
	en.arrive(r)
}

func (en *entryState) firstToken(r *request) {
	en.views[r.target].target.Own.Prompt -= r.cost.Prompt
	r.cost.Prompt = 0
}

func (en *entryState) token(r *request) {
	n := min(1, r.cost.Decode)
	en.views[r.target].target.Own.Decode -= n
	r.cost.Decode -= n
}

func (en *entryState) finished(r *request) {
	own := &en.views[r.target].target.Own
	own.Requests--
	own.Prompt -= r.cost.Prompt
	own.Decode -= r.cost.Decode
}

// choice is where a policy sends a request.
type choice struct {
	engine  int
	cached  float64
	maxWait time.Duration
}
