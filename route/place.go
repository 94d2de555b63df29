// Package route holds the decisions about a request: which target, when to
// refuse, when to retry. Everything here is pure: time, randomness and the state
// of the world are arguments.
package route

import "math/rand/v2"

// Target is what an entry knows of one target when it decides.
type Target struct {
	Name       string
	DataCentre string
	Linked     bool // the agent can be reached
	Leaving    bool
	EngineUp   bool
	Running    int // by the last report
	Queued     int // by the last report
	Unreported int // sent by this entry since that report
}

// Request is what placement looks at.
type Request struct {
	DataCentre string          // of the entry
	Avoid      map[string]bool // targets that failed this request
}

// Filter drops targets that must not be used.
type Filter interface {
	Keep(r *Request, t *Target) bool
}

// Scorer rates a target; lower is better.
type Scorer interface {
	Score(r *Request, t *Target) float64
}

// Usable keeps targets that can take new work.
type Usable struct{}

// Keep implements Filter.
func (Usable) Keep(r *Request, t *Target) bool {
	return t.Linked && !t.Leaving && t.EngineUp && !r.Avoid[t.Name]
}

// Outstanding scores by the work known to be on the target.
type Outstanding struct{}

// Score implements Scorer.
func (Outstanding) Score(_ *Request, t *Target) float64 {
	return float64(t.Running + t.Queued + t.Unreported)
}

// Placer picks a target: a sample of the usable ones, the best of it.
type Placer struct {
	Filters []Filter
	Scorer  Scorer
	Sample  int
}

// DefaultPlacer returns the placer used when a policy names nothing else.
func DefaultPlacer() *Placer {
	return &Placer{Filters: []Filter{Usable{}}, Scorer: Outstanding{}, Sample: 2}
}

// Pick returns the index of the chosen target, or -1 if none can be used. It
// draws up to Sample usable targets; entries that all looked at every target
// would all choose the same one.
func (p *Placer) Pick(r *Request, targets []Target, rng *rand.Rand) int {
	best, bestScore, drawn := -1, 0.0, 0
	if len(targets) == 0 {
		return best
	}
	offset := rng.IntN(len(targets))
	stride := coprime(len(targets), rng)
	for i := range targets {
		at := (offset + i*stride) % len(targets)
		if !p.keep(r, &targets[at]) {
			continue
		}
		if score := p.Scorer.Score(r, &targets[at]); best < 0 || score < bestScore {
			best, bestScore = at, score
		}
		if drawn++; drawn == p.Sample {
			break
		}
	}
	return best
}

func (p *Placer) keep(r *Request, t *Target) bool {
	for _, f := range p.Filters {
		if !f.Keep(r, t) {
			return false
		}
	}
	return true
}

// coprime returns a stride that visits all n places once.
func coprime(n int, rng *rand.Rand) int {
	if n <= 2 {
		return 1
	}
	for {
		stride := 1 + rng.IntN(n-1)
		if gcd(stride, n) == 1 {
			return stride
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
