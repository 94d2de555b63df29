package place

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/route"
)

// workload describes the requests of one run.
type workload struct {
	rate           float64 // mean requests/s
	duration       time.Duration
	ramp           bool // the rate rises from a fifth to the full rate, see rateAt
	longTailed     bool // prompt and output lengths have a long tail
	prefixFamilies int  // number of groups of prompts with a common prefix; 0: no common prefixes
	teams          []teamLoad
	deadline       time.Duration
}

// teamLoad is the load of one team. Each team has its own random source, so that its requests
// do not depend on the other teams.
type teamLoad struct {
	name   string
	rate   float64 // mean requests/s
	weight float64
}

// Sizes in tokens.
const (
	meanPrompt         = 600
	meanOutput         = 100
	sharedPrefixTokens = 1024 // common prefix of the prompts of a family
	ownSuffixTokens    = 128
)

// requests generates the requests in order of arrival.
func (l workload) requests(seed uint64, entries int) []*request {
	teams := l.teams
	if len(teams) == 0 {
		teams = []teamLoad{{name: "team-0", rate: l.rate, weight: 1}}
	}
	var all []*request
	for i, team := range teams {
		rng := rand.New(rand.NewPCG(seed, uint64(2+i)))
		at := time.Duration(0)
		for {
			at += time.Duration(rng.ExpFloat64() / l.rateAt(at, team.rate) * float64(time.Second))
			if at >= l.duration {
				break
			}
			all = append(all, l.request(rng, at, entries, team))
		}
	}
	slices.SortStableFunc(all, func(a, b *request) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
	return all
}

// rateAt returns the rate of a team at a time. With ramp, as at the opening of a shift, a fifth
// of the rate arrives for 10 s; the rate then rises linearly for 30 s and stays at its full
// value.
func (l workload) rateAt(at time.Duration, rate float64) float64 {
	if !l.ramp {
		return rate
	}
	const quietTime, riseTime = 10 * time.Second, 30 * time.Second
	progress := min(1, max(0, float64(at-quietTime)/float64(riseTime)))
	return rate * (0.2 + 0.8*progress)
}

// request generates one request of a team.
func (l workload) request(rng *rand.Rand, at time.Duration, entries int, t teamLoad) *request {
	r := &request{
		arrivedAt:    at,
		entry:        rng.IntN(entries),
		promptTokens: drawTokens(rng, meanPrompt, l.longTailed),
		outputTokens: drawTokens(rng, meanOutput, l.longTailed),
		deadline:     l.deadline,
		team:         t.name,
		weight:       t.weight,
	}
	if l.prefixFamilies > 0 {
		l.prefix(rng, r)
	}
	return r
}

// familyDriftInterval is the time in which the popularity ranking of the families shifts by one.
const familyDriftInterval = 500 * time.Millisecond

// prefix gives the request a prompt of one of the prefix families. The popular families change
// over time.
func (l workload) prefix(rng *rand.Rand, r *request) {
	rank := int(math.Pow(float64(l.prefixFamilies), rng.Float64())) - 1 // low ranks are more likely
	family := rank + int(r.arrivedAt/familyDriftInterval)
	r.promptTokens = sharedPrefixTokens + ownSuffixTokens
	text := make([]byte, 0, sharedPrefixTokens*4)
	line := fmt.Sprintf("family %08d; ", family)
	for len(text) < sharedPrefixTokens*4 {
		text = append(text, line...)
	}
	r.blocks = route.BlockHashes(r.team, text[:sharedPrefixTokens*4], nil)
}

// drawTokens draws a log-normally distributed number of tokens, at least 8 and at most 20 times the
// mean. With tail, the distribution is wider.
func drawTokens(rng *rand.Rand, mean float64, tail bool) int {
	sigma := 0.4
	if tail {
		sigma = 1.0
	}
	v := mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
	return int(min(max(v, 8), 20*mean))
}
