package expert

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	largeGroup     = 64
	historyActions = 60_000
)

// largeWorld is a group of 64 ranks with random coordinators, message losses and restarts.
type largeWorld struct {
	rng              *rand.Rand
	engines          [largeGroup]Position
	agents           [largeGroup]RankState
	sentUpTo         [largeGroup]uint64 // next step after the last one whose data the other ranks have
	mapOfStep        map[uint64]MapID   // map in use in each step
	liveInStep       map[uint64]int     // ranks that have entered a step and have not restarted since
	attempts         []*SwitchAttempt
	decisionsApplied int
}

func (w *largeWorld) enter(r int) error {
	step := w.engines[r].Next
	m := w.engines[r].EnterStep()
	if other, ok := w.mapOfStep[step]; ok && other != m {
		return fmt.Errorf("%w: step %d, rank %d uses %d, others %d", errMixedStep, step, r, m, other)
	}
	w.mapOfStep[step] = m
	w.liveInStep[step]++
	w.sentUpTo[r] = max(w.sentUpTo[r], step+1)
	return nil
}

func (w *largeWorld) complete(r int) bool {
	for _, sent := range w.sentUpTo {
		if sent < w.engines[r].Next {
			return false
		}
	}
	w.engines[r].CompleteStep()
	return true
}

func (w *largeWorld) restartEngine(r int) {
	pos := w.engines[r]
	if pos.Inside {
		step := pos.Next - 1
		if w.liveInStep[step]--; w.liveInStep[step] == 0 {
			delete(w.mapOfStep, step) // no other rank has entered the step, and the data that was sent is dropped
			w.sentUpTo[r] = step
		}
	}
	w.engines[r] = pos.AfterRestart()
}

// deliver sends the next request of an attempt to one rank. The reply may be lost.
func (w *largeWorld) deliver(attempt *SwitchAttempt, r int) {
	engine := simEngine{&w.engines[r], noVariant}
	replyLost := w.rng.IntN(20) == 0
	switch {
	case attempt.withdrawn:
		_ = w.agents[r].Withdraw(engine, attempt.Ballot) // the rank may refuse the withdrawal
	case attempt.decision != nil:
		reply := attempt.Replies[r]
		if w.agents[r].Decide(engine, *attempt.decision, reply.Incarnation, reply.EngineRun) == nil {
			w.decisionsApplied++
		}
	case attempt.repliesComplete:
		if w.agents[r].Confirm(attempt.Ballot, attempt.Replies[r].Incarnation) == nil && !replyLost {
			attempt.RecordConfirmation(r)
		}
	default:
		reply, err := w.agents[r].Hold(engine, HoldRequest{Ballot: attempt.Ballot, HoldAt: attempt.HoldAt})
		if err == nil && !replyLost {
			attempt.RecordReply(r, reply)
		}
	}
}

// act performs one random action: a restart, a new attempt, a request or a step of an engine.
func (w *largeWorld) act() error {
	r := w.rng.IntN(largeGroup)
	switch p := w.rng.IntN(10_000); {
	case p < 2:
		w.agents[r] = NewRankState(w.agents[r].Incarnation + 1)
	case p < 4:
		w.restartEngine(r)
	case p < 8:
		highest := Ballot{}
		for _, a := range w.agents {
			if highest.Less(a.Promised) {
				highest = a.Promised
			}
		}
		at := w.engines[r].Next + uint64(w.rng.IntN(4))
		b := Ballot{Round: highest.Round + 1, Owner: uint64(w.rng.IntN(3))}
		w.attempts = append(w.attempts, NewSwitchAttempt(b, at, MapID(1+w.rng.IntN(3)), largeGroup))
	case p < 6000 && len(w.attempts) > 0:
		a := w.attempts[max(0, len(w.attempts)-1-w.rng.IntN(3))]
		if w.rng.IntN(4000) == 0 {
			a.Withdraw()
		}
		if _, err := a.Decide(); errors.Is(err, ErrConflictingMaps) {
			return err
		}
		w.deliver(a, r)
	default:
		return w.advance(r)
	}
	return nil
}

// advance completes the current step of an engine and enters the next one, where possible.
func (w *largeWorld) advance(r int) error {
	if w.engines[r].Inside {
		w.complete(r)
	}
	if w.engines[r].CanEnterStep() {
		return w.enter(r)
	}
	return nil
}

// checkProgress runs one more ballot without faults and returns an error if some engine does not
// advance by at least three steps.
func (w *largeWorld) checkProgress() error {
	a := NewSwitchAttempt(Ballot{Round: 1 << 40}, 0, 1, largeGroup)
	for r := range w.engines {
		w.rng = rand.New(rand.NewPCG(1, 1))
		reply, err := w.agents[r].Hold(simEngine{&w.engines[r], noVariant}, HoldRequest{Ballot: a.Ballot})
		if err != nil {
			return err
		}
		a.RecordReply(r, reply)
	}
	for r := range w.engines {
		a.RecordConfirmation(r)
	}
	if _, err := a.Decide(); err != nil {
		return err
	}
	goal := uint64(0)
	for r := range w.engines {
		goal = max(goal, w.engines[r].Next+3)
		w.deliver(a, r)
	}
	for range 20 * largeGroup {
		for r := range w.engines {
			if w.engines[r].Next < goal || w.engines[r].Inside {
				if err := w.advance(r); err != nil {
					return err
				}
			}
		}
	}
	for r := range w.engines {
		if w.engines[r].Next < goal {
			return fmt.Errorf("%w: rank %d is at %+v", errNoProgress, r, w.engines[r])
		}
	}
	return nil
}

// 64 ranks, three coordinators with competing ballots, lost replies, withdrawals, agent and engine
// restarts. No step may mix maps, and one ballot without faults must make the group advance again.
func TestRandomHistoriesOfLargeGroupsNeverMixMaps(t *testing.T) {
	for seed := range uint64(12) {
		g := NewWithT(t)
		w := &largeWorld{rng: rand.New(rand.NewPCG(seed, 7)), mapOfStep: map[uint64]MapID{}, liveInStep: map[uint64]int{}}
		for r := range w.engines {
			w.engines[r] = Position{Start: 1, Joined: true, Next: 1, Map: 1}
			w.agents[r] = NewRankState(1)
			w.sentUpTo[r] = 1
		}
		for range historyActions {
			g.Expect(w.act()).To(Succeed(), "seed %d", seed)
		}
		g.Expect(w.checkProgress()).To(Succeed(), "seed %d", seed)
		t.Logf("seed %d: %d steps, %d ballots, %d decisions applied", seed, w.engines[0].Next, len(w.attempts), w.decisionsApplied)
	}
}
