package place

import (
	"github.com/heatherrail/heatherrail/bench"
)

// figures sum up the requests of one run that arrived after the warm-up. Times
// are milliseconds.
type figures struct {
	p50, p95, p99      float64 // first token
	between, between95 float64
	hits               float64
	tries              float64
	refused            float64
	refusal99          float64 // from arrival to refusal
	goodput            float64 // tokens a second of answers whole before their deadline
}

func figuresOf(ended []*request) figures {
	var first, between, refusals []float64
	n, tries, hit, prompt, good := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, r := range ended {
		if r.at < warmUp {
			continue
		}
		n++
		tries += float64(r.tries)
		if r.refused {
			refusals = append(refusals, bench.Millis(r.done-r.at))
			continue
		}
		hit += float64(r.hit)
		prompt += float64(r.prompt)
		first = append(first, bench.Millis(r.firstToken-r.at))
		if r.output > 1 {
			between = append(between, bench.Millis(r.done-r.firstToken)/float64(r.output-1))
		}
		if r.done-r.at <= r.deadline {
			good += float64(r.output)
		}
	}
	f := figures{
		p50: bench.Quantile(first, 0.5), p95: bench.Quantile(first, 0.95), p99: bench.Quantile(first, 0.99),
		between: mean(between), between95: bench.Quantile(between, 0.95),
		refusal99: bench.Quantile(refusals, 0.99),
		goodput:   good / (benchTime - warmUp).Seconds(),
	}
	if n > 0 {
		f.tries, f.refused = tries/n, float64(len(refusals))/n
	}
	if prompt > 0 {
		f.hits = hit / prompt
	}
	return f
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / max(1, float64(len(v)))
}

func ofTeams(ended []*request, keep func(team string) bool) []*request {
	var kept []*request
	for _, r := range ended {
		if keep(r.team) {
			kept = append(kept, r)
		}
	}
	return kept
}

// jain returns Jain's index over the teams' satisfaction: tokens served in time
// over the smaller of demand and share, at most 1.
func jain(ended []*request, share float64) float64 {
	served, asked := make(map[string]float64), make(map[string]float64)
	for _, r := range ended {
		if r.at < warmUp {
			continue
		}
		asked[r.team] += float64(r.output)
		if !r.refused && r.done-r.at <= r.deadline {
			served[r.team] += float64(r.output)
		}
	}
	sum, squares := 0.0, 0.0
	for team, n := range asked {
		x := min(1, served[team]/min(n, share*(benchTime-warmUp).Seconds()))
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(asked)) * squares)
}
