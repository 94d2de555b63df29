package expert

import (
	"errors"
	"math"
)

// Ballot identifies an attempt to switch a group. Owner differs between coordinators, so that no
// two of them use the same ballot. The fields are encoded as JSON under their Go names.
type Ballot struct {
	Round uint64
	Owner uint64
}

// Less orders ballots by round, then by owner.
func (b Ballot) Less(o Ballot) bool {
	if b.Round != o.Round {
		return b.Round < o.Round
	}
	return b.Owner < o.Owner
}

// Segment says which map is in use from a step on.
type Segment struct {
	From uint64
	Map  MapID
}

// Schedule is a list of segments sorted by step.
type Schedule []Segment

// mapAt returns the map in use at a step, or fallback if no segment covers the step.
func (s Schedule) mapAt(step uint64, fallback MapID) MapID {
	m := fallback
	for _, seg := range s {
		if seg.From > step {
			break
		}
		m = seg.Map
	}
	return m
}

// HoldToken is the fencing token of a hold: the incarnation of the agent and the ballot.
type HoldToken struct {
	Incarnation uint64
	Ballot      Ballot
}

// Position is the state of one engine in the lock-step of its group. It survives a restart of the
// agent, but not of the engine. Its methods are the contract that an engine must meet; each of them
// is atomic. The fields are encoded as JSON under their Go names.
type Position struct {
	Start  uint64   // id of this run of the engine; changes when the engine restarts
	Joined bool     // false after a restart, until a release lets the engine enter steps
	Next   uint64   // next step to enter
	Inside bool     // step Next-1 was entered and is not complete on this rank
	Map    MapID    // map of step Next-1; 0: no step was entered since the start
	Plan   Schedule // planned changes of map
	Held   bool
	HoldAt uint64    // while Held, this step is not entered
	Token  HoldToken // token of the latest hold
}

// Reasons for which an engine refuses a request. Their texts are sent over the wire
// (outside.RankReply) and must not change.
var (
	ErrEngineRestarted = errors.New("engine has restarted since the order was made")
	ErrHoldSuperseded  = errors.New("another hold was placed since the order was made")
)

// Hold stops the engine before step at, or before its next step if at has passed. It never moves an
// earlier hold to a later step. The hold takes effect no later than the first planned change of map
// that has not happened: the coordinator of the hold may cancel that change, so it must not happen
// between the reply to the hold and the decision.
func (p *Position) Hold(t HoldToken, at uint64) {
	p.Token = t
	at = max(at, p.Next)
	if p.Held {
		at = min(at, p.HoldAt)
	}
	p.HoldAt = min(at, p.nextMapChange())
	p.Held = true
}

// nextMapChange returns the first step whose planned map differs from the current one, or
// math.MaxUint64.
func (p *Position) nextMapChange() uint64 {
	if p.Plan.mapAt(p.Next, p.Map) != p.Map {
		return p.Next
	}
	for _, seg := range p.Plan {
		if seg.From > p.Next && seg.Map != p.Map {
			return seg.From
		}
	}
	return math.MaxUint64
}

// Release ends the hold and makes the engine follow the schedule. If the engine has entered no step
// since its start, joinStep becomes the first step that it enters. joinStep replaces a first step
// that an earlier release has set, since the group may have gone on without this engine.
//
// A release can wait in the buffer of a stalled engine while its agent dies and the next agent
// holds the engine for a new ballot. It would then end the new hold with the map of the old ballot.
// The token prevents this.
func (p *Position) Release(t HoldToken, engineRun uint64, s Schedule, joinStep uint64) error {
	if engineRun != p.Start {
		return ErrEngineRestarted
	}
	if t != p.Token {
		return ErrHoldSuperseded
	}
	if p.Map == 0 {
		p.Next = joinStep
	}
	p.Joined = true
	p.Plan = s
	p.Held = false
	return nil
}

// Lift ends the hold and changes nothing else.
func (p *Position) Lift(t HoldToken) error {
	if t != p.Token {
		return ErrHoldSuperseded
	}
	p.Held = false
	return nil
}

// CanEnterStep reports whether the state of this engine allows it to enter its next step. The
// states of the other engines are not considered.
func (p *Position) CanEnterStep() bool {
	return p.Joined && !p.Inside && (!p.Held || p.Next < p.HoldAt)
}

// EnterStep enters the next step and returns the map in use.
func (p *Position) EnterStep() MapID {
	p.Map = p.Plan.mapAt(p.Next, p.Map)
	if n := len(p.Plan); n > 0 && p.Plan[n-1].From <= p.Next {
		p.Plan = nil
	}
	p.Next++
	p.Inside = true
	return p.Map
}

// CompleteStep completes the current step.
func (p *Position) CompleteStep() { p.Inside = false }

// AfterRestart returns the position of the engine after a restart, in which it loses its state.
func (p *Position) AfterRestart() Position {
	return Position{Start: p.Start + 1}
}
