package place

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/route"
)

// targetView is the state of one engine as an entry knows it.
type targetView struct {
	target     route.Target
	othersWork route.Work
	reportedAt time.Duration // when the agent made the latest report
}

// entry is a simulated entry. It implements route.TargetPool over its views of the engines.
type entry struct {
	sim        *simulation
	index      int
	name       string
	dataCentre int
	nearCount  int
	order      []int // engine indices; engines in the entry's data centre come first
	views      []*targetView
	cache      *route.CacheIndex
	rng        *rand.Rand
	lastEngine int // index of the engine that was chosen last in round-robin order
	decision   route.Decision
	means      route.LoadMeans
}

// indexBlocks is the capacity of the cache index of an entry in blocks.
const indexBlocks = 1 << 15

func newEntry(sim *simulation, index int) *entry {
	en := &entry{
		sim:        sim,
		index:      index,
		name:       fmt.Sprintf("entry-%d", index),
		dataCentre: index % sim.dataCentres,
		cache:      route.NewCacheIndex(indexBlocks),
		rng:        rand.New(rand.NewPCG(sim.opts.seed, uint64(100+index))),
		lastEngine: index,
	}
	for i, e := range sim.engines {
		en.views = append(en.views, &targetView{target: route.Target{
			Name:       fmt.Sprintf("engine-%02d", i),
			DataCentre: fmt.Sprint(e.dataCentre),
			Reachable:  true,
			EngineUp:   true,
			Slots:      engineSlots,
		}})
		if e.dataCentre == en.dataCentre {
			en.order = append(en.order, i)
		}
	}
	en.nearCount = len(en.order)
	for i, e := range sim.engines {
		if e.dataCentre != en.dataCentre {
			en.order = append(en.order, i)
		}
	}
	return en
}

// Len implements route.TargetPool.
func (en *entry) Len() int { return len(en.order) }

// NearCount implements route.TargetPool.
func (en *entry) NearCount() int { return en.nearCount }

// Read implements route.TargetPool.
func (en *entry) Read(i int, r *route.Request, t *route.Target) {
	v := en.views[en.order[i]]
	*t = v.target
	t.Others = en.means.DiscountStale(v.othersWork, (en.sim.now - v.reportedAt).Seconds())
	en.means.FillSpeeds(t)
	t.CachedTokens = en.cache.CachedTokens(i, r.Blocks)
}

// LongestCached implements route.TargetPool.
func (en *entry) LongestCached(r *route.Request, into []int) int {
	return en.cache.LongestMatch(r.Blocks, r.Seed, into)
}

// orderIndex returns the position of an engine in en.order, or -1.
func (en *entry) orderIndex(engine int) int {
	for i, candidate := range en.order {
		if candidate == engine {
			return i
		}
	}
	return -1
}

// applyReport applies the load report of an agent to the entry's view of its engine. reportedAt is
// when the agent made the report. A report that is older than the view is ignored.
func (en *entry) applyReport(engine int, report route.LoadReport, reportedAt time.Duration) {
	v := en.views[engine]
	if reportedAt < v.reportedAt {
		return
	}
	v.reportedAt = reportedAt
	t := &v.target
	v.othersWork, t.Slots = report.Others(), report.Slots
	en.means.RecordSpeeds(t, len(en.views))
	en.means.RecordLoad(t.Own, v.othersWork, len(en.views))
	t.FirstTokenBaseSec = report.FirstTokenBaseSec
	t.PrefillPerSec, t.TokensPerSec = report.PrefillPerSec, report.TokensPerSec
}

// applyCacheEvents applies a batch of cache events of an engine to the cache index.
func (en *entry) applyCacheEvents(engine int, seq uint64, events []cacheEvent) {
	index := en.orderIndex(engine)
	if !en.cache.AcceptBatch(index, seq) {
		return
	}
	for _, ev := range events {
		if ev.added {
			en.cache.Add(index, ev.block)
		} else {
			en.cache.Remove(index, ev.block)
		}
	}
}

// place chooses an engine for a request and sends the request to it. The request is rejected
// if the policy finds no engine.
func (en *entry) place(r *request) {
	r.attempts++
	choice := en.sim.policy.choose(en, r)
	if choice.engine < 0 {
		en.sim.reject(r)
		return
	}
	v := en.views[choice.engine]
	r.target = choice.engine
	r.cost = route.Cost{Prompt: max(0, float64(r.promptTokens)-choice.cached), Decode: en.sim.expectedDecode()}
	ownWork := &v.target.Own
	ownWork.Requests++
	ownWork.Prompt += r.cost.Prompt
	ownWork.Decode += r.cost.Decode
	if en.sim.policy.learnsCache {
		index := en.orderIndex(choice.engine)
		for _, b := range r.blocks {
			en.cache.Add(index, b)
		}
	}
	en.sim.after(oneWayDelay, func() { en.arriveAtAgent(v, r, choice) })
}

// arriveAtAgent offers a request to the agent of the chosen engine. A rejection goes back to
// the entry with a load report.
func (en *entry) arriveAtAgent(v *targetView, r *request, c choice) {
	e := en.sim.engines[c.engine]
	bounds := route.AdmissionBounds{MaxWait: c.maxWait}
	if !en.sim.policy.fifo {
		bounds.TimeLeft = r.deadline - (en.sim.now - r.arrivedAt)
	}
	admission, wait := e.admit(r, c.cached, bounds)
	if admission == route.Admitted {
		return
	}
	if admission == route.RejectedWait {
		r.rejections.Add(v.target.Name, wait)
	}
	report, reportedAt := e.queue.LoadReport(en.name), en.sim.now
	en.sim.after(oneWayDelay, func() { en.handleRejection(v, r, c, report, reportedAt) })
}

// maxAttempts limits the attempts at a request.
const maxAttempts = 4

// handleRejection handles a request that an agent rejected and did not run. It applies the load report
// of the agent and places the request again, unless the request has had maxAttempts attempts.
func (en *entry) handleRejection(v *targetView, r *request, c choice, report route.LoadReport, reportedAt time.Duration) {
	en.releaseRequest(r)
	en.applyReport(c.engine, report, reportedAt)
	if r.attempts >= maxAttempts {
		en.sim.reject(r)
		return
	}
	if r.avoid == nil {
		r.avoid = make(map[string]bool)
	}
	r.avoid[v.target.Name] = true
	en.place(r)
}

// recordFirstToken subtracts the prompt cost of a request from the entry's own work at the engine.
func (en *entry) recordFirstToken(r *request) {
	en.views[r.target].target.Own.Prompt -= r.cost.Prompt
	r.cost.Prompt = 0
}

// recordToken subtracts one output token of a request from the entry's own work at the engine.
func (en *entry) recordToken(r *request) {
	n := min(1, r.cost.Decode)
	en.views[r.target].target.Own.Decode -= n
	r.cost.Decode -= n
}

// releaseRequest subtracts a request and its remaining cost from the entry's own work at the engine.
func (en *entry) releaseRequest(r *request) {
	ownWork := &en.views[r.target].target.Own
	ownWork.Requests--
	ownWork.Prompt -= r.cost.Prompt
	ownWork.Decode -= r.cost.Decode
}

// choice is the engine that a policy chooses for a request; engine is -1 if there is none.
type choice struct {
	engine  int
	cached  float64       // prompt tokens that the entry expects in the prefix cache
	maxWait time.Duration // the agent rejects the request if the expected wait for the first token is longer; 0: no limit
}
