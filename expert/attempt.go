package expert

import (
	"errors"
	"fmt"
	"slices"
)

// SwitchAttempt is one orderer's ballot: it collects the replies of all ranks, then
// their confirmations, and decides once; or it withdraws.
type SwitchAttempt struct {
	Ballot    Ballot
	HoldAt    uint64 // step that the ranks are asked to hold at
	WantedMap MapID  // 0: go on with the map in use
	Replies   []*HoldReply

	complete  bool // all replies are there and stay as they are
	confirmed []bool
	decided   *Decision
	withdrawn bool
}

// Reasons why an attempt can't decide.
var (
	ErrUnconfirmed     = errors.New("not all ranks have confirmed")
	ErrMissingReplies  = errors.New("not all ranks have answered")
	ErrWithdrawn       = errors.New("the attempt was withdrawn")
	ErrConflictingMaps = errors.New("replies name two maps for one step")
	ErrNotLoaded       = errors.New("a rank has not loaded a map that it needs")
	ErrNoMap           = errors.New("no rank knows a map and none is wanted")
)

// NewSwitchAttempt begins a ballot over a number of ranks.
func NewSwitchAttempt(b Ballot, at uint64, want MapID, ranks int) *SwitchAttempt {
	return &SwitchAttempt{Ballot: b, HoldAt: at, WantedMap: want, Replies: make([]*HoldReply, ranks), confirmed: make([]bool, ranks)}
}

// RecordReply books a rank's reply; a later one replaces it until all have answered.
// It returns true when all have: confirmations may be asked for from then on.
func (a *SwitchAttempt) RecordReply(rank int, r HoldReply) bool {
	if !a.complete {
		a.Replies[rank] = &r
		a.complete = len(a.MissingRanks()) == 0
	}
	return a.complete
}

// RecordConfirmation books a rank's answer to a question that was sent after the last reply
// had come.
func (a *SwitchAttempt) RecordConfirmation(rank int) {
	a.confirmed[rank] = a.complete
}

// MissingRanks returns the ranks that have not answered.
func (a *SwitchAttempt) MissingRanks() []int {
	var ranks []int
	for i, r := range a.Replies {
		if r == nil {
			ranks = append(ranks, i)
		}
	}
	return ranks
}

// Withdraw gives the attempt up; false if it has decided.
func (a *SwitchAttempt) Withdraw() bool {
	if a.decided == nil {
		a.withdrawn = true
	}
	return a.decided == nil
}

// Decide returns the attempt's only decision. Every rank has promised the
// ballot and none goes past its hold, so:
//
//   - a step that some rank has entered or will enter before its hold keeps that
//     rank's map for all;
//   - the first step that no rank can have entered, the furthest hold, is free.
//
// Without a reply of every rank a silent one may be past the step already.
func (a *SwitchAttempt) Decide() (*Decision, error) {
	switch {
	case a.decided != nil:
		return a.decided, nil
	case a.withdrawn:
		return nil, ErrWithdrawn
	case len(a.MissingRanks()) > 0:
		return nil, fmt.Errorf("%w: %v", ErrMissingReplies, a.MissingRanks())
	case slices.Contains(a.confirmed, false):
		return nil, ErrUnconfirmed
	}
	d, err := a.decide()
	if err != nil {
		return nil, err
	}
	a.decided = d
	return d, nil
}

func (a *SwitchAttempt) decide() (*Decision, error) {
	d := &Decision{Ballot: a.Ballot}
	join, free, found := a.span()
	if !found {
		if a.WantedMap == 0 {
			return nil, ErrNoMap
		}
		d.JoinStep = a.HoldAt
		d.Schedule = Schedule{{From: a.HoldAt, Map: a.WantedMap}}
		return d, a.checkLoaded(d)
	}
	d.JoinStep = join
	inUse := MapID(0)
	for step := join; step < free; step++ {
		m, err := a.mapOf(step)
		if err != nil {
			return nil, err
		}
		d.Schedule = d.Schedule.with(step, m)
		inUse = m
	}
	if inUse == 0 {
		inUse = a.currentMap()
	}
	want := a.WantedMap
	if want == 0 || !a.allLoaded(want) {
		want = inUse
	}
	d.Schedule = d.Schedule.with(free, want)
	return d, a.checkLoaded(d)
}

func (s Schedule) with(from uint64, m MapID) Schedule {
	if n := len(s); n > 0 && s[n-1].Map == m {
		return s
	}
	return append(s, Segment{From: from, Map: m})
}

// span returns the first step that is not complete everywhere and the first
// that no rank can have entered; found is false if no rank knows its step.
func (a *SwitchAttempt) span() (join, free uint64, found bool) {
	for _, r := range a.Replies {
		if r == nil || !r.Joined {
			continue
		}
		first := r.NextStep
		if r.InStep {
			first--
		}
		if !found || first < join {
			join = first
		}
		free = max(free, r.HoldAt)
		found = true
	}
	return join, free, found
}

// mapOf returns the map of a step that some rank enters before its hold.
func (a *SwitchAttempt) mapOf(step uint64) (MapID, error) {
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
		return 0, fmt.Errorf("%w: nobody enters step %d", ErrMissingReplies, step)
	}
	return m, nil
}

// currentMap returns the map of the rank that is furthest.
func (a *SwitchAttempt) currentMap() MapID {
	m, next := MapID(0), uint64(0)
	for _, r := range a.Replies {
		if r != nil && r.Joined && (m == 0 || r.NextStep > next) {
			m, next = r.Map, r.NextStep
		}
	}
	return m
}

func (a *SwitchAttempt) allLoaded(m MapID) bool {
	for _, r := range a.Replies {
		if r != nil && r.Loaded != nil && !slices.Contains(r.Loaded, m) {
			return false
		}
	}
	return true
}

// checkLoaded keeps a rank from being sent into a step without its weights.
func (a *SwitchAttempt) checkLoaded(d *Decision) error {
	for i, r := range a.Replies {
		if r == nil || r.Loaded == nil {
			continue
		}
		for j, seg := range d.Schedule {
			passed := j+1 < len(d.Schedule) && r.Joined && d.Schedule[j+1].From <= r.NextStep
			if !passed && !slices.Contains(r.Loaded, seg.Map) {
				return fmt.Errorf("%w: rank %d, map %016x", ErrNotLoaded, i, uint64(seg.Map))
			}
		}
	}
	return nil
}
