package expert

import (
	"errors"
	"fmt"
)

// Engine takes the orders that an agent gives on behalf of an orderer.
type Engine interface {
	// Hold implements Position.Hold and returns the position before and after.
	Hold(t HoldToken, at uint64) (before, after Position, err error)
	// Release implements Position.Release.
	Release(t HoldToken, start uint64, s Schedule, join uint64) error
	// Lift implements Position.Lift.
	Lift(t HoldToken) error
}

// HoldRequest asks a rank to promise a ballot and to hold.
type HoldRequest struct {
	Ballot Ballot
	HoldAt uint64
}

// HoldReply is a rank's promise. While it holds, the rank uses Map in every step
// from the one it is in to the one before HoldAt, and goes no further.
type HoldReply struct {
	Incarnation uint64 // of the agent
	EngineRun   uint64 // of the engine
	Joined      bool   // the engine has entered a step since its start; else NextStep and Map say nothing
	NextStep    uint64
	InStep      bool
	Map         MapID
	HoldAt      uint64
	Loaded      []MapID // maps whose weights the rank holds
}

// Decision ends a ballot.
type Decision struct {
	Ballot   Ballot
	Schedule Schedule
	JoinStep uint64 // first step of a rank that has restarted
}

// Reasons why a rank refuses an order.
var (
	ErrBallotSuperseded = errors.New("a higher ballot was promised")
	ErrNotHeld          = errors.New("not held by this ballot")
	ErrAgentRestarted   = errors.New("the agent has restarted since it promised")
)

// RankState is the memory of one rank's agent. It is lost when the agent restarts.
type RankState struct {
	Incarnation uint64
	Promised    Ballot
	HeldBy      Ballot // zero: no hold of a ballot that this agent remembers
	WasRunning  bool   // the engine ran freely until HeldBy came
	reply       HoldReply
}

// NewRankState returns the memory of an agent that has just started.
func NewRankState(incarnation uint64) RankState { return RankState{Incarnation: incarnation} }

func (r *RankState) token(b Ballot) HoldToken {
	return HoldToken{Incarnation: r.Incarnation, Ballot: b}
}

// Hold promises a ballot and holds the engine. A repeated order gets the same
// reply, so that a lost one can be asked for again, unless the engine has
// restarted in between.
func (r *RankState) Hold(e Engine, o HoldRequest) (HoldReply, error) {
	repeated := o.Ballot == r.Promised && o.Ballot != Ballot{}
	switch {
	case o.Ballot.Less(r.Promised):
		return HoldReply{}, fmt.Errorf("%w: %+v", ErrBallotSuperseded, r.Promised)
	case repeated && r.HeldBy != o.Ballot:
		return HoldReply{}, ErrNotHeld // decided or withdrawn here: a late copy must not hold again
	}
	before, after, err := e.Hold(r.token(o.Ballot), o.HoldAt)
	if err != nil {
		return HoldReply{}, err
	}
	if repeated && after.Start == r.reply.EngineRun {
		return r.reply, nil
	}
	r.Promised, r.HeldBy = o.Ballot, o.Ballot
	r.WasRunning = !repeated && !before.Held && before.Joined
	r.reply = HoldReply{
		Incarnation: r.Incarnation,
		EngineRun:   after.Start,
		Joined:      after.Map != 0,
		NextStep:    after.Next,
		InStep:      after.Inside,
		Map:         after.Map,
		HoldAt:      after.HoldAt,
	}
	return r.reply, nil
}

// Confirm tells an orderer that already has every rank's reply that this rank is
// still the one that gave its own, and still held by the ballot.
//
// Agents keep promises in memory. One that promises a high ballot, restarts, and
// then answers a lower one would let both be decided: the high one has the old
// reply, the low one the new. Confirmed, a ballot has an instant at which all
// ranks were held by it and no other, and two ballots can't share one; whatever
// the earlier one decided shows in the replies to the later.
func (r *RankState) Confirm(b Ballot, incarnation uint64) error {
	switch {
	case incarnation != r.Incarnation:
		return ErrAgentRestarted
	case r.HeldBy != b:
		return ErrNotHeld
	}
	return nil
}

// Decide obeys a decision if it is of the ballot that holds the engine, and was
// made from a reply of this very agent and engine: the reply's Incarnation and
// EngineRun come back with it. An agent that restarted may be held by the same ballot
// once more, with its engine somewhere else than the decision assumes.
func (r *RankState) Decide(e Engine, d Decision, incarnation, start uint64) error {
	switch {
	case incarnation != r.Incarnation:
		return ErrAgentRestarted
	case d.Ballot.Less(r.Promised):
		return fmt.Errorf("%w: %+v", ErrBallotSuperseded, r.Promised)
	case r.HeldBy != d.Ballot:
		return ErrNotHeld
	}
	if err := e.Release(r.token(d.Ballot), start, d.Schedule, d.JoinStep); err != nil {
		return err
	}
	r.HeldBy = Ballot{}
	return nil
}

// Withdraw lifts the hold of a ballot that will never decide. A hold that was
// there before stays: it may belong to a decision that others already follow.
//
// The withdrawal can overtake the order to hold. The order would then hold the
// rank for nobody, until a rescue; so a free rank takes the ballot as promised
// and over.
func (r *RankState) Withdraw(e Engine, b Ballot) error {
	if r.HeldBy == (Ballot{}) && r.Promised.Less(b) {
		r.Promised = b
		return nil
	}
	if r.HeldBy != b || r.Promised != b {
		return ErrNotHeld
	}
	if !r.WasRunning {
		return ErrNotHeld
	}
	if err := e.Lift(r.token(b)); err != nil {
		return err
	}
	r.HeldBy = Ballot{}
	return nil
}
