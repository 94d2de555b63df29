package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc/pool"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

const (
	// holdAheadSteps is how many steps ahead of the ranks the hold is placed. Hold,
	// confirmation and decision take three round trips; at 5 ms a step they end long
	// before the first rank reaches the hold.
	holdAheadSteps = 48
	// holdTimeout is the time after which a switch without a decision is withdrawn. It ends
	// before the ranks reach the hold, so a rank that does not answer delays no step.
	holdTimeout = 150 * time.Millisecond
	// recoveryHoldTimeout replaces holdTimeout in a recovery, where the group is stalled
	// already.
	recoveryHoldTimeout = 3 * time.Second
	statusTimeout       = 2 * time.Second
	prepareTimeout      = 10 * time.Minute
	decideTimeout       = 5 * time.Second
	decideRetryInterval = 20 * time.Millisecond
)

// mapSwitch is one attempt of this entry to switch a rank group to an expert map.
type mapSwitch struct {
	entry     *Entry
	group     *config.Group
	baseOrder wire.RankOrder // fields that all orders of the attempt share
	wantedMap *expert.Map    // map to switch to; nil: release the group with the map that it has
	ballot    expert.Ballot
}

var errMapUnavailable = errors.New("no rank returned the map in use")

// run loads the wanted map on all ranks, places a hold on the ranks and sends them the decision
// to switch.
func (s *mapSwitch) run(ctx context.Context) error {
	status, err := s.queryStatus(ctx)
	if err != nil {
		return err
	}
	if err := s.prepare(ctx, status); err != nil {
		return err
	}
	if status, err = s.queryStatus(ctx); err != nil { // the ranks have advanced while they loaded the map
		return err
	}
	return s.holdAndDecide(ctx, s.newAttempt(status))
}

func (s *mapSwitch) queryStatus(ctx context.Context) ([]*wire.RankReply, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	o := s.baseOrder
	o.Op = wire.RankStatus
	replies, errs := s.entry.sendToRanks(ctx, s.group.Ranks, o, nil)
	return replies, firstError(errs)
}

// prepare makes all ranks load the map in use, which restarted ranks lack, and the wanted
// map.
func (s *mapSwitch) prepare(ctx context.Context, status []*wire.RankReply) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	inUse, err := s.entry.mapInUse(ctx, s.group, status)
	if err != nil {
		return err
	}
	if inUse == nil {
		inUse = expert.InitialMap(mapShape(s.group))
		if s.wantedMap == nil {
			s.wantedMap = inUse
		}
	}
	for _, m := range []*expert.Map{inUse, s.wantedMap} {
		if m == nil {
			continue
		}
		_, errs := s.entry.sendToRanks(ctx, s.group.Ranks, prepareOrder(s.baseOrder, m), func(rank int, o *wire.RankOrder) { o.Rank = rank })
		if err := firstError(errs); err != nil {
			return err
		}
	}
	return nil
}

// newAttempt starts a ballot with a higher round than any that the ranks have promised.
func (s *mapSwitch) newAttempt(status []*wire.RankReply) *expert.SwitchAttempt {
	holdAt, round := uint64(1), uint64(0)
	for _, r := range status {
		holdAt = max(holdAt, r.Next)
		round = max(round, r.Round)
	}
	if !s.baseOrder.Recovery {
		holdAt += holdAheadSteps
	}
	s.ballot = expert.Ballot{Round: round + 1, Owner: xxhash.Sum64String(fmt.Sprint(s.entry.opts.Settings.Name, s.entry.opts.Incarnation))}
	s.baseOrder.Round, s.baseOrder.Owner = s.ballot.Round, s.ballot.Owner
	wantedID := expert.MapID(0)
	if s.wantedMap != nil {
		wantedID = s.wantedMap.ID()
	}
	return expert.NewSwitchAttempt(s.ballot, holdAt, wantedID, len(s.group.Ranks))
}

// holdAndDecide holds all ranks, collects their confirmations and sends the decision. It
// withdraws the ballot if no decision is possible.
func (s *mapSwitch) holdAndDecide(ctx context.Context, a *expert.SwitchAttempt) error {
	timeout := holdTimeout
	if s.baseOrder.Recovery {
		timeout = recoveryHoldTimeout
	}
	decision, err := s.collectReplies(ctx, a, timeout)
	if err != nil {
		s.withdraw(ctx, a)
		return err
	}
	return s.sendDecision(ctx, a, decision)
}

