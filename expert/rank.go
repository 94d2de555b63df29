package expert

import (
	"errors"
	"fmt"
)

// Engine is the engine of one rank. Its agent calls it on behalf of a coordinator.
type Engine interface {
	// Hold implements Position.Hold and returns the position before and after.
	Hold(t HoldToken, at uint64) (before, after Position, err error)
	// Release implements Position.Release.
	Release(t HoldToken, engineRun uint64, s Schedule, joinStep uint64) error
	// Lift implements Position.Lift.
	Lift(t HoldToken) error
}

// HoldRequest asks a rank to promise a ballot and to stop before step HoldAt.
type HoldRequest struct {
	Ballot Ballot
	HoldAt uint64
}

// HoldReply is the promise of a rank. While held, the rank uses Map in every step from its current
// one to the one before HoldAt, and does not enter HoldAt.
type HoldReply struct {
	Incarnation uint64 // incarnation of the rank's agent
	EngineRun   uint64 // id of the engine's run; changes when the engine restarts
	Joined      bool   // the engine has entered a step since its start; if false, NextStep and Map are unset
	NextStep    uint64 // next step to enter
	InStep      bool   // step NextStep-1 was entered and is not complete
	Map         MapID
	HoldAt      uint64
	Loaded      []MapID // maps whose weights the rank has loaded; nil: not known
}

// Decision is the outcome of a ballot.
type Decision struct {
	Ballot   Ballot
	Schedule Schedule
	JoinStep uint64 // first step of a rank whose engine has restarted
}

// Reasons for which a rank refuses a request.
var (
	ErrBallotSuperseded = errors.New("a higher ballot has been promised")
	ErrNotHeld          = errors.New("rank is not held by this ballot")
	ErrAgentRestarted   = errors.New("agent has restarted since its promise")
)

// RankState is the protocol state of one rank's agent. It is kept in memory and lost when the
// agent restarts.
type RankState struct {
	Incarnation uint64
	Promised    Ballot
	HeldBy      Ballot // ballot that holds the rank; zero: this agent knows of no hold
	WasRunning  bool   // the engine had joined and was not held just before ballot HeldBy held it
	lastReply   HoldReply
}

// NewRankState returns the state of an agent that has just started.
func NewRankState(incarnation uint64) RankState { return RankState{Incarnation: incarnation} }

func (r *RankState) holdToken(b Ballot) HoldToken {
	return HoldToken{Incarnation: r.Incarnation, Ballot: b}
}

// Hold promises a ballot and holds the engine. A repeated request gets the same reply, so that a
// lost reply can be requested again, unless the engine has restarted in between.
func (r *RankState) Hold(e Engine, req HoldRequest) (HoldReply, error) {
	repeated := req.Ballot == r.Promised && req.Ballot != Ballot{}
	switch {
	case req.Ballot.Less(r.Promised):
		return HoldReply{}, fmt.Errorf("%w: %+v", ErrBallotSuperseded, r.Promised)
	case repeated && r.HeldBy != req.Ballot:
		return HoldReply{}, ErrNotHeld // the ballot has ended on this rank: a late copy of the request must not hold again
	}
	before, after, err := e.Hold(r.holdToken(req.Ballot), req.HoldAt)
	if err != nil {
		return HoldReply{}, err
	}
	if repeated && after.Start == r.lastReply.EngineRun {
		return r.lastReply, nil
	}
	r.Promised, r.HeldBy = req.Ballot, req.Ballot
	r.WasRunning = !repeated && !before.Held && before.Joined
	r.lastReply = HoldReply{
		Incarnation: r.Incarnation,
		EngineRun:   after.Start,
		Joined:      after.Map != 0,
		NextStep:    after.Next,
		InStep:      after.Inside,
		Map:         after.Map,
		HoldAt:      after.HoldAt,
	}
	return r.lastReply, nil
}

// Confirm succeeds if this agent has not restarted since it replied with the given incarnation and
// the ballot still holds the rank. A coordinator asks for confirmations once it has the replies of
// all ranks.
//
// Agents keep promises in memory. Without confirmations, an agent could promise a high ballot,
// restart and then reply to a lower ballot, and both ballots would be decided: one with the old
// reply, one with the new. With them, there is an instant at which one ballot holds all ranks. Two
// ballots cannot share such an instant, so the replies to the later ballot include the effects of
// the earlier decision.
func (r *RankState) Confirm(b Ballot, incarnation uint64) error {
	switch {
	case incarnation != r.Incarnation:
		return ErrAgentRestarted
	case r.HeldBy != b:
		return ErrNotHeld
	}
	return nil
}

// Decide applies a decision if the ballot of the decision holds the engine, and if the reply on
// which the decision is based came from this agent and this run of the engine. incarnation and
// engineRun are taken from that reply. They are checked because, after a restart of the agent, the
// same ballot may hold the rank once more, at a step that the decision does not assume.
func (r *RankState) Decide(e Engine, d Decision, incarnation, engineRun uint64) error {
	switch {
	case incarnation != r.Incarnation:
		return ErrAgentRestarted
	case d.Ballot.Less(r.Promised):
		return fmt.Errorf("%w: %+v", ErrBallotSuperseded, r.Promised)
	case r.HeldBy != d.Ballot:
		return ErrNotHeld
	}
	if err := e.Release(r.holdToken(d.Ballot), engineRun, d.Schedule, d.JoinStep); err != nil {
		return err
	}
	r.HeldBy = Ballot{}
	return nil
}

// Withdraw lifts the hold of a ballot that will not be decided. A hold that existed before this
// ballot stays, as it may belong to a decision that other ranks already follow.
//
// The withdrawal can arrive before the hold request, which would then hold the rank until a
// recovery. A rank that is not held therefore records the ballot as promised and ended.
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
	if err := e.Lift(r.holdToken(b)); err != nil {
		return err
	}
	r.HeldBy = Ballot{}
	return nil
}
