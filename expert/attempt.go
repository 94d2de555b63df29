package expert

import (
	"errors"
	"fmt"
	"slices"
)

// SwitchAttempt is the state of one ballot at its coordinator. The coordinator collects the replies
// of all ranks and then their confirmations, and either decides once or withdraws.
type SwitchAttempt struct {
	Ballot    Ballot
	HoldAt    uint64 // step before which the ranks are asked to hold
	WantedMap MapID  // map to switch to; 0: keep the map in use
	Replies   []*HoldReply

	repliesComplete bool // all ranks have replied; replies after that are ignored
	confirmed       []bool
	decision        *Decision
	withdrawn       bool
}

// Reasons for which an attempt cannot decide.
var (
	ErrUnconfirmed     = errors.New("confirmations of ranks are missing")
	ErrMissingReplies  = errors.New("replies of ranks are missing")
	ErrWithdrawn       = errors.New("switch attempt was withdrawn")
	ErrConflictingMaps = errors.New("replies contain two maps for one step")
	ErrNotLoaded       = errors.New("rank has not loaded a map that the schedule uses")
	ErrNoMap           = errors.New("no rank has a map and the attempt sets none")
)

// NewSwitchAttempt returns the state of a new ballot. want is the map to switch to; 0 keeps the map
// in use.
func NewSwitchAttempt(b Ballot, holdAt uint64, want MapID, ranks int) *SwitchAttempt {
	return &SwitchAttempt{Ballot: b, HoldAt: holdAt, WantedMap: want, Replies: make([]*HoldReply, ranks), confirmed: make([]bool, ranks)}
}

// RecordReply records the reply of a rank. A later reply of the same rank replaces it until all
// ranks have replied. It returns true if all ranks have replied; confirmations can then be
// requested.
func (a *SwitchAttempt) RecordReply(rank int, r HoldReply) bool {
	if !a.repliesComplete {
		a.Replies[rank] = &r
		a.repliesComplete = len(a.MissingRanks()) == 0
	}
	return a.repliesComplete
}

// RecordConfirmation records the confirmation of a rank. A confirmation counts only if it was
// requested after the replies of all ranks had arrived.
func (a *SwitchAttempt) RecordConfirmation(rank int) {
	a.confirmed[rank] = a.repliesComplete
}

// MissingRanks returns the ranks that have not replied.
func (a *SwitchAttempt) MissingRanks() []int {
	var ranks []int
	for i, r := range a.Replies {
		if r == nil {
			ranks = append(ranks, i)
		}
	}
	return ranks
}

// Withdraw ends the attempt without a decision. It returns false if the attempt has decided.
func (a *SwitchAttempt) Withdraw() bool {
	if a.decision == nil {
		a.withdrawn = true
	}
	return a.decision == nil
}

// Decide returns the one decision of the attempt. Every rank has promised the ballot and no rank
// passes its hold, so:
//
//   - a step that some rank has entered, or will enter before its hold, gets the map of that rank
//     on all ranks;
//   - the first step that no rank can have entered, which is the highest HoldAt, can get the
//     wanted map.
//
// If the reply of a rank is missing, that rank may have passed the step already.
func (a *SwitchAttempt) Decide() (*Decision, error) {
	switch {
	case a.decision != nil:
		return a.decision, nil
	case a.withdrawn:
		return nil, ErrWithdrawn
	case len(a.MissingRanks()) > 0:
		return nil, fmt.Errorf("%w: %v", ErrMissingReplies, a.MissingRanks())
	case slices.Contains(a.confirmed, false):
		return nil, ErrUnconfirmed
	}
	d, err := a.computeDecision()
	if err != nil {
		return nil, err
	}
	a.decision = d
	return d, nil
}

func (a *SwitchAttempt) computeDecision() (*Decision, error) {
	d := &Decision{Ballot: a.Ballot}
	joinStep, freeStep, found := a.stepSpan()
	if !found {
		if a.WantedMap == 0 {
			return nil, ErrNoMap
		}
		d.JoinStep = a.HoldAt
		d.Schedule = Schedule{{From: a.HoldAt, Map: a.WantedMap}}
		return d, a.checkLoaded(d)
	}
	d.JoinStep = joinStep
	mapInUse := MapID(0)
	for step := joinStep; step < freeStep; step++ {
		m, err := a.mapAtStep(step)
		if err != nil {
			return nil, err
		}
		d.Schedule = d.Schedule.withSegment(step, m)
		mapInUse = m
	}
	if mapInUse == 0 {
		mapInUse = a.currentMap()
	}
	want := a.WantedMap
	if want == 0 || !a.isLoadedOnAllRanks(want) {
		want = mapInUse
	}
	d.Schedule = d.Schedule.withSegment(freeStep, want)
	return d, a.checkLoaded(d)
}

// withSegment appends a segment unless it would repeat the map of the last one.
func (s Schedule) withSegment(from uint64, m MapID) Schedule {
	if n := len(s); n > 0 && s[n-1].Map == m {
		return s
	}
	return append(s, Segment{From: from, Map: m})
}

// stepSpan returns the first step that is not complete on all ranks and the first step that no
// rank can have entered. found is false if no rank has entered a step since its start.
func (a *SwitchAttempt) stepSpan() (joinStep, freeStep uint64, found bool) {
	for _, r := range a.Replies {
		if r == nil || !r.Joined {
			continue
		}
		first := r.NextStep
		if r.InStep {
			first--
		}
		if !found || first < joinStep {
			joinStep = first
		}
		freeStep = max(freeStep, r.HoldAt)
		found = true
	}
	return joinStep, freeStep, found
}

// mapAtStep returns the map of a step that some rank has entered or enters before its hold.
func (a *SwitchAttempt) mapAtStep(step uint64) (MapID, error) {
	m := MapID(0)
	for _, r := range a.Replies {
		if r == nil || !r.Joined || step+1 < r.NextStep || step >= r.HoldAt {
			continue
		}
		if m != 0 && m != r.Map {
			return 0, fmt.Errorf("%w: step %d", ErrConflictingMaps, step)
		}
		m = r.Map
	}
	if m == 0 {
		return 0, fmt.Errorf("%w: no rank enters step %d", ErrMissingReplies, step)
	}
	return m, nil
}

// currentMap returns the map of the rank with the highest next step.
func (a *SwitchAttempt) currentMap() MapID {
	m, next := MapID(0), uint64(0)
	for _, r := range a.Replies {
		if r != nil && r.Joined && (m == 0 || r.NextStep > next) {
			m, next = r.Map, r.NextStep
		}
	}
	return m
}

// isLoadedOnAllRanks reports whether no rank is known to lack the weights of a map.
func (a *SwitchAttempt) isLoadedOnAllRanks(m MapID) bool {
	for _, r := range a.Replies {
		if r != nil && r.Loaded != nil && !slices.Contains(r.Loaded, m) {
			return false
		}
	}
	return true
}

// checkLoaded returns ErrNotLoaded if a rank would enter a step without the weights of its map.
func (a *SwitchAttempt) checkLoaded(d *Decision) error {
	for i, r := range a.Replies {
		if r == nil || r.Loaded == nil {
			continue
		}
		for j, seg := range d.Schedule {
			isPast := j+1 < len(d.Schedule) && r.Joined && d.Schedule[j+1].From <= r.NextStep
			if !isPast && !slices.Contains(r.Loaded, seg.Map) {
				return fmt.Errorf("%w: rank %d, map %016x", ErrNotLoaded, i, uint64(seg.Map))
			}
		}
	}
	return nil
}
