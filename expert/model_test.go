package expert

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// The model: every order ever sent may be delivered at any time, any number of
// times, in any order, or never. Each ballot is an orderer of its own that may
// stop at any point, so dying and duelling orderers need no actions of their own.

const (
	modelRanks   = 3
	modelBallots = 3
	modelSteps   = 6
)

// variant names a safeguard that is taken out.
type variant string

const (
	whole             variant = ""
	ignorePromise     variant = "a decision of an overtaken ballot is obeyed"
	ignoreIncarnation variant = "a decision meant for an earlier run of the agent is obeyed"
	liftAnyHold       variant = "withdrawal lifts a hold that was there before"
	skipConfirm       variant = "the orderer decides without confirmations"
	ignoreMissing     variant = "the orderer decides though a rank is silent"
	ignorePassed      variant = "the orderer forgets the steps before its own"
	ignorePlanned     variant = "a hold may lie behind a planned change of map"
	decideWithdrawn   variant = "the orderer decides after it withdrew"
	joinAlone         variant = "a restarted engine goes on with the first map"
	ignoreHold        variant = "a rank passes its hold"
)

// bounds limit one search.
type bounds struct {
	variant        variant
	steps          uint64
	at             []uint64 // step that each ballot asks for
	want           []MapID  // for each ballot
	agentRestarts  int
	engineRestarts int
	noWithdrawals  bool
	maxStates      int // the search fails when it sees more
}

type modelAttempt struct {
	withdrawn bool
	dead      bool // it can't decide any more
	decided   *Decision
	replies   [modelRanks]*HoldReply
	complete  bool
	confirmed [modelRanks]bool
}

type world struct {
	engine                        [modelRanks]Position
	agent                         [modelRanks]RankState
	attempt                       [modelBallots]modelAttempt
	used                          [modelRanks][modelSteps]MapID // by this run of the engine
	sent                          [modelRanks][modelSteps]bool  // what the others may count on in the barrier
	finished                      [modelSteps]MapID
	agentRestarts, engineRestarts int
}

// simEngine runs orders on a position.
type simEngine struct {
	p *Position
	v variant
}

func (e simEngine) Hold(t HoldToken, at uint64) (before, after Position, err error) {
	before = *e.p
	e.p.Hold(t, at)
	if e.v == ignorePlanned && !before.Held {
		e.p.HoldAt = max(at, e.p.Next)
	}
	return before, *e.p, nil
}

func (e simEngine) Release(t HoldToken, start uint64, s Schedule, join uint64) error {
	if e.v != whole {
		t = e.p.Token // variants break the agents' rules, which the engines' would cover
	}
	return e.p.Release(t, start, s, join)
}

func (e simEngine) Lift(t HoldToken) error { return e.p.Lift(t) }

type search struct {
	bounds
	seen     map[uint64]struct{}
	finishes map[uint64]bool // engine states from which the group can go on
	trail    []action
	free     []*world
	found    error
	key      []byte
	parts    [modelRanks][]byte
}

var errMixedStep = errors.New("two maps in one step")

// explore visits all states within the bounds and returns the first violation.
func explore(b bounds) (states int, err error) {
	s := &search{bounds: b, seen: make(map[uint64]struct{}), finishes: make(map[uint64]bool)}
	var w world
	for r := range w.engine {
		w.engine[r] = Position{Start: 1, Joined: true, Map: 1}
		w.agent[r] = NewRankState(1)
	}
	s.visit(&w)
	return len(s.seen), s.found
}

func (s *search) visit(w *world) {
	if len(s.seen) > s.maxStates {
		s.found = fmt.Errorf("more than %d states", s.maxStates)
		return
	}
	s.key = s.engineKey(w)
	if k := xxhash.Sum64(s.key); !s.finishes[k] {
		s.finishes[k] = true
		if err := s.finish(*w); err != nil {
			s.fail(err)
			return
		}
	}
	for r := range modelRanks {
		s.engineActions(w, r)
	}
	for b := range s.at {
		s.ordererActions(w, b)
		for r := range modelRanks {
			s.orderActions(w, b, r)
		}
	}
}

