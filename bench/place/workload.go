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
	rate     float64 // requests a second on average
	duration time.Duration
	burst    bool // starts low, then fivefold within a minute
	tail     bool // long-tailed prompts and outputs
	families int  // prompts that begin alike; 0: all differ
	teams    []teamLoad
	deadline time.Duration
}

// teamLoad is one team's part; each has a random stream of its own, so that a
// team's requests are the same whatever the others send.
type teamLoad struct {
	name   string
	rate   float64 // requests a second
	weight float64
}

// Means of the workloads, tokens.
const (
	meanPrompt   = 600
	meanOutput   = 100
	familyPrompt = 1024 // the part that a family's prompts share
	familyOwn    = 128
)

// requests returns the requests in the order of their arrival.
func (l workload) requests(seed uint64, entries int) []*request {
	teams := l.teams
	if len(teams) == 0 {
		teams = []teamLoad{{name: "team-0", rate: l.rate, weight: 1}}
	}
	var all []*request
	for i, t := range teams {
		rng := rand.New(rand.NewPCG(seed, uint64(2+i)))
		at := time.Duration(0)
		for {
			at += time.Duration(rng.ExpFloat64() / l.rateAt(at, t.rate) * float64(time.Second))
			if at >= l.duration {
				break
			}
			all = append(all, l.request(rng, at, entries, t))
		}
	}
	slices.SortStableFunc(all, func(a, b *request) int { return cmp.Compare(a.at, b.at) })
	return all
}

// rateAt: a shift that opens rises to its fivefold within the first half minute
// and stays there.
func (l workload) rateAt(at time.Duration, rate float64) float64 {
	if !l.burst {
		return rate
	}
	const quiet, rise = 10 * time.Second, 30 * time.Second
	part := min(1, max(0, float64(at-quiet)/float64(rise)))
	return rate * (0.2 + 0.8*part)
}

func (l workload) request(rng *rand.Rand, at time.Duration, entries int, t teamLoad) *request {
	r := &request{
		at:       at,
		entry:    rng.IntN(entries),
		prompt:   size(rng, meanPrompt, l.tail),
		output:   size(rng, meanOutput, l.tail),
		deadline: l.deadline,
		team:     t.name,
		weight:   t.weight,
	}
	if l.families > 0 {
		l.prefix(rng, r)
	}
	return r
}

// drift is how long the popularity of families takes to move on by one place.
const drift = 500 * time.Millisecond

// prefix gives the request a prompt of one of the families; which ones are
// popular drifts.
func (l workload) prefix(rng *rand.Rand, r *request) {
	rank := int(math.Pow(float64(l.families), rng.Float64())) - 1 // few are asked for often
	family := rank + int(r.at/drift)
	r.prompt = familyPrompt + familyOwn
	text := make([]byte, 0, familyPrompt*4)
	line := fmt.Sprintf("family %08d; ", family)
	for len(text) < familyPrompt*4 {
		text = append(text, line...)
	}
	r.blocks = route.BlockHashes(r.team, text[:familyPrompt*4], nil)
}

// size draws a count of tokens around a mean.
func size(rng *rand.Rand, mean float64, tail bool) int {
	sigma := 0.4
	if tail {
		sigma = 1.0
	}
	v := mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
	return int(min(max(v, 8), 20*mean))
}
