// Package place measures placement, limits and fairness. It runs the real decision functions
// of package route with simulated engines in virtual time. All randomness comes from a seed,
// and the compared policies get the same requests.
package place

import (
	"container/list"
	"time"

	"github.com/heatherrail/heatherrail/route"
)

// The simulated engine uses continuous batching: each step generates one token for every
// request whose prefill is complete, and computes up to prefillTokensPerStep prompt tokens.
const (
	engineSlots            = 32
	prefillTokensPerStep   = 512
	baseStepTime           = 4 * time.Millisecond
	stepTimePerDecode      = 50 * time.Microsecond // per decoding request
	stepTimePerPromptToken = 20 * time.Microsecond // per prompt token
	blockTokens            = route.BlockTokens
	cacheBlocks            = 1500 // capacity of the prefix cache in blocks
)

// sequence is a request that waits or runs at an engine.
type sequence struct {
	req         *request
	job         *route.Job
	prefillLeft int
	decodeLeft  int
}

// engine is one simulated engine with the target queue of its agent.
type engine struct {
	sim        *simulation
	index      int
	dataCentre int
	speed      float64 // speed relative to a normal engine, which has 1
	queue      *route.TargetQueue
	running    []*sequence
	waiting    map[*route.Job]*sequence
	isStepping bool // a step is running
	cache      map[uint64]*list.Element
	lru        *list.List
	events     []cacheEvent // not yet sent to the entries
}

// cacheEvent reports a block that was added to or removed from the prefix cache.
type cacheEvent struct {
	block uint64
	added bool
}

func newEngine(sim *simulation, index int) *engine {
	return &engine{
		sim:        sim,
		index:      index,
		dataCentre: index % sim.dataCentres,
		speed:      1,
		queue:      route.NewTargetQueue(engineSlots, sim.opts.queueLimit),
		waiting:    make(map[*route.Job]*sequence),
		cache:      make(map[uint64]*list.Element),
		lru:        list.New(),
	}
}

// admit offers a request to the target queue of the engine's agent. It returns the decision of the
// queue, and the wait for the first token that the queue expects.
func (e *engine) admit(r *request, cached float64, bounds route.AdmissionBounds) (route.Admission, time.Duration) {
	j := &route.Job{Cost: route.Cost{Prompt: max(0, float64(r.promptTokens)-cached), Decode: e.sim.expectedDecode()}}
	j.Team, j.Weight, j.Priority = r.team, r.weight, r.priority
	j.Peer = e.sim.entries[r.entry].name
	if e.sim.policy.fifo {
		j.Team, j.Weight, j.Priority = "all", 1, 0
	}
	admission, wait := e.queue.Offer(e.sim.now, j, bounds)
	if admission != route.Admitted {
		return admission, wait
	}
	e.waiting[j] = &sequence{req: r, job: j, prefillLeft: r.promptTokens, decodeLeft: r.outputTokens}
	e.startWaiting()
	return admission, wait
}

// startWaiting starts waiting requests while slots are free.
func (e *engine) startWaiting() {
	for j := e.queue.Next(e.sim.now); j != nil; j = e.queue.Next(e.sim.now) {
		s := e.waiting[j]
		delete(e.waiting, j)
		if j.Expired {
			e.sim.expire(s.req)
			continue
		}
		cached := e.cachedBlocks(s.req.blocks) * blockTokens
		s.prefillLeft = max(1, s.prefillLeft-cached)
		s.req.cachedTokens = min(cached, s.req.promptTokens)
		e.running = append(e.running, s)
	}
	if !e.isStepping && len(e.running) > 0 {
		e.startStep()
	}
}

// startStep starts one step and schedules its end. Prefill of all running requests shares the
// token budget of the step.
func (e *engine) startStep() {
	e.isStepping = true
	budget, decoding, computed := prefillTokensPerStep, 0, 0
	var emitting []*sequence
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			decoding++
			emitting = append(emitting, s)
			continue
		}
		tokens := min(budget, s.prefillLeft)
		budget -= tokens
		computed += tokens
		s.prefillLeft -= tokens
		if s.prefillLeft == 0 {
			emitting = append(emitting, s)
		}
	}
	stepTime := baseStepTime + time.Duration(decoding)*stepTimePerDecode + time.Duration(computed)*stepTimePerPromptToken
	e.sim.after(time.Duration(float64(stepTime)/e.speed), func() { e.finishStep(emitting) })
}

