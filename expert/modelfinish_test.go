package expert

import (
	"errors"
	"fmt"
)

var errStuck = errors.New("the group can't go on")

// finish tries to bring the group on from a state: one more ballot, no more
// faults. It fails if the group mixes maps or can't reach two further steps.
func (s *search) finish(w world) error {
	last := Ballot{Round: modelBallots + 1}
	a := NewSwitchAttempt(last, 0, 0, modelRanks)
	a.WantedMap = 1
	for r := range w.engine {
		reply, err := w.agent[r].Hold(simEngine{&w.engine[r], whole}, HoldRequest{Ballot: last, HoldAt: 0})
		if err != nil {
			return fmt.Errorf("%w: %w", errStuck, err)
		}
		a.RecordReply(r, reply)
	}
	for r := range w.engine {
		a.RecordConfirmation(r)
	}
	d, err := a.Decide()
	if err != nil {
		return fmt.Errorf("%w: %w", errStuck, err)
	}
	for r := range w.engine {
		if err := w.agent[r].Decide(simEngine{&w.engine[r], whole}, *d, a.Replies[r].Incarnation, a.Replies[r].EngineRun); err != nil {
			return fmt.Errorf("%w: %w", errStuck, err)
		}
	}
	goal := s.steps + 2
	for moved := true; moved; {
		moved = false
		for r := range w.engine {
			p := &w.engine[r]
			if p.CanEnterStep() && p.Next < goal {
				if err := w.enter(r); err != nil {
					return err
				}
				moved = true
			}
			if p.Inside && w.allSent(p.Next-1) {
				w.complete(r)
				moved = true
			}
		}
	}
	for r := range w.engine {
		if w.engine[r].Next != goal || w.engine[r].Inside {
			return fmt.Errorf("%w: rank %d is at %+v", errStuck, r, w.engine[r])
		}
	}
	return nil
}
