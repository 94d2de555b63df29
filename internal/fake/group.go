package fake

import (
	"sync"
	"time"
)

// RankGroup runs engines in lock-step. In each step, every rank computes one token for
// each of its running requests. A stalled rank blocks the whole group.
type RankGroup struct {
	mu    sync.Mutex
	ranks []*Engine
	steps uint64
	stop  chan struct{}
	done  chan struct{}
}

// NewRankGroup starts a group that takes a step every stepTime.
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

// step runs one step on all ranks. If a rank is stalled, it runs no step on any rank.
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

// Steps returns the number of completed steps.
func (g *RankGroup) Steps() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.steps
}

// Close stops the group and waits for its goroutine.
func (g *RankGroup) Close() {
	close(g.stop)
	<-g.done
}