// finishStep records the tokens of a step and finishes the requests whose output is complete.
func (e *engine) finishStep(emitting []*sequence) {
	e.isStepping = false
	for _, s := range emitting {
		if s.req.firstTokenAt == 0 {
			s.req.firstTokenAt = e.sim.now
			e.sim.entries[s.req.entry].recordFirstToken(s.req)
			e.cachePrompt(s.req.blocks)
		}
		s.decodeLeft--
		e.queue.RecordTokens(e.sim.now, s.job, 1, true)
		e.sim.entries[s.req.entry].recordToken(s.req)
		if s.decodeLeft == 0 {
			e.finishRequest(s)
		}
	}
	e.startWaiting()
}

func (e *engine) finishRequest(s *sequence) {
	for i, a := range e.running {
		if a == s {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	e.queue.Finish(e.sim.now, s.job, true)
	e.sim.finish(s.req)
}

// cachedBlocks returns how many leading blocks of a prompt are in the prefix cache, and marks these
// blocks as recently used.
func (e *engine) cachedBlocks(blocks []uint64) int {
	for i, b := range blocks {
		el, ok := e.cache[b]
		if !ok {
			return i
		}
		e.lru.MoveToFront(el)
	}
	return len(blocks)
}

// cachePrompt adds the blocks of a prompt to the prefix cache and evicts the least recently
// used blocks.
func (e *engine) cachePrompt(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- { // the first block is evicted last
		b := blocks[i]
		if el, ok := e.cache[b]; ok {
			e.lru.MoveToFront(el)
			continue
		}
		e.cache[b] = e.lru.PushFront(b)
		e.events = append(e.events, cacheEvent{block: b, added: true})
	}
	for e.lru.Len() > cacheBlocks {
		b := e.lru.Remove(e.lru.Back()).(uint64)
		delete(e.cache, b)
		e.events = append(e.events, cacheEvent{block: b})
	}
}

// oracleWait returns the seconds until the first token of a request, computed from the exact state
// of the engine and the true output lengths, which only the oracle knows.
func (e *engine) oracleWait(r *request) float64 {
	promptTokens := r.promptTokens - e.peekCachedBlocks(r.blocks)*blockTokens
	decodeLeft := 0
	for _, s := range e.running {
		promptTokens += s.prefillLeft
		decodeLeft += s.decodeLeft
	}
	for _, s := range e.waiting {
		promptTokens += s.prefillLeft
	}
	decodeStep := baseStepTime + stepTimePerDecode*time.Duration(min(engineSlots, len(e.running)+len(e.waiting)))
	steps := float64(promptTokens)/prefillTokensPerStep + 1
	wait := steps*decodeStep.Seconds() + float64(promptTokens)*stepTimePerPromptToken.Seconds()
	if excess := len(e.running) + len(e.waiting) + 1 - engineSlots; excess > 0 {
		wait += e.oracleSlotWait(excess, decodeStep)
	}
	return wait / e.speed
}

// oracleSlotWait returns the seconds until a number of requests (excess) have ended at the engine. It
// uses the mean of the true remaining lengths of all running and waiting requests, and assumes that
// steps use 0.3 of their prefill budget.
func (e *engine) oracleSlotWait(excess int, decode time.Duration) float64 {
	decodeLeft := 0
	for _, s := range e.running {
		decodeLeft += s.decodeLeft
	}
	for _, s := range e.waiting {
		decodeLeft += s.decodeLeft
	}
	total := len(e.running) + len(e.waiting)
	stepSeconds := decode.Seconds() + 0.3*prefillTokensPerStep*stepTimePerPromptToken.Seconds()
	return float64(excess) * float64(decodeLeft) / float64(total) / engineSlots * stepSeconds
}

// peekCachedBlocks returns how many leading blocks of a prompt are in the prefix cache, without
// marking these blocks as used.
func (e *engine) peekCachedBlocks(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := e.cache[b]; !ok {
			return i
		}
	}
	return len(blocks)
}
