// Package route holds the decisions about a request: which target, when to
// refuse, when to retry. Everything here is pure: time, randomness and the state
// of the world are arguments.
package route

import "time"

// Target is what an entry knows of one target when it decides. Tokens are
// estimates; see Cost.
type Target struct {
	Name       string
	DataCentre string
	Reachable  bool // the agent can be reached and has reported
	Leaving    bool
	EngineUp   bool
	Ejected    bool // an outlier that rests for a time

	Slots             int     // requests that the engine decodes at once; 0: unknown
	TokensPerSec      float64 // decode speed of the full engine; 0: unknown
	FirstTokenBaseSec float64 // seconds to a first token that do not depend on prompts
	PrefillPerSec     float64 // prompt tokens a second; 0: unknown

	// Others is the work of other entries by the last report (see DiscountStale), Own this entry's
	// own by its own books, so that each request is counted exactly once however
	// late a report is.
	Others Work
	Own    Work

	CachedTokens float64 // leading prompt tokens of the request that are believed to be cached
}

// Work is a part of a target's load.
type Work struct {
	Requests float64 // in the engine or waiting at its agent
	Prompt   float64 // uncached prompt tokens not yet computed
	Decode   float64 // tokens still to generate
}

// Request is what placement looks at.
type Request struct {
	DataCentre string          // of the entry
	Avoid      map[string]bool // targets that failed this request
	Cost       Cost
	Blocks     []uint64 // chained hashes of the prompt's blocks, see BlockHashes
	Seed       uint64   // randomness of this decision
}

// Filter drops targets that must not be used.
type Filter interface {
	Keep(r *Request, t *Target) bool
}

// Scorer rates a target; lower is better.
type Scorer interface {
	Score(r *Request, t *Target) float64
}

// TargetPool is the targets of a service as one entry sees them. Those of the
// entry's own data centre come first.
type TargetPool interface {
	Len() int
	NearCount() int // how many are in the entry's own data centre
	// Read fills t with what is known of target i for this request.
	Read(i int, r *Request, t *Target)
	// LongestCached writes the positions of targets that seem to hold the longest
	// beginnings of the request's prompt, and returns how many it wrote.
	LongestCached(r *Request, into []int) int
}

// MaxCandidates bounds how many targets one decision rates.
const MaxCandidates = 8

// Candidate is one rated target of a decision.
type Candidate struct {
	Index  int
	Target Target
	Score  float64 // seconds
}

// Decision is the outcome of Pick with its reasons. It is the caller's to reuse:
// Pick then allocates nothing.
type Decision struct {
	Chosen     int // index into Candidates, -1 if no target can be used
	Candidates [MaxCandidates]Candidate
	N          int // candidates rated
	Filtered   int // targets that a filter dropped
	cached     [maxCached]int
}

// Best returns the chosen candidate, nil if there is none.
func (d *Decision) Best() *Candidate {
	if d.Chosen < 0 {
		return nil
	}
	return &d.Candidates[d.Chosen]
}

// Placer picks a target among a few: the sampled ones and those that seem to
// hold the prompt. Entries that all looked at every target would all choose the
// same one, and the cost would grow with the fleet.
type Placer struct {
	Filters     []Filter
	Scorer      Scorer
	NearSamples int // sampled in the entry's data centre
	FarSamples  int // sampled elsewhere
	// WaitSlack is how much longer than on an idle target the first token may take
	// before the agent sends the request back to be placed again.
	WaitSlack time.Duration
}

// DefaultPlacer returns the placer of policies that name nothing else.
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
	DefaultRemotePenaltySec = 0.002 // seconds, there and back
	DefaultLoadPenaltySec   = 0.2   // seconds
	DefaultNearSamples      = 1
	DefaultFarSamples       = 1
	DefaultWaitSlack        = 30 * time.Millisecond
)

// MaxWait returns the wait for the first token up to which the agent of a
// candidate shall take the request. Its books are exact where the entry's are
// old: what it sends back costs one round trip and did not run. Without this,
// entries that read the same old reports crowd the same targets.
func (p *Placer) MaxWait(r *Request, c *Candidate) time.Duration {
	if p.WaitSlack <= 0 {
		return 0
	}
	return seconds(ownWait(r, &c.Target)) + p.WaitSlack
}

// maxCached bounds the candidates that the cache index adds.
const maxCached = 2

// Pick fills d with the decision for a request.
func (p *Placer) Pick(r *Request, set TargetPool, d *Decision) {
	d.Chosen, d.N, d.Filtered = -1, 0, 0
	rnd := random(r.Seed)
	n, near := set.Len(), set.NearCount()
	if len(r.Blocks) > 0 {
		found := set.LongestCached(r, d.cached[:])
		for _, i := range d.cached[:found] {
			p.rate(r, set, i, d)
		}
	}
	got := p.sample(r, set, d, &rnd, 0, near, p.NearSamples)
	// Too few nearby: the rest of the sample comes from elsewhere.
	far := p.FarSamples + p.NearSamples - got
	got = p.sample(r, set, d, &rnd, near, n, far)
	if got < far && near > p.NearSamples {
		p.sample(r, set, d, &rnd, 0, near, far-got)
	}
}

// sample rates up to want usable targets of [from, to) that are not rated yet,
// and returns how many it found.
func (p *Placer) sample(r *Request, set TargetPool, d *Decision, rnd *random, from, to, want int) int {
	n := to - from
	if n <= 0 || want <= 0 {
		return 0
	}
	at := rnd.intN(n)
	stride := rnd.coprime(n)
	got := 0
	for range n {
		if d.N == MaxCandidates || got == want {
			break
		}
		if p.rate(r, set, from+at, d) {
			got++
		}
		at += stride
		if at >= n {
			at -= n
		}
	}
	return got
}

// rate adds a target to the candidates unless it is there already or a filter
// drops it.
func (p *Placer) rate(r *Request, set TargetPool, i int, d *Decision) bool {
	if d.N == MaxCandidates {
		return false
	}
	for k := range d.N {
		if d.Candidates[k].Index == i {
			return false
		}
	}
	c := &d.Candidates[d.N]
	c.Index = i
	set.Read(i, r, &c.Target)
	for _, f := range p.Filters {
		if !f.Keep(r, &c.Target) {
			d.Filtered++
			return false
		}
	}
	c.Score = p.Scorer.Score(r, &c.Target)
	if d.Chosen < 0 || c.Score < d.Candidates[d.Chosen].Score {
		d.Chosen = d.N
	}
	d.N++
	return true
}
