package placing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/serving"
)

// Tracker keeps the load, failures and limits that one entry has observed for each target, and the
// attempts that this entry runs there.
type Tracker struct {
	dataCentre  string
	mu          sync.Mutex
	rng         *rand.Rand
	states      map[serving.Run]*TargetState
	ejector     *route.Ejector[serving.Run]
	groups      map[groupKey]*groupTracker
	lateShares  map[string]*lateShare // by service name
	failures    failureReports
	stated      statements
	hasIdleConn func(run serving.Run) bool
	isAvoided   func(run serving.Run) bool
}

// TargetState is the tracked state of one target.
type TargetState struct {
	target              *serving.Target
	running             int     // requests that this entry runs at the target
	pendingPromptTokens float64 // prompt tokens of this entry's requests that have no response yet
	replaced            bool    // another target has taken over the address of this one
	reported            reportedLoad
	group               string // group of which the target is a rank, by the latest report; "": unknown
}

// NewTracker returns the tracker of an entry in a data centre. rng is used to sample targets.
func NewTracker(entry, dataCentre string, rng *rand.Rand) *Tracker {
	return &Tracker{
		dataCentre: dataCentre,
		rng:        rng,
		states:     make(map[serving.Run]*TargetState),
		ejector:    route.NewEjector[serving.Run](),
		groups:     make(map[groupKey]*groupTracker),
		lateShares: make(map[string]*lateShare),
		failures:   newFailureReports(entry),
		stated:     newStatements(),
	}
}

// PreferIdleConnections makes placement prefer targets for which hasIdleConn reports an open and
// idle connection. hasIdleConn must not call the tracker.
func (tr *Tracker) PreferIdleConnections(hasIdleConn func(run serving.Run) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.hasIdleConn = hasIdleConn
}

// AvoidTargets makes placement use the targets for which isAvoided is true only if there is no other.
// isAvoided must not call the tracker.
func (tr *Tracker) AvoidTargets(isAvoided func(run serving.Run) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.isAvoided = isAvoided
}

// targetState returns the state of a target and creates it if needed. The lock must be held.
func (tr *Tracker) targetState(t *serving.Target) *TargetState {
	ts := tr.states[t.Run()]
	if ts == nil {
		ts = new(TargetState)
		tr.states[t.Run()] = ts
	}
	ts.target = t
	return ts
}

// TargetState returns the state of a target and creates it if needed.
func (tr *Tracker) TargetState(t *serving.Target) *TargetState {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.targetState(t)
}

// StartAttempt records the start of an attempt at a target. s is the work that the request
// requires.
func (tr *Tracker) StartAttempt(t *serving.Target, s Size) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.startAttempt(t, s)
}

func (tr *Tracker) startAttempt(t *serving.Target, s Size) *TargetState {
	ts := tr.targetState(t)
	ts.running++
	ts.pendingPromptTokens += s.PromptTokens
	return ts
}

// RecordResponseStart records that the target has begun its response to an attempt.
func (tr *Tracker) RecordResponseStart(ts *TargetState, s Size) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ts.pendingPromptTokens -= s.PromptTokens
}

// EndAttempt records the end of an attempt and returns its slot to the headroom of the target's
// group.
func (tr *Tracker) EndAttempt(ts *TargetState, r *Request, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ts.running--
	tr.group(tr.groupKeyOf(ts.target, now)).headroom.returnSlot()
	tr.lateShareOf(ts.target.Service).recordEnd(r, now)
}

// RecordOutcome records whether a target handled a request as it should.
func (tr *Tracker) RecordOutcome(t *serving.Target, ok bool, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if ablate.Off(ablate.Ejection) {
		return
	}
	tr.ejector.RecordResult(t.Run(), ok, now)
	if ok {
		tr.failures.recordSuccess(t.Run(), now)
	}
}

// MarkReplaced records that another target has taken over this target's address.
func (tr *Tracker) MarkReplaced(t *serving.Target) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.targetState(t).replaced = true
}

// Prune drops the state of targets that are no longer known and have no attempts running, and
// returns their runs.
func (tr *Tracker) Prune(known func(run serving.Run) bool, now time.Time) []serving.Run {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.stated.prune(known, now)
	var pruned []serving.Run
	for run, ts := range tr.states {
		if ts.running == 0 && !known(run) {
			delete(tr.states, run)
			pruned = append(pruned, run)
		}
	}
	return pruned
}
