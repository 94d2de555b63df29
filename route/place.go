// Package route decides about requests: the choice of a target, admission and refusal,
// retries, ejection and rate limits. The package is pure: time, randomness and all state
// outside the package are arguments.
//
// An entry is a load balancer process that callers connect to. An agent is the process
// beside a target through which all requests of the target pass. A team is a group of
// callers.
package route

import "time"

// Target is the state of one target as an entry knows it for a placement decision. Token
// counts are estimates; see Cost.
type Target struct {
	Name       string
	DataCentre string
	Reachable  bool // the agent is connected and has sent a load report
	Leaving    bool
	EngineUp   bool
	Ejected    bool // the target is ejected by outlier detection

	Slots             int     // requests that the engine decodes concurrently; 0: unknown
	TokensPerSec      float64 // decode speed of the full engine; 0: unknown
	FirstTokenBaseSec float64 // part of the time to a first token that does not depend on prompts
	PrefillPerSec     float64 // prefill speed in prompt tokens a second; 0: unknown

	// Others is the work of other entries by the latest load report (see
	// LoadMeans.DiscountStale). Own is this entry's work by its own count. Because the two
	// are separate, each request is counted exactly once, however late a report is.
	Others Work
	Own    Work

	CachedTokens float64 // leading prompt tokens of the request that are estimated to be cached
}

// Work is a part of a target's load.
type Work struct {
	Requests float64 // requests in the engine or queued at its agent
	Prompt   float64 // uncached prompt tokens not yet computed
	Decode   float64 // tokens still to generate
}

// Request holds the properties of a request that placement uses.
type Request struct {
	DataCentre string          // data centre of the entry
	Avoid      map[string]bool // targets that failed this request
	Cost       Cost
	Blocks     []uint64 // chained hashes of the prompt's blocks, see BlockHashes
	Seed       uint64   // random seed of the decision
}

// Filter removes targets that must not be used.
type Filter interface {
	Keep(r *Request, t *Target) bool
}

// Scorer scores a target; lower is better.
type Scorer interface {
	Score(r *Request, t *Target) float64
}

// TargetPool holds the targets of a service as one entry knows them. The targets of the
// entry's own data centre come first.
type TargetPool interface {
	Len() int
	NearCount() int // number of targets in the entry's own data centre
	// Read sets t to the state of target i for a request.
	Read(i int, r *Request, t *Target)
	// LongestCached writes to dst the indexes of targets that probably have cached the
	// longest prefix of the request's prompt, and returns how many it wrote.
	LongestCached(r *Request, dst []int) int
}

// MaxCandidates bounds how many targets one decision scores.
const MaxCandidates = 8

// Candidate is one target that a decision has scored.
type Candidate struct {
	Index  int // index of the target in the TargetPool
	Target Target
	Score  float64 // score of the target in seconds; lower is better
}

// Decision is the result of Placer.Pick with all candidates. The caller may reuse it, so
// that Pick allocates nothing.
type Decision struct {
	Chosen        int // index into Candidates, -1 if no target can be used
	Candidates    [MaxCandidates]Candidate
	NumCandidates int // number of candidates scored
	Filtered      int // number of targets that a filter removed
	cachedIndexes [maxCached]int
}

// Best returns the chosen candidate, nil if there is none.
func (d *Decision) Best() *Candidate {
	if d.Chosen < 0 {
		return nil
	}
	return &d.Candidates[d.Chosen]
}

// Placer picks the best of a few targets: a random sample, and the targets that probably
// have cached the prompt. If entries compared all targets, they would all choose the same
// one, and the cost of a decision would grow with the fleet.
type Placer struct {
	Filters     []Filter
	Scorer      Scorer
	NearSamples int // targets sampled in the entry's data centre
	FarSamples  int // targets sampled elsewhere
	// WaitSlack is how much longer the first token may take than at an idle target;
	// zero: no bound. If it would take longer, the agent sends the request back to be
	// placed again.
	WaitSlack time.Duration
}