func (s *search) fail(err error) {
	if s.found == nil {
		s.found = fmt.Errorf("%w after: %v", err, s.trail)
	}
}

// copy returns a state to change, and drop gives it back: without, the search
// spends most of its time on allocation.
func (s *search) copy(w *world) *world {
	if len(s.free) == 0 {
		s.free = append(s.free, new(world))
	}
	n := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	*n = *w
	return n
}

func (s *search) drop(w *world) { s.free = append(s.free, w) }

// action is one step of a run; it is only spelt out for a violation.
type action struct {
	format string
	args   []any
}

func (a action) String() string { return fmt.Sprintf(a.format, a.args...) }

func (s *search) then(w *world, format string, args ...any) {
	k := s.hash(w)
	if _, ok := s.seen[k]; ok || s.found != nil {
		return
	}
	s.seen[k] = struct{}{}
	s.trail = append(s.trail, action{format, args})
	s.visit(w)
	s.trail = s.trail[:len(s.trail)-1]
}

func (s *search) engineActions(w *world, r int) {
	p := &w.engine[r]
	if (p.CanEnterStep() || s.passes(p)) && p.Next < s.steps {
		n := s.copy(w)
		if err := n.enter(r); err != nil {
			s.trail = append(s.trail, action{"rank %d enters %d", []any{r, p.Next}})
			s.fail(err)
			return
		}
		s.then(n, "rank %d enters %d", r, p.Next)
		s.drop(n)
	}
	if p.Inside && w.allSent(p.Next-1) {
		n := s.copy(w)
		n.complete(r)
		s.then(n, "rank %d completes %d", r, p.Next-1)
		s.drop(n)
	}
	if w.agentRestarts < s.agentRestarts {
		n := s.copy(w)
		n.agentRestarts++
		n.agent[r] = NewRankState(w.agent[r].Incarnation + 1)
		s.then(n, "agent %d restarts", r)
		s.drop(n)
	}
	if w.engineRestarts < s.engineRestarts {
		s.restartEngine(w, r)
	}
}

func (s *search) passes(p *Position) bool {
	return s.variant == ignoreHold && p.Joined && !p.Inside
}

