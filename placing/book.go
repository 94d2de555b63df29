package placing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/serving"
)

// Book keeps what one entry has learnt of each target and has running there.
type Book struct {
	dataCentre string
	mu         sync.Mutex
	rng        *rand.Rand
	accounts   map[serving.Run]*Account
	ejector    *route.Ejector[serving.Run]
	groups     map[groupKey]*groupBook
	late       map[string]*lateShare // by service
	doubts     doubts
	limits     rateLimits
	kept       func(run serving.Run) bool
}

// Account is one target's.
type Account struct {
	target  *serving.Target
	running int     // requests of this entry
	reading float64 // prompt tokens of those that have no answer yet
	gone    bool    // another target has its address
	others  reportedLoad
	group   string // that the target is a rank of, by the latest report; "": not known
}

// NewBook returns a book of an entry in a data centre. rng draws among targets.
func NewBook(entry, dataCentre string, rng *rand.Rand) *Book {
	return &Book{
		dataCentre: dataCentre,
		rng:        rng,
		accounts:   make(map[serving.Run]*Account),
		ejector:    route.NewEjector[serving.Run](),
		groups:     make(map[groupKey]*groupBook),
		late:       make(map[string]*lateShare),
		doubts:     newDoubts(entry),
		limits:     newRateLimits(),
	}
}

// PreferKept has placements prefer targets to which kept tells that a connection is open and
// idle. kept must not use the book.
func (b *Book) PreferKept(kept func(run serving.Run) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kept = kept
}

// account returns a target's account; the lock must be held.
func (b *Book) account(t *serving.Target) *Account {
	a := b.accounts[t.Run()]
	if a == nil {
		a = new(Account)
		b.accounts[t.Run()] = a
	}
	a.target = t
	return a
}

// Account returns a target's account.
func (b *Book) Account(t *serving.Target) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account(t)
}

// Begin books a try.
func (b *Book) Begin(t *serving.Target, s Size) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin(t, s)
}

func (b *Book) begin(t *serving.Target, s Size) *Account {
	a := b.account(t)
	a.running++
	a.reading += s.Prompt
	return a
}

// Answered books that a target has begun to answer.
func (b *Book) Answered(a *Account, s Size) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.reading -= s.Prompt
}

// End books the end of a try of a request.
func (b *Book) End(a *Account, r *Request, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.running--
	b.group(b.keyOf(a.target, now)).share.freed()
	b.lates(a.target.Service).end(r, now)
}

// Outcome books whether a target did what it should.
func (b *Book) Outcome(t *serving.Target, ok bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ablate.Off(ablate.Ejection) {
		return
	}
	b.ejector.Report(t.Run(), ok, now)
	if ok {
		b.doubts.well(t.Run(), now)
	}
}

// Replaced notes that another target has this one's address.
func (b *Book) Replaced(t *serving.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(t).gone = true
}

// Forget drops the accounts of targets that are not known any more and have nothing
// running, and returns their runs.
func (b *Book) Forget(known func(run serving.Run) bool, now time.Time) []serving.Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.forget(known, now)
	var forgotten []serving.Run
	for run, a := range b.accounts {
		if a.running == 0 && !known(run) {
			delete(b.accounts, run)
			forgotten = append(forgotten, run)
		}
	}
	return forgotten
}