// DefaultPlacer returns the placer with the default settings.
func DefaultPlacer() *Placer {
	return &Placer{
		Filters:     []Filter{Usable{}},
		Scorer:      WaitScorer{RemotePenaltySec: DefaultRemotePenaltySec, LoadPenaltySec: DefaultLoadPenaltySec},
		NearSamples: DefaultNearSamples,
		FarSamples:  DefaultFarSamples,
		WaitSlack:   DefaultWaitSlack,
	}
}

// Defaults of a placer; docs/design/0008-placement.md has the figures.
const (
	DefaultRemotePenaltySec = 0.002 // time of a round trip between data centres
	DefaultLoadPenaltySec   = 0.2
	DefaultNearSamples      = 1
	DefaultFarSamples       = 1
	DefaultWaitSlack        = 30 * time.Millisecond
)

// MaxWait returns the longest wait for the first token at which the agent of a
// candidate still accepts the request; zero: no bound. The agent knows the load of its
// target exactly, the entry only from an older report. A request that the agent sends
// back has not run and costs one round trip. Without this bound, entries that read the
// same old reports would overload the same targets.
func (p *Placer) MaxWait(r *Request, c *Candidate) time.Duration {
	if p.WaitSlack <= 0 {
		return 0
	}
	return seconds(ownWaitSeconds(r, &c.Target)) + p.WaitSlack
}

// maxCached bounds how many candidates are added because they probably have the prompt
// cached.
const maxCached = 2

// Pick stores the placement decision for a request in d.
func (p *Placer) Pick(r *Request, pool TargetPool, d *Decision) {
	d.Chosen, d.NumCandidates, d.Filtered = -1, 0, 0
	rnd := random(r.Seed)
	n, near := pool.Len(), pool.NearCount()
	if len(r.Blocks) > 0 {
		cached := pool.LongestCached(r, d.cachedIndexes[:])
		for _, i := range d.cachedIndexes[:cached] {
			p.scoreTarget(r, pool, i, d)
		}
	}
	found := p.sample(r, pool, d, &rnd, 0, near, p.NearSamples)
	// If the entry's data centre has too few usable targets, the rest of the sample comes
	// from elsewhere.
	far := p.FarSamples + p.NearSamples - found
	found = p.sample(r, pool, d, &rnd, near, n, far)
	if found < far && near > p.NearSamples {
		p.sample(r, pool, d, &rnd, 0, near, far-found)
	}
}

// sample scores up to want usable targets with indexes in [from, to) that are not scored
// yet, and returns how many it found.
func (p *Placer) sample(r *Request, pool TargetPool, d *Decision, rnd *random, from, to, want int) int {
	n := to - from
	if n <= 0 || want <= 0 {
		return 0
	}
	offset := rnd.intN(n)
	stride := rnd.coprime(n)
	found := 0
	for range n {
		if d.NumCandidates == MaxCandidates || found == want {
			break
		}
		if p.scoreTarget(r, pool, from+offset, d) {
			found++
		}
		offset += stride
		if offset >= n {
			offset -= n
		}
	}
	return found
}

// scoreTarget adds a target to the candidates, unless it is a candidate already or a filter
// removes it. It reports whether the target was added.
func (p *Placer) scoreTarget(r *Request, pool TargetPool, i int, d *Decision) bool {
	if d.NumCandidates == MaxCandidates {
		return false
	}
	for k := range d.NumCandidates {
		if d.Candidates[k].Index == i {
			return false
		}
	}
	c := &d.Candidates[d.NumCandidates]
	c.Index = i
	pool.Read(i, r, &c.Target)
	for _, f := range p.Filters {
		if !f.Keep(r, &c.Target) {
			d.Filtered++
			return false
		}
	}
	c.Score = p.Scorer.Score(r, &c.Target)
	if d.Chosen < 0 || c.Score < d.Candidates[d.Chosen].Score {
		d.Chosen = d.NumCandidates
	}
	d.NumCandidates++
	return true
}
