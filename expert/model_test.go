package expert

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// In the model, each request that was ever sent can be delivered at any time, any number of times,
// in any order, or never. Each ballot has its own coordinator, which may stop at any point. Crashed
// and competing coordinators therefore need no actions of their own.

const (
	modelRanks   = 3
	modelBallots = 3
	modelSteps   = 6
)

// variant is a safeguard of the protocol that is switched off.
type variant string

const (
	noVariant           variant = ""
	ignorePromise       variant = "a decision of a superseded ballot is applied"
	ignoreIncarnation   variant = "a decision for an earlier incarnation of the agent is applied"
	liftAnyHold         variant = "a withdrawal lifts a hold of an earlier ballot"
	skipConfirm         variant = "the coordinator decides without confirmations"
	ignoreMissing       variant = "the coordinator decides without the reply of a rank"
	forgetEarlierSteps  variant = "the coordinator ignores the steps before its own"
	ignorePlanned       variant = "a hold may come after a planned change of map"
	decideWithdrawn     variant = "the coordinator decides after its withdrawal"
	rejoinUncoordinated variant = "a restarted engine continues with the first map"
	ignoreHold          variant = "a rank passes its hold"
)

// bounds are the limits of one search of the model.
type bounds struct {
	variant        variant
	steps          uint64
	holdAt         []uint64 // step of the hold, by ballot
	wantedMaps     []MapID  // map that the coordinator wants, by ballot
	agentRestarts  int
	engineRestarts int
	noWithdrawals  bool
	maxStates      int // the search fails if it finds more states
}

// modelAttempt is the state of one ballot at its coordinator.
type modelAttempt struct {
	withdrawn       bool
	cannotDecide    bool // the attempt can no longer decide
	decision        *Decision
	replies         [modelRanks]*HoldReply
	repliesComplete bool
	confirmed       [modelRanks]bool
}

// world is one state of the model.
type world struct {
	engine                        [modelRanks]Position
	agent                         [modelRanks]RankState
	attempt                       [modelBallots]modelAttempt
	used                          [modelRanks][modelSteps]MapID // map in use, by rank and step, in the current run of the engine
	sent                          [modelRanks][modelSteps]bool  // by rank and step: the data has reached the other ranks
	finished                      [modelSteps]MapID             // map of each step that some rank has completed
	agentRestarts, engineRestarts int
}

// simEngine implements Engine on a position.
type simEngine struct {
	pos     *Position
	variant variant
}

func (e simEngine) Hold(t HoldToken, at uint64) (before, after Position, err error) {
	before = *e.pos
	e.pos.Hold(t, at)
	if e.variant == ignorePlanned && !before.Held {
		e.pos.HoldAt = max(at, e.pos.Next)
	}
	return before, *e.pos, nil
}

func (e simEngine) Release(t HoldToken, engineRun uint64, s Schedule, joinStep uint64) error {
	if e.variant != noVariant {
		t = e.pos.Token // the check of tokens by engines would hide the missing safeguards of agents
	}
	return e.pos.Release(t, engineRun, s, joinStep)
}

func (e simEngine) Lift(t HoldToken) error { return e.pos.Lift(t) }

// search is a depth-first search over all states of the model.
type search struct {
	bounds
	seen          map[uint64]struct{}
	checkedStates map[uint64]bool // engine states for which checkProgress has run
	trail         []action
	freeWorlds    []*world
	violation     error
	key           []byte
	rankKeys      [modelRanks][]byte
}

var errMixedStep = errors.New("two maps in one step")

// explore visits all states within the bounds and returns the first violation.
func explore(b bounds) (states int, err error) {
	s := &search{bounds: b, seen: make(map[uint64]struct{}), checkedStates: make(map[uint64]bool)}
	var w world
	for r := range w.engine {
		w.engine[r] = Position{Start: 1, Joined: true, Map: 1}
		w.agent[r] = NewRankState(1)
	}
	s.visit(&w)
	return len(s.seen), s.violation
}