// restartEngine: what the dead run sent into an unfinished step counts for ranks
// that were in the step with it, or was lost; it never counts for later comers.
func (s *search) restartEngine(w *world, r int) {
	n := s.copy(w)
	n.engineRestarts++
	n.engine[r] = w.engine[r].AfterRestart()
	n.used[r] = [modelSteps]MapID{}
	if s.variant == joinAlone {
		n.engine[r] = Position{Start: w.engine[r].Start + 1, Joined: true, Next: w.engine[r].Next, Inside: w.engine[r].Inside, Map: 1}
	}
	if w.engine[r].Inside {
		step := w.engine[r].Next - 1
		company := false
		for q := range w.engine {
			company = company || (q != r && w.used[q][step] != 0)
		}
		if company {
			s.then(n, "engine %d restarts, its data arrived", r)
		}
		n.sent[r][step] = false
	}
	s.then(n, "engine %d restarts", r)
	s.drop(n)
}

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
		if u := w.used[q][step]; q != r && u != 0 && u != m {
			return fmt.Errorf("%w: step %d, rank %d uses %d, rank %d %d", errMixedStep, step, r, m, q, u)
		}
	}
	if f := w.finished[step]; f != 0 && f != m {
		return fmt.Errorf("%w: step %d was finished with %d, rank %d uses %d", errMixedStep, step, f, r, m)
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

func (s *search) ordererActions(w *world, b int) {
	a := &w.attempt[b]
	if a.decided != nil {
		return
	}
	if !a.withdrawn && !s.noWithdrawals {
		n := s.copy(w)
		n.attempt[b].withdrawn = true
		n.attempt[b].dead = s.variant != decideWithdrawn
		s.then(n, "ballot %d withdraws", b+1)
		s.drop(n)
	}
	if !a.withdrawn || s.variant == decideWithdrawn {
		if d := s.decide(a, b); d != nil {
			n := s.copy(w)
			n.attempt[b].decided = d
			s.then(n, "ballot %d decides %v join %d", b+1, d.Schedule, d.JoinStep)
			s.drop(n)
		}
	}
}

func (a *modelAttempt) answered() int {
	n := 0
	for _, r := range a.replies {
		if r != nil {
			n++
		}
	}
	return n
}

func (s *search) decide(a *modelAttempt, b int) *Decision {
	at := NewSwitchAttempt(ballot(b), s.at[b], s.want[b], modelRanks)
	if s.variant == ignoreMissing {
		at = NewSwitchAttempt(ballot(b), s.at[b], s.want[b], max(a.answered(), modelRanks-1))
	}
	n := 0
	for r, reply := range a.replies {
		if reply == nil {
			continue
		}
		at.RecordReply(n, *reply)
		if a.confirmed[r] || s.variant == ignoreMissing || s.variant == skipConfirm {
			at.confirmed[n] = true
		}
		n++
	}
	d, err := at.Decide()
	if err != nil {
		if errors.Is(err, ErrConflictingMaps) {
			s.fail(err)
		}
		return nil
	}
	if s.variant == ignorePassed {
		d.Schedule = Schedule{{From: s.at[b], Map: s.want[b]}}
	}
	return d
}

func ballot(b int) Ballot { return Ballot{Round: uint64(b) + 1} }

// orderActions delivers one ballot's orders to one rank.
func (s *search) orderActions(w *world, b, r int) {
	a := &w.attempt[b]
	n := s.copy(w)
	reply, err := n.agent[r].Hold(simEngine{&n.engine[r], s.variant}, HoldRequest{Ballot: ballot(b), HoldAt: s.at[b]})
	if err == nil {
		old := a.replies[r]
		if a.complete {
			old = &reply // it changes nothing for the orderer any more
		}
		if old != nil && !sameReply(old, &reply) {
			s.then(n, "rank %d holds for ballot %d, reply lost", r, b+1)
		}
		if old == nil || !sameReply(old, &reply) {
			n.attempt[b].replies[r] = &reply
			n.attempt[b].complete = n.attempt[b].answered() == modelRanks
		}
		s.then(n, "rank %d holds for ballot %d", r, b+1)
		s.drop(n)
	}
	if a.complete && !a.confirmed[r] && w.agent[r].Confirm(ballot(b), a.replies[r].Incarnation) == nil {
		n := s.copy(w)
		n.attempt[b].confirmed[r] = true
		s.then(n, "rank %d confirms ballot %d", r, b+1)
		s.drop(n)
	}
	if a.decided != nil && a.replies[r] != nil {
		s.deliverDecision(w, b, r)
	}
	if a.withdrawn {
		n := s.copy(w)
		if s.variant == liftAnyHold {
			n.agent[r].WasRunning = true
		}
		if n.agent[r].Withdraw(simEngine{&n.engine[r], s.variant}, ballot(b)) == nil {
			s.then(n, "rank %d hears that ballot %d withdrew", r, b+1)
			s.drop(n)
		}
	}
}

func (s *search) deliverDecision(w *world, b, r int) {
	n := s.copy(w)
	a := &w.attempt[b]
	incarnation := a.replies[r].Incarnation
	switch s.variant {
	case ignorePromise:
		n.agent[r].Promised, n.agent[r].HeldBy = ballot(b), ballot(b)
	case ignoreIncarnation:
		incarnation = n.agent[r].Incarnation
	}
	if n.agent[r].Decide(simEngine{&n.engine[r], s.variant}, *a.decided, incarnation, a.replies[r].EngineRun) == nil {
		s.then(n, "rank %d obeys ballot %d", r, b+1)
		s.drop(n)
	}
}

func sameReply(a, b *HoldReply) bool {
	return a.Incarnation == b.Incarnation && a.EngineRun == b.EngineRun && a.Joined == b.Joined && a.NextStep == b.NextStep &&
		a.InStep == b.InStep && a.Map == b.Map && a.HoldAt == b.HoldAt
}
