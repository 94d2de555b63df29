package expert

import (
	"errors"
	"fmt"
)

var errNoProgress = errors.New("group cannot advance")

// checkProgress runs one more ballot from a state, without faults. It returns an error if a step mixes
// maps or if the group does not complete two further steps.
func (s *search) checkProgress(w world) error {
	lastBallot := Ballot{Round: modelBallots + 1}
	attempt := NewSwitchAttempt(lastBallot, 0, 0, modelRanks)
	attempt.WantedMap = 1
	for r := range w.engine {
		reply, err := w.agent[r].Hold(simEngine{&w.engine[r], noVariant}, HoldRequest{Ballot: lastBallot, HoldAt: 0})
		if err != nil {
			return fmt.Errorf("%w: %w", errNoProgress, err)
		}
		attempt.RecordReply(r, reply)
	}
	for r := range w.engine {
		attempt.RecordConfirmation(r)
	}
	decision, err := attempt.Decide()
	if err != nil {
		return fmt.Errorf("%w: %w", errNoProgress, err)
	}
	for r := range w.engine {
		if err := w.agent[r].Decide(simEngine{&w.engine[r], noVariant}, *decision, attempt.Replies[r].Incarnation, attempt.Replies[r].EngineRun); err != nil {
			return fmt.Errorf("%w: %w", errNoProgress, err)
		}
	}
	goal := s.steps + 2
	for advanced := true; advanced; {
		advanced = false
		for r := range w.engine {
			pos := &w.engine[r]
			if pos.CanEnterStep() && pos.Next < goal {
				if err := w.enter(r); err != nil {
					return err
				}
				advanced = true
			}
			if pos.Inside && w.allSent(pos.Next-1) {
				w.complete(r)
				advanced = true
			}
		}
	}
	for r := range w.engine {
		if w.engine[r].Next != goal || w.engine[r].Inside {
			return fmt.Errorf("%w: rank %d is at %+v", errNoProgress, r, w.engine[r])
		}
	}
	return nil
}