// collectReplies asks all ranks to hold and then to confirm, and returns the decision that
// their replies allow.
func (s *mapSwitch) collectReplies(ctx context.Context, a *expert.SwitchAttempt, timeout time.Duration) (*expert.Decision, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, result.New(result.BallotVoid, "ranks did not answer within %s", timeout))
	defer cancel()
	o := s.baseOrder
	o.Op, o.At = wire.RankHold, a.HoldAt
	replies, errs := s.entry.sendToRanks(ctx, s.group.Ranks, o, nil)
	if err := firstError(errs); err != nil {
		return nil, err
	}
	for rank, r := range replies {
		a.RecordReply(rank, toHoldReply(r))
	}
	o.Op = wire.RankConfirm
	_, errs = s.entry.sendToRanks(ctx, s.group.Ranks, o, s.stampOrder(a))
	for rank, err := range errs {
		if err == nil {
			a.RecordConfirmation(rank)
		}
	}
	if err := firstError(errs); err != nil {
		return nil, err
	}
	return a.Decide()
}

// stampOrder returns a function that sets, in the order for a rank, the agent incarnation
// and engine run that the rank reported in its hold reply.
func (s *mapSwitch) stampOrder(a *expert.SwitchAttempt) func(rank int, o *wire.RankOrder) {
	return func(rank int, o *wire.RankOrder) {
		o.Incarnation, o.Start = a.Replies[rank].Incarnation, a.Replies[rank].EngineRun
	}
}

// withdraw withdraws the ballot, which releases the ranks at once. This is allowed only before
// the decision of the ballot; SwitchAttempt refuses to decide afterwards.
func (s *mapSwitch) withdraw(ctx context.Context, a *expert.SwitchAttempt) {
	if !a.Withdraw() {
		return
	}
	s.entry.opts.Metrics.Count("map_switches_withdrawn_total", 1)
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	o := s.baseOrder
	o.Op = wire.RankWithdraw
	s.entry.notifyRanks(ctx, s.group.Ranks, o) // a rank that misses the order reports that it is stalled
}

// sendDecision sends the decision to every rank and repeats it until the rank has applied
// it or cannot. The decision is final once the first rank applies it; the other ranks wait
// for it.
func (s *mapSwitch) sendDecision(ctx context.Context, a *expert.SwitchAttempt, d *expert.Decision) error {
	ctx, cancel := context.WithTimeout(ctx, decideTimeout)
	defer cancel()
	o := s.baseOrder
	o.Op, o.Join = wire.RankDecide, d.JoinStep
	for _, seg := range d.Schedule {
		o.Schedule = append(o.Schedule, wire.RankSegment{From: seg.From, Map: uint64(seg.Map)})
	}
	stamp := s.stampOrder(a)
	wg := pool.New().WithErrors()
	for rank, target := range s.group.Ranks {
		order := o
		stamp(rank, &order)
		wg.Go(func() error { return s.sendDecisionTo(ctx, target, &order) })
	}
	return wg.Wait()
}

// sendDecisionTo repeats the decision to one rank until the rank applies it, the ballot is
// superseded or void, or ctx ends.
func (s *mapSwitch) sendDecisionTo(ctx context.Context, target string, o *wire.RankOrder) error {
	for {
		err := error(result.New(result.Unreachable, "no connection to %s", target))
		if l := s.entry.link(target); l != nil {
			_, err = l.sendRankOrder(ctx, o)
		}
		if err == nil || result.From(err).Code == result.BallotOld || result.From(err).Code == result.BallotVoid {
			return err
		}
		select {
		case <-time.After(decideRetryInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// mapInUse fetches the map in use from a rank. It returns nil if no rank has entered a step
// yet, and errMapUnavailable if no rank returned a valid map.
func (e *Entry) mapInUse(ctx context.Context, g *config.Group, status []*wire.RankReply) (*expert.Map, error) {
	hasEntered := false
	for rank, r := range status {
		if r == nil || !r.Entered {
			continue
		}
		hasEntered = true
		l := e.link(g.Ranks[rank])
		if l == nil {
			continue
		}
		reply, err := l.sendRankOrder(ctx, &wire.RankOrder{Group: g.Name, Op: wire.RankMap})
		if err != nil {
			continue
		}
		m := &expert.Map{Shape: mapShape(g), Slot: wire.DecodeSlots(reply.Slots)}
		if m.Validate() == nil && uint64(m.ID()) == reply.Map {
			return m, nil
		}
	}
	if hasEntered {
		return nil, errMapUnavailable
	}
	return nil, nil
}

// mapShape returns the shape of a group's expert maps.
func mapShape(g *config.Group) expert.Shape {
	return expert.Shape{
		Ranks:       len(g.Ranks),
		Layers:      g.Layers,
		Experts:     g.Experts,
		SlotsOfRank: g.Slots / max(1, len(g.Ranks)),
	}
}
