package place

import (
	"github.com/heatherrail/heatherrail/bench"
)

// figures summarises the requests of one run that arrived after the warm-up. Times are in
// milliseconds.
type figures struct {
	p50, p95, p99            float64 // time from arrival to the first token
	meanTokenGap, tokenGap95 float64
	cacheHitShare            float64
	attempts                 float64
	rejectedShare            float64
	rejection99              float64 // 99th percentile of the time from arrival to rejection
	goodput                  float64 // tokens/s of answers that were complete before their deadline
}

// figuresOf returns the figures of the requests that have ended.
func figuresOf(ended []*request) figures {
	var firstTokens, tokenGaps, rejections []float64
	count, attempts, cachedTokens, promptTokens, goodTokens := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, r := range ended {
		if r.arrivedAt < warmUpTime {
			continue
		}
		count++
		attempts += float64(r.attempts)
		if r.rejected {
			rejections = append(rejections, bench.Millis(r.endedAt-r.arrivedAt))
			continue
		}
		cachedTokens += float64(r.cachedTokens)
		promptTokens += float64(r.promptTokens)
		firstTokens = append(firstTokens, bench.Millis(r.firstTokenAt-r.arrivedAt))
		if r.outputTokens > 1 {
			tokenGaps = append(tokenGaps, bench.Millis(r.endedAt-r.firstTokenAt)/float64(r.outputTokens-1))
		}
		if r.endedAt-r.arrivedAt <= r.deadline {
			goodTokens += float64(r.outputTokens)
		}
	}
	f := figures{
		p50: bench.Quantile(firstTokens, 0.5), p95: bench.Quantile(firstTokens, 0.95), p99: bench.Quantile(firstTokens, 0.99),
		meanTokenGap: mean(tokenGaps), tokenGap95: bench.Quantile(tokenGaps, 0.95),
		rejection99: bench.Quantile(rejections, 0.99),
		goodput:     goodTokens / (benchDuration - warmUpTime).Seconds(),
	}
	if count > 0 {
		f.attempts, f.rejectedShare = attempts/count, float64(len(rejections))/count
	}
	if promptTokens > 0 {
		f.cacheHitShare = cachedTokens / promptTokens
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

// ofTeams returns the requests of the teams for which keep returns true.
func ofTeams(ended []*request, keep func(team string) bool) []*request {
	var kept []*request
	for _, r := range ended {
		if keep(r.team) {
			kept = append(kept, r)
		}
	}
	return kept
}

// jainIndex returns Jain's fairness index over the satisfaction of the teams. Satisfaction is
// the tokens served on time, relative to the smaller of demand and share, at most 1.
func jainIndex(ended []*request, share float64) float64 {
	served, demand := make(map[string]float64), make(map[string]float64)
	for _, r := range ended {
		if r.arrivedAt < warmUpTime {
			continue
		}
		demand[r.team] += float64(r.outputTokens)
		if !r.rejected && r.endedAt-r.arrivedAt <= r.deadline {
			served[r.team] += float64(r.outputTokens)
		}
	}
	sum, squares := 0.0, 0.0
	for team, n := range demand {
		satisfaction := min(1, served[team]/min(n, share*(benchDuration-warmUpTime).Seconds()))
		sum += satisfaction
		squares += satisfaction * satisfaction
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(demand)) * squares)
}
