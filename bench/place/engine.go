// Package place measures placement, limits and fairness: the real decision
// functions of package route around a small fake of engines' queues in virtual
// time. Everything random comes from a seed, and the policies that are compared
// see the same requests.
package place

import (
	"container/list"
	"time"

	"github.com/heatherrail/heatherrail/route"
)

// The fake engine batches continuously: each step generates one token for every
// request whose prompt is computed, and computes up to stepPrefill prompt tokens.
const (
	engineSlots = 32
	stepPrefill = 512
	stepBase    = 4 * time.Millisecond
	stepDecode  = 50 * time.Microsecond // for each request that generates
	stepPrompt  = 20 * time.Microsecond // for each prompt token
	blockTokens = route.BlockTokens
	cacheBlocks = 1500 // prompt blocks that the engine can keep
)

// sequence is one request inside an engine.
type sequence struct {
	req         *request
	job         *route.Job
	prefillLeft int
	outLeft     int
}

type engine struct {
	w       *world
	index   int
	dc      int
	speed   float64 // 1: normal
	gate    *route.AdmissionQueue
	active  []*sequence
	waiting map[*route.Job]*sequence
	stepped bool // a step is under way
	cache   map[uint64]*list.Element
	lru     *list.List
	events  []cacheEvent // since the last ones were sent
}

type cacheEvent struct {
	block uint64
	added bool
}

func newEngine(w *world, index int) *engine {
	return &engine{
		w:       w,
		index:   index,
		dc:      index % w.dcs,
		speed:   1,
		gate:    route.NewAdmissionQueue(engineSlots, w.opts.queue),
		waiting: make(map[*route.Job]*sequence),
		cache:   make(map[uint64]*list.Element),
		lru:     list.New(),
	}
}

// offer is what an agent does with a request that arrives.
func (e *engine) offer(r *request, cached float64, o route.AdmissionBounds) (route.Admission, time.Duration) {
	j := &route.Job{Cost: route.Cost{Prompt: max(0, float64(r.prompt)-cached), Decode: e.w.expectedDecode()}}
	j.Team, j.Weight, j.Priority = r.team, r.weight, r.priority
	j.Peer = e.w.entries[r.entry].name
	if e.w.policy.fifo {
		j.Team, j.Weight, j.Priority = "all", 1, 0
	}
	verdict, wait := e.gate.Offer(e.w.now, j, o)
	if verdict != route.Admitted {
		return verdict, wait
	}
	e.waiting[j] = &sequence{req: r, job: j, prefillLeft: r.prompt, outLeft: r.output}
	e.pull()
	return verdict, wait
}

// pull starts waiting requests while slots are free.
func (e *engine) pull() {
	for j := e.gate.Next(e.w.now); j != nil; j = e.gate.Next(e.w.now) {
		s := e.waiting[j]
		delete(e.waiting, j)
		if j.Expired {
			e.w.late(s.req)
			continue
		}
		hit := e.lookup(s.req.blocks) * blockTokens
		s.prefillLeft = max(1, s.prefillLeft-hit)
		s.req.hit = min(hit, s.req.prompt)
		e.active = append(e.active, s)
	}
	if !e.stepped && len(e.active) > 0 {
		e.step()
	}
}

// step runs one step and plans its end.
func (e *engine) step() {
	e.stepped = true
	budget, decoding, computed := stepPrefill, 0, 0
	var emits []*sequence
	for _, s := range e.active {
		if s.prefillLeft == 0 {
			decoding++
			emits = append(emits, s)
			continue
		}
		n := min(budget, s.prefillLeft)
		budget -= n
		computed += n
		s.prefillLeft -= n
		if s.prefillLeft == 0 {
			emits = append(emits, s)
		}
	}
	took := stepBase + time.Duration(decoding)*stepDecode + time.Duration(computed)*stepPrompt
	e.w.after(time.Duration(float64(took)/e.speed), func() { e.endStep(emits) })
}

func (e *engine) endStep(emits []*sequence) {
	e.stepped = false
	for _, s := range emits {
		if s.req.firstToken == 0 {
			s.req.firstToken = e.w.now
			e.w.entries[s.req.entry].firstToken(s.req)
			e.store(s.req.blocks)
		}
		s.outLeft--
		e.gate.RecordTokens(e.w.now, s.job, 1, true)
		e.w.entries[s.req.entry].token(s.req)
		if s.outLeft == 0 {
			e.finish(s)
		}
	}
	e.pull()
}

func (e *engine) finish(s *sequence) {
	for i, a := range e.active {
		if a == s {
			e.active = append(e.active[:i], e.active[i+1:]...)
			break
		}
	}
	e.gate.Finish(e.w.now, s.job, true)
	e.w.finished(s.req)
}

// lookup returns how many leading blocks the engine holds.
func (e *engine) lookup(blocks []uint64) int {
	for i, b := range blocks {
		el, ok := e.cache[b]
		if !ok {
			return i
		}
		e.lru.MoveToFront(el)
	}
	return len(blocks)
}

func (e *engine) store(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- { // the first block is the last to go
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

// trueWait returns what the oracle knows: the exact work before a request's
// first token.
func (e *engine) trueWait(r *request) float64 {
	prompt := r.prompt - e.peek(r.blocks)*blockTokens
	rest := 0
	for _, s := range e.active {
		prompt += s.prefillLeft
		rest += s.outLeft
	}
	for _, s := range e.waiting {
		prompt += s.prefillLeft
	}
	decode := stepBase + stepDecode*time.Duration(min(engineSlots, len(e.active)+len(e.waiting)))
	steps := float64(prompt)/stepPrefill + 1
	t := steps*decode.Seconds() + float64(prompt)*stepPrompt.Seconds()
	if over := len(e.active) + len(e.waiting) + 1 - engineSlots; over > 0 {
		t += e.slotWait(over, decode)
	}
	return t / e.speed
}

// slotWait returns the time until over running or waiting requests have ended,
// from their true lengths.
func (e *engine) slotWait(over int, decode time.Duration) float64 {
	rest := 0
	for _, s := range e.active {
		rest += s.outLeft
	}
	for _, s := range e.waiting {
		rest += s.outLeft
	}
	held := len(e.active) + len(e.waiting)
	perStep := decode.Seconds() + 0.3*stepPrefill*stepPrompt.Seconds()
	return float64(over) * float64(rest) / float64(held) / engineSlots * perStep
}

func (e *engine) peek(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := e.cache[b]; !ok {
			return i
		}
	}
	return len(blocks)
}
