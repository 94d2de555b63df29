package gateway

import (
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/serving"
	"github.com/heatherrail/heatherrail/upstream"
)

// connPools holds a connection pool for each run of a target.
type connPools struct {
	mu    sync.Mutex
	byRun map[serving.Run]*upstream.Pool
	limit upstream.Limit
}

func newConnPools(maxConns int) *connPools {
	p := &connPools{byRun: make(map[serving.Run]*upstream.Pool)}
	p.limit.Max, p.limit.MakeRoom = int64(maxConns), p.closeIdle
	return p
}

// closeIdle closes an idle connection to some target.
func (p *connPools) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byRun {
		if pool.CloseOldestIdle() {
			return
		}
	}
}

// forTarget returns the pool of a target.
func (p *connPools) forTarget(t *serving.Target) *upstream.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byRun[t.Run()]
	if pool == nil {
		pool = upstream.NewPool(t.Address, &p.limit)
		p.byRun[t.Run()] = pool
	}
	return pool
}

// hasIdle reports whether there is an idle connection to a target.
func (p *connPools) hasIdle(run serving.Run) bool {
	p.mu.Lock()
	pool := p.byRun[run]
	p.mu.Unlock()
	return pool != nil && pool.IdleCount() > 0
}

// remove closes the connections to a lost target.
func (p *connPools) remove(run serving.Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.byRun[run]; pool != nil {
		pool.Close()
		delete(p.byRun, run)
	}
}

// prune closes idle connections that targets are about to close.
func (p *connPools) prune(now time.Time) {
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

// removeLostTargets drops the state of targets that no longer exist and closes the connections to
// them.
func (g *Gateway) removeLostTargets(targets map[string][]*serving.Target) {
	alive := make(map[serving.Run]bool)
	for _, list := range targets {
		for _, t := range list {
			alive[t.Run()] = true
		}
	}
	for _, run := range g.tracker.Prune(func(run serving.Run) bool { return alive[run] }, time.Now()) {
		g.connPools.remove(run)
	}
	g.connPools.prune(time.Now())
}
