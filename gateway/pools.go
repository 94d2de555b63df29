package gateway

import (
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/serving"
	"github.com/heatherrail/heatherrail/upstream"
)

// pools are the connections to targets.
type pools struct {
	mu   sync.Mutex
	byID map[string]*upstream.Pool
}

func newPools() *pools { return &pools{byID: make(map[string]*upstream.Pool)} }

// of returns a target's pool.
func (p *pools) of(t *serving.Target) *upstream.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byID[t.ID]
	if pool == nil {
		pool = upstream.NewPool(t.Address)
		p.byID[t.ID] = pool
	}
	return pool
}

// drop closes the connections to a target that is gone.
func (p *pools) drop(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.byID[id]; pool != nil {
		pool.Close()
		delete(p.byID, id)
	}
}

// prune closes connections that targets are about to close.
func (p *pools) prune(now time.Time) {
	p.mu.Lock()
	list := make([]*upstream.Pool, 0, len(p.byID))
	for _, pool := range p.byID {
		list = append(list, pool)
	}
	p.mu.Unlock()
	for _, pool := range list {
		pool.Prune(now)
	}
}

// sweep forgets targets that are gone and closes connections to them.
func (g *Gateway) sweep(known map[string][]*serving.Target) {
	alive := make(map[string]bool)
	for _, list := range known {
		for _, t := range list {
			alive[t.ID] = true
		}
	}
	for _, id := range g.book.Forget(func(id string) bool { return alive[id] }) {
		g.pools.drop(id)
	}
	g.pools.prune(time.Now())
}
