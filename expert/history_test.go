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

// largeWorld is a group of 64 under random orderers, losses and restarts.
type largeWorld struct {
	rng      *rand.Rand
	engines  [largeGroup]Position
	agents   [largeGroup]RankState
	sent     [largeGroup]uint64 // one more than the last step whose data the others have
	used     map[uint64]MapID
	inStep   map[uint64]int // ranks that have entered a step and live
	attempts []*SwitchAttempt
	switched int
}

func (w *largeWorld) enter(r int) error {
	step := w.engines[r].Next
	m := w.engines[r].EnterStep()
	if u, ok := w.used[step]; ok && u != m {
		return fmt.Errorf("%w: step %d, rank %d uses %d, others %d", errMixedStep, step, r, m, u)
	}
	w.used[step] = m
	w.inStep[step]++
	w.sent[r] = max(w.sent[r], step+1)
	return nil
}

func (w *largeWorld) complete(r int) bool {
	for _, sent := range w.sent {
		if sent < w.engines[r].Next {
			return false
		}
	}
	w.engines[r].CompleteStep()
	return true
}

func (w *largeWorld) restartEngine(r int) {
	p := w.engines[r]
	if p.Inside {
		step := p.Next - 1
		if w.inStep[step]--; w.inStep[step] == 0 {
			delete(w.used, step) // nobody else began it, and what was sent is dropped
			w.sent[r] = step
		}
	}
	w.engines[r] = p.AfterRestart()
}

// deliver passes one order of an attempt to one rank; the reply may be lost.
func (w *largeWorld) deliver(a *SwitchAttempt, r int) {
	e := simEngine{&w.engines[r], whole}
	lost := w.rng.IntN(20) == 0
	switch {
	case a.withdrawn:
		_ = w.agents[r].Withdraw(e, a.Ballot) // refusals are part of the history
	case a.decided != nil:
		reply := a.Replies[r]
		if w.agents[r].Decide(e, *a.decided, reply.Incarnation, reply.EngineRun) == nil {
			w.switched++
		}
	case a.complete:
		if w.agents[r].Confirm(a.Ballot, a.Replies[r].Incarnation) == nil && !lost {
			a.RecordConfirmation(r)
		}
	default:
		reply, err := w.agents[r].Hold(e, HoldRequest{Ballot: a.Ballot, HoldAt: a.HoldAt})
		if err == nil && !lost {
			a.RecordReply(r, reply)
		}
	}
}

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
		return w.run(r)
	}
	return nil
}

func (w *largeWorld) run(r int) error {
	if w.engines[r].Inside {
		w.complete(r)
	}
	if w.engines[r].CanEnterStep() {
		return w.enter(r)
	}
	return nil
}

// finish brings the group on with one more ballot and no more faults.
func (w *largeWorld) finish() error {
	a := NewSwitchAttempt(Ballot{Round: 1 << 40}, 0, 1, largeGroup)
	for r := range w.engines {
		w.rng = rand.New(rand.NewPCG(1, 1))
		reply, err := w.agents[r].Hold(simEngine{&w.engines[r], whole}, HoldRequest{Ballot: a.Ballot})
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
				if err := w.run(r); err != nil {
					return err
				}
			}
		}
	}
	for r := range w.engines {
		if w.engines[r].Next < goal {
			return fmt.Errorf("%w: rank %d is at %+v", errStuck, r, w.engines[r])
		}
	}
	return nil
}

// 64 ranks, three orderers that outbid each other, lost replies, restarts of
// agents and engines, withdrawals: no step mixes maps, and one quiet ballot at the
// end brings the group on from wherever it stands.
func TestRandomHistoriesOfLargeGroups(t *testing.T) {
	for seed := range uint64(12) {
		g := NewWithT(t)
		w := &largeWorld{rng: rand.New(rand.NewPCG(seed, 7)), used: map[uint64]MapID{}, inStep: map[uint64]int{}}
		for r := range w.engines {
			w.engines[r] = Position{Start: 1, Joined: true, Next: 1, Map: 1}
			w.agents[r] = NewRankState(1)
			w.sent[r] = 1
		}
		for range historyActions {
			g.Expect(w.act()).To(Succeed(), "seed %d", seed)
		}
		g.Expect(w.finish()).To(Succeed(), "seed %d", seed)
		t.Logf("seed %d: %d steps, %d ballots, %d orders obeyed", seed, w.engines[0].Next, len(w.attempts), w.switched)
	}
}
