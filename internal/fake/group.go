package fake

import (
	"sync"
	"time"
)

// RankGroup runs engines in lock-step: in each step every rank computes one
// token for each of its running requests, and the slowest rank sets the pace.
type RankGroup struct {
	mu    sync.Mutex
	ranks []*Engine
	steps uint64
	stop  chan struct{}
	done  chan struct{}
}

// NewRankGroup starts a group whose steps take stepTime.
func NewRankGroup(stepTime time.Duration, ranks ...*Engine) *RankGroup {
	g := &RankGroup{ranks: ranks, stop: make(chan struct{}), done: make(chan struct{})}
	go g.run(stepTime)
	return g
}

func (g *RankGroup) run(stepTime time.Duration) {
	defer close(g.done)
	ticker := time.NewTicker(stepTime)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.step()
		case <-g.stop:
			return
		}
	}
}

// step runs one step on all ranks; a stalled rank holds the whole group.
func (g *RankGroup) step() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.ranks {
		if e.Stalled() {
			return
		}
	}
	g.steps++
	for _, e := range g.ranks {
		e.step()
	}
}

// Steps returns how many steps the group has taken.
func (g *RankGroup) Steps() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.steps
}

// Close stops the group.
func (g *RankGroup) Close() {
	close(g.stop)
	<-g.done
}
