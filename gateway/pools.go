package gateway

import (
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/serving"
	"github.com/heatherrail/heatherrail/upstream"
)

// pools are the connections to targets.
type pools struct {
	mu    sync.Mutex
	byRun map[serving.Run]*upstream.Pool
}

func newPools() *pools { return &pools{byRun: make(map[serving.Run]*upstream.Pool)} }

// of returns a target's pool.
func (p *pools) of(t *serving.Target) *upstream.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byRun[t.Run()]
	if pool == nil {
		pool = upstream.NewPool(t.Address)
		p.byRun[t.Run()] = pool
	}
	return pool
}

// kept tells whether a connection to a target is open and idle.
func (p *pools) kept(run serving.Run) bool {
	p.mu.Lock()
	pool := p.byRun[run]
	p.mu.Unlock()
	return pool != nil && pool.IdleCount() > 0
}

// drop closes the connections to a target that is gone.
func (p *pools) drop(run serving.Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.byRun[run]; pool != nil {
		pool.Close()
		delete(p.byRun, run)
	}
}

// prune closes connections that targets are about to close.
func (p *pools) prune(now time.Time) {
	p.mu.Lock()
	list := make([]*upstream.Pool, 0, len(p.byRun))
	for _, pool := range p.byRun {
		list = append(list, pool)
	}
	p.mu.Unlock()
	for _, pool := range list {
		pool.CloseExpired(now)
	}
}

// sweep forgets targets that are gone and closes connections to them.
func (g *Gateway) sweep(known map[string][]*serving.Target) {
	alive := make(map[serving.Run]bool)
	for _, list := range known {
		for _, t := range list {
			alive[t.Run()] = true
		}
	}
	for _, run := range g.book.Prune(func(run serving.Run) bool { return alive[run] }, time.Now()) {
		g.pools.drop(run)
	}
	g.pools.prune(time.Now())
}
