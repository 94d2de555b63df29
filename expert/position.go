package expert

import (
	"errors"
	"math"
)

// Ballot numbers an attempt to switch a group. Owner keeps two orderers'
// ballots apart.
type Ballot struct {
	Round uint64
	Owner uint64
}

// Less orders ballots.
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

// Schedule is a list of segments in the order of their steps.
type Schedule []Segment

// at returns the map in use at a step, or otherwise if no segment covers it.
func (s Schedule) at(step uint64, otherwise MapID) MapID {
	m := otherwise
	for _, seg := range s {
		if seg.From > step {
			break
		}
		m = seg.Map
	}
	return m
}

// HoldToken names the hold that an order belongs to: an agent's run and a ballot.
type HoldToken struct {
	Incarnation uint64
	Ballot      Ballot
}

// Position is where an engine stands in the lock-step of its group. It survives
// a restart of the agent, not one of the engine. Its methods are the contract
// that an engine must meet; each is one atomic step.
type Position struct {
	Start  uint64 // names this run of the engine; differs after a restart
	Joined bool   // false after a restart: no order to enter a step has come yet
	Next   uint64 // next step to enter
	Inside bool   // step Next-1 was entered and is not complete here
	Map    MapID  // in use in step Next-1; 0: no step was entered since the start
	Plan   Schedule
	Held   bool
	HoldAt uint64    // this step is not entered while Held
	Token  HoldToken // of the newest hold
}

// Reasons why an engine refuses an order.
var (
	ErrEngineRestarted = errors.New("engine has restarted since the order was made")
	ErrHoldSuperseded  = errors.New("another hold was placed since the order was made")
)

// Hold stops the engine before a step: at, or the next one if at has passed. An
// earlier hold stays where it is. A hold never lies behind a planned change of
// map that has not happened: whoever holds may cancel it, so it must not happen
// between the answer to the hold and the decision.
func (p *Position) Hold(t HoldToken, at uint64) {
	p.Token = t
	at = max(at, p.Next)
	if p.Held {
		at = min(at, p.HoldAt)
	}
	p.HoldAt = min(at, p.change())
	p.Held = true
}

// change returns the first step whose planned map differs from the current one.
func (p *Position) change() uint64 {
	if p.Plan.at(p.Next, p.Map) != p.Map {
		return p.Next
	}
	for _, seg := range p.Plan {
		if seg.From > p.Next && seg.Map != p.Map {
			return seg.From
		}
	}
	return math.MaxUint64
}

// Release ends the hold: the engine follows the schedule. An engine that has
// entered no step since its start begins with step join, also if an earlier
// release named another: the group may have gone on without it.
//
// An order can lie in the buffer of a stalled engine while its agent dies and
// the next one holds for a new ballot; taken up afterwards it would end the new
// hold with the old ballot's map. The token excludes that.
func (p *Position) Release(t HoldToken, start uint64, s Schedule, join uint64) error {
	if start != p.Start {
		return ErrEngineRestarted
	}
	if t != p.Token {
		return ErrHoldSuperseded
	}
	if p.Map == 0 {
		p.Next = join
	}
	p.Joined = true
	p.Plan = s
	p.Held = false
	return nil
}

// Lift ends a hold as if it had never been.
func (p *Position) Lift(t HoldToken) error {
	if t != p.Token {
		return ErrHoldSuperseded
	}
	p.Held = false
	return nil
}

// CanEnterStep tells whether the engine itself would enter its next step.
func (p *Position) CanEnterStep() bool {
	return p.Joined && !p.Inside && (!p.Held || p.Next < p.HoldAt)
}

// EnterStep begins the next step and returns the map in use.
func (p *Position) EnterStep() MapID {
	p.Map = p.Plan.at(p.Next, p.Map)
	if n := len(p.Plan); n > 0 && p.Plan[n-1].From <= p.Next {
		p.Plan = nil
	}
	p.Next++
	p.Inside = true
	return p.Map
}

// CompleteStep ends the step that the engine is inside.
func (p *Position) CompleteStep() { p.Inside = false }

// AfterRestart returns the state of an engine that lost its memory.
func (p *Position) AfterRestart() Position {
	return Position{Start: p.Start + 1}
}