// visit checks a state and visits all states that one action leads to.
func (s *search) visit(w *world) {
	if len(s.seen) > s.maxStates {
		s.violation = fmt.Errorf("more than %d states", s.maxStates)
		return
	}
	s.key = s.engineKey(w)
	if k := xxhash.Sum64(s.key); !s.checkedStates[k] {
		s.checkedStates[k] = true
		if err := s.checkProgress(*w); err != nil {
			s.fail(err)
			return
		}
	}
	for r := range modelRanks {
		s.engineActions(w, r)
	}
	for b := range s.holdAt {
		s.coordinatorActions(w, b)
		for r := range modelRanks {
			s.messageActions(w, b, r)
		}
	}
}

// fail records the first violation and the actions that led to it.
func (s *search) fail(err error) {
	if s.violation == nil {
		s.violation = fmt.Errorf("%w after: %v", err, s.trail)
	}
}

// takeCopy returns a copy of a state, and returnCopy makes its memory free for reuse. Without reuse
// the search spends most of its time on allocation.
func (s *search) takeCopy(w *world) *world {
	if len(s.freeWorlds) == 0 {
		s.freeWorlds = append(s.freeWorlds, new(world))
	}
	copied := s.freeWorlds[len(s.freeWorlds)-1]
	s.freeWorlds = s.freeWorlds[:len(s.freeWorlds)-1]
	*copied = *w
	return copied
}

func (s *search) returnCopy(w *world) { s.freeWorlds = append(s.freeWorlds, w) }

// action is one action of a run. Its text is only formatted for a violation.
type action struct {
	format string
	args   []any
}

func (a action) String() string { return fmt.Sprintf(a.format, a.args...) }

// visitNext visits the state after an action, unless it was visited before.
func (s *search) visitNext(w *world, format string, args ...any) {
	k := s.hash(w)
	if _, ok := s.seen[k]; ok || s.violation != nil {
		return
	}
	s.seen[k] = struct{}{}
	s.trail = append(s.trail, action{format, args})
	s.visit(w)
	s.trail = s.trail[:len(s.trail)-1]
}

// engineActions visits the states after a step and after the restarts of one rank.
func (s *search) engineActions(w *world, r int) {
	pos := &w.engine[r]
	if (pos.CanEnterStep() || s.ignoresHold(pos)) && pos.Next < s.steps {
		next := s.takeCopy(w)
		if err := next.enter(r); err != nil {
			s.trail = append(s.trail, action{"rank %d enters %d", []any{r, pos.Next}})
			s.fail(err)
			return
		}
		s.visitNext(next, "rank %d enters %d", r, pos.Next)
		s.returnCopy(next)
	}
	if pos.Inside && w.allSent(pos.Next-1) {
		next := s.takeCopy(w)
		next.complete(r)
		s.visitNext(next, "rank %d completes %d", r, pos.Next-1)
		s.returnCopy(next)
	}
	if w.agentRestarts < s.agentRestarts {
		next := s.takeCopy(w)
		next.agentRestarts++
		next.agent[r] = NewRankState(w.agent[r].Incarnation + 1)
		s.visitNext(next, "agent %d restarts", r)
		s.returnCopy(next)
	}
	if w.engineRestarts < s.engineRestarts {
		s.restartEngine(w, r)
	}
}

// ignoresHold reports whether an engine of the ignoreHold variant may enter a step.
func (s *search) ignoresHold(pos *Position) bool {
	return s.variant == ignoreHold && pos.Joined && !pos.Inside
}

