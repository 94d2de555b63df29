package gateway

import (
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/serving"
	"github.com/heatherrail/heatherrail/upstream"
)

// book keeps what this entry has learnt of each target and has running there.
type book struct {
	dataCentre string
	mu         sync.Mutex
	accounts   map[string]*account // by target id
	ejector    *route.Ejector
}

// account is one target's.
type account struct {
	target  *serving.Target
	pool    *upstream.Pool
	running int     // requests of this entry
	reading float64 // prompt tokens of those that have no answer yet
	gone    bool    // another target has its address
	others  reportedLoad
}

// reportedLoad is what an engine's agent says that runs there.
type reportedLoad struct {
	running, waiting int
	at               time.Time
	ownThen          int // requests of this entry when the report came
}

func newBook(dataCentre string) *book {
	return &book{dataCentre: dataCentre, accounts: make(map[string]*account), ejector: route.NewEjector()}
}

// account returns a target's account; the lock must be held.
func (b *book) account(t *serving.Target) *account {
	a := b.accounts[t.ID]
	if a == nil {
		a = &account{target: t, pool: upstream.NewPool(t.Address)}
		b.accounts[t.ID] = a
	}
	a.target = t
	return a
}

// begin books a try.
func (b *book) begin(t *serving.Target, s size) *account {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(t)
	a.running++
	a.reading += s.prompt
	return a
}

// answered books that a target has begun to answer.
func (b *book) answered(a *account, s size) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.reading -= s.prompt
}

// end books the end of a try.
func (b *book) end(a *account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.running--
}

// report books whether a target did what it should.
func (b *book) report(t *serving.Target, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ejector.Report(t.ID, ok, time.Now())
}

// replaced notes that another target has this one's address.
func (b *book) replaced(t *serving.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(t).gone = true
}

// sweep forgets targets that are gone and closes connections that targets are
// about to close.
func (b *book) sweep(known map[string][]*serving.Target) {
	now := time.Now()
	alive := make(map[string]bool)
	for _, list := range known {
		for _, t := range list {
			alive[t.ID] = true
		}
	}
	b.mu.Lock()
	var pools []*upstream.Pool
	for id, a := range b.accounts {
		if !alive[id] && a.running == 0 {
			delete(b.accounts, id)
			a.pool.Close()
			continue
		}
		pools = append(pools, a.pool)
	}
	b.mu.Unlock()
	for _, p := range pools {
		p.Prune(now)
	}
}
