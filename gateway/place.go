package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// Weights of a placement, in requests running at a target.
const (
	distanceWeight = 0.1    // another data centre; decides only between equals
	readWeight     = 0.0015 // a prompt token that is still to be read
	reportLife     = 2 * time.Second
)

// place chooses the target of a try among those of a service that have not had
// it yet; nil if there is none.
func (b *book) place(targets []*serving.Target, tried map[string]bool, now time.Time) *serving.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	names := make([]string, 0, len(targets))
	for _, t := range targets {
		names = append(names, t.ID)
	}
	skip := b.ejector.Skip(names, now, rand.Float64)
	best := b.least(targets, func(t *serving.Target) bool { return tried[t.ID] || skip[t.ID] }, now)
	if best == nil {
		best = b.least(targets, func(t *serving.Target) bool { return tried[t.ID] }, now)
	}
	return best
}

// least returns the target with the least work, drawn among equals.
func (b *book) least(targets []*serving.Target, drop func(*serving.Target) bool, now time.Time) *serving.Target {
	var best *serving.Target
	var bestWork float64
	start := 0
	if len(targets) > 0 {
		start = rand.IntN(len(targets))
	}
	for i := range targets {
		t := targets[(start+i)%len(targets)]
		if t.Leaving || drop(t) {
			continue
		}
		if a := b.accounts[t.ID]; a != nil && a.gone {
			continue
		}
		if work := b.work(t, now); best == nil || work < bestWork {
			best, bestWork = t, work
		}
	}
	return best
}

func (b *book) work(t *serving.Target, now time.Time) float64 {
	work := 0.0
	if t.DataCentre != b.dataCentre {
		work += distanceWeight
	}
	a := b.accounts[t.ID]
	if a == nil {
		return work
	}
	work += float64(a.running) + readWeight*a.reading
	if now.Sub(a.others.at) < reportLife {
		others := a.others.running + a.others.waiting - a.others.ownThen
		work += float64(max(others, 0))
	}
	return work
}