// restartEngine visits the states after a restart of one engine. The data that its previous run
// sent into an unfinished step either counts for the ranks that were in the step with it, or is
// lost. It never counts for ranks that enter the step later.
func (s *search) restartEngine(w *world, r int) {
	next := s.takeCopy(w)
	next.engineRestarts++
	next.engine[r] = w.engine[r].AfterRestart()
	next.used[r] = [modelSteps]MapID{}
	if s.variant == rejoinUncoordinated {
		next.engine[r] = Position{Start: w.engine[r].Start + 1, Joined: true, Next: w.engine[r].Next, Inside: w.engine[r].Inside, Map: 1}
	}
	if w.engine[r].Inside {
		step := w.engine[r].Next - 1
		othersInStep := false
		for q := range w.engine {
			othersInStep = othersInStep || (q != r && w.used[q][step] != 0)
		}
		if othersInStep {
			s.visitNext(next, "engine %d restarts, its data arrived", r)
		}
		next.sent[r][step] = false
	}
	s.visitNext(next, "engine %d restarts", r)
	s.returnCopy(next)
}

// allSent reports whether the data of all ranks has been sent into a step.
func (w *world) allSent(step uint64) bool {
	for q := range w.engine {
		if !w.sent[q][step] {
			return false
		}
	}
	return true
}

func (w *world) enter(r int) error {
	step := w.engine[r].Next
	m := w.engine[r].EnterStep()
	for q := range w.engine {
		if other := w.used[q][step]; q != r && other != 0 && other != m {
			return fmt.Errorf("%w: step %d, rank %d uses %d, rank %d %d", errMixedStep, step, r, m, q, other)
		}
	}
	if finished := w.finished[step]; finished != 0 && finished != m {
		return fmt.Errorf("%w: step %d was completed with %d, rank %d uses %d", errMixedStep, step, finished, r, m)
	}
	w.used[r][step] = m
	w.sent[r][step] = true
	return nil
}

func (w *world) complete(r int) {
	step := w.engine[r].Next - 1
	w.engine[r].CompleteStep()
	w.finished[step] = w.used[r][step]
}

// coordinatorActions visits the states after the withdrawal and after the decision of one ballot.
func (s *search) coordinatorActions(w *world, b int) {
	a := &w.attempt[b]
	if a.decision != nil {
		return
	}
	if !a.withdrawn && !s.noWithdrawals {
		next := s.takeCopy(w)
		next.attempt[b].withdrawn = true
		next.attempt[b].cannotDecide = s.variant != decideWithdrawn
		s.visitNext(next, "ballot %d withdraws", b+1)
		s.returnCopy(next)
	}
	if !a.withdrawn || s.variant == decideWithdrawn {
		if d := s.decide(a, b); d != nil {
			next := s.takeCopy(w)
			next.attempt[b].decision = d
			s.visitNext(next, "ballot %d decides %v, join step %d", b+1, d.Schedule, d.JoinStep)
			s.returnCopy(next)
		}
	}
}

func (a *modelAttempt) replyCount() int {
	n := 0
	for _, r := range a.replies {
		if r != nil {
			n++
		}
	}
	return n
}

// decide returns the decision that a coordinator would make, or nil if it cannot decide yet.
func (s *search) decide(a *modelAttempt, b int) *Decision {
	attempt := NewSwitchAttempt(ballot(b), s.holdAt[b], s.wantedMaps[b], modelRanks)
	if s.variant == ignoreMissing {
		attempt = NewSwitchAttempt(ballot(b), s.holdAt[b], s.wantedMaps[b], max(a.replyCount(), modelRanks-1))
	}
	n := 0
	for r, reply := range a.replies {
		if reply == nil {
			continue
		}
		attempt.RecordReply(n, *reply)
		if a.confirmed[r] || s.variant == ignoreMissing || s.variant == skipConfirm {
			attempt.confirmed[n] = true
		}
		n++
	}
	d, err := attempt.Decide()
	if err != nil {
		if errors.Is(err, ErrConflictingMaps) {
			s.fail(err)
		}
		return nil
	}
	if s.variant == forgetEarlierSteps {
		d.Schedule = Schedule{{From: s.holdAt[b], Map: s.wantedMaps[b]}}
	}
	return d
}

func ballot(b int) Ballot { return Ballot{Round: uint64(b) + 1} }
