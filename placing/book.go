package placing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/serving"
)

// Tracker keeps what one entry has learnt of each target and has running there.
type Tracker struct {
	dataCentre string
	mu         sync.Mutex
	rng        *rand.Rand
	accounts   map[serving.Run]*TargetState
	ejector    *route.Ejector[serving.Run]
	groups     map[groupKey]*groupBook
	late       map[string]*lateShare // by service
	doubts     doubts
	limits     rateLimits
	kept       func(run serving.Run) bool
}

// TargetState is one target's.
type TargetState struct {
	target  *serving.Target
	running int     // requests of this entry
	reading float64 // prompt tokens of those that have no answer yet
	gone    bool    // another target has its address
	others  reportedLoad
	group   string // that the target is a rank of, by the latest report; "": not known
}

// NewTracker returns a book of an entry in a data centre. rng draws among targets.
func NewTracker(entry, dataCentre string, rng *rand.Rand) *Tracker {
	return &Tracker{
		dataCentre: dataCentre,
		rng:        rng,
		accounts:   make(map[serving.Run]*TargetState),
		ejector:    route.NewEjector[serving.Run](),
		groups:     make(map[groupKey]*groupBook),
		late:       make(map[string]*lateShare),
		doubts:     newDoubts(entry),
		limits:     newRateLimits(),
	}
}

// PreferIdleConnections has placements prefer targets to which kept tells that a connection is open and
// idle. kept must not use the book.
func (b *Tracker) PreferIdleConnections(kept func(run serving.Run) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kept = kept
}

// account returns a target's account; the lock must be held.
func (b *Tracker) account(t *serving.Target) *TargetState {
	a := b.accounts[t.Run()]
	if a == nil {
		a = new(TargetState)
		b.accounts[t.Run()] = a
	}
	a.target = t
	return a
}

// TargetState returns a target's account.
func (b *Tracker) TargetState(t *serving.Target) *TargetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account(t)
}

// StartAttempt books a try.
func (b *Tracker) StartAttempt(t *serving.Target, s Size) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin(t, s)
}

func (b *Tracker) begin(t *serving.Target, s Size) *TargetState {
	a := b.account(t)
	a.running++
	a.reading += s.PromptTokens
	return a
}

// RecordResponseStart books that a target has begun to answer.
func (b *Tracker) RecordResponseStart(a *TargetState, s Size) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.reading -= s.PromptTokens
}

// EndAttempt books the end of a try of a request.
func (b *Tracker) EndAttempt(a *TargetState, r *Request, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.running--
	b.group(b.keyOf(a.target, now)).share.freed()
	b.lates(a.target.Service).end(r, now)
}

// RecordOutcome books whether a target did what it should.
func (b *Tracker) RecordOutcome(t *serving.Target, ok bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ablate.Off(ablate.Ejection) {
		return
	}
	b.ejector.RecordResult(t.Run(), ok, now)
	if ok {
		b.doubts.well(t.Run(), now)
	}
}

// MarkReplaced notes that another target has this one's address.
func (b *Tracker) MarkReplaced(t *serving.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(t).gone = true
}

// Prune drops the accounts of targets that are not known any more and have nothing
// running, and returns their runs.
func (b *Tracker) Prune(known func(run serving.Run) bool, now time.Time) []serving.Run {
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
