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
	// holdMargin is how many steps ahead the ranks are asked to hold. Hold,
	// confirmation and decision are three round trips; at a step of five
	// milliseconds they end long before the first rank is there.
	holdMargin = 48
	// holdLimit is when a switch that has not decided is withdrawn: before the
	// ranks reach the hold, so that a silent rank costs no step.
	holdLimit = 150 * time.Millisecond
	// rescueLimit bounds the same in a rescue, where the group stands anyway.
	rescueLimit  = 3 * time.Second
	statusLimit  = 2 * time.Second
	prepareLimit = 10 * time.Minute
	decideLimit  = 5 * time.Second
	decideRetry  = 20 * time.Millisecond
)

// mapSwitch is one attempt of this entry to bring a group to a map.
type mapSwitch struct {
	entry  *Entry
	group  *config.Group
	order  wire.RankOrder // what all orders of the attempt share
	want   *expert.Map    // nil: bring the group on with the map that it has
	ballot expert.Ballot
}

var errNoMap = errors.New("no rank knows the map in use")

// run prepares, holds and decides.
func (s *mapSwitch) run(ctx context.Context) error {
	status, err := s.status(ctx)
	if err != nil {
		return err
	}
	if err := s.prepare(ctx, status); err != nil {
		return err
	}
	if status, err = s.status(ctx); err != nil { // loading took its time
		return err
	}
	return s.decide(ctx, s.attempt(status))
}

func (s *mapSwitch) status(ctx context.Context) ([]*wire.RankReply, error) {
	ctx, cancel := context.WithTimeout(ctx, statusLimit)
	defer cancel()
	o := s.order
	o.Op = wire.RankStatus
	replies, errs := s.entry.askRanks(ctx, s.group.Ranks, o, nil)
	return replies, firstError(errs)
}

// prepare has all ranks load the wanted map, and ranks that have restarted the
// one in use.
func (s *mapSwitch) prepare(ctx context.Context, status []*wire.RankReply) error {
	ctx, cancel := context.WithTimeout(ctx, prepareLimit)
	defer cancel()
	inUse, err := s.entry.liveMap(ctx, s.group, status)
	if err != nil {
		return err
	}
	if inUse == nil {
		inUse = expert.InitialMap(shapeOf(s.group))
		if s.want == nil {
			s.want = inUse
		}
	}
	for _, m := range []*expert.Map{inUse, s.want} {
		if m == nil {
			continue
		}
		_, errs := s.entry.askRanks(ctx, s.group.Ranks, prepareOrder(s.order, m), func(rank int, o *wire.RankOrder) { o.Rank = rank })
		if err := firstError(errs); err != nil {
			return err
		}
	}
	return nil
}

// attempt begins a ballot above all that the ranks have promised.
func (s *mapSwitch) attempt(status []*wire.RankReply) *expert.SwitchAttempt {
	at, round := uint64(1), uint64(0)
	for _, r := range status {
		at = max(at, r.Next)
		round = max(round, r.Round)
	}
	if !s.order.Recovery {
		at += holdMargin
	}
	s.ballot = expert.Ballot{Round: round + 1, Owner: xxhash.Sum64String(fmt.Sprint(s.entry.opts.Settings.Name, s.entry.opts.Incarnation))}
	s.order.Round, s.order.Owner = s.ballot.Round, s.ballot.Owner
	want := expert.MapID(0)
	if s.want != nil {
		want = s.want.ID()
	}
	return expert.NewSwitchAttempt(s.ballot, at, want, len(s.group.Ranks))
}

// decide holds all ranks, has them confirm, and sends the decision.
func (s *mapSwitch) decide(ctx context.Context, a *expert.SwitchAttempt) error {
	limit := holdLimit
	if s.order.Recovery {
		limit = rescueLimit
	}
	d, err := s.collect(ctx, a, limit)
	if err != nil {
		s.withdraw(ctx, a)
		return err
	}
	return s.announce(ctx, a, d)
}

func (s *mapSwitch) collect(ctx context.Context, a *expert.SwitchAttempt, limit time.Duration) (*expert.Decision, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, limit, result.New(result.BallotVoid, "ranks were silent for %s", limit))
	defer cancel()
	o := s.order
	o.Op, o.At = wire.RankHold, a.HoldAt
	replies, errs := s.entry.askRanks(ctx, s.group.Ranks, o, nil)
	if err := firstError(errs); err != nil {
		return nil, err
	}
	for rank, r := range replies {
		a.RecordReply(rank, holdReply(r))
	}
	o.Op = wire.RankConfirm
	_, errs = s.entry.askRanks(ctx, s.group.Ranks, o, s.addressed(a))
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

// addressed sends back to each rank whose reply the order rests on.
func (s *mapSwitch) addressed(a *expert.SwitchAttempt) func(rank int, o *wire.RankOrder) {
	return func(rank int, o *wire.RankOrder) {
		o.Incarnation, o.Start = a.Replies[rank].Incarnation, a.Replies[rank].EngineRun
	}
}

// withdraw lets the ranks run on at once. It is allowed only while this ballot
// has not decided; SwitchAttempt sees to it that it won't afterwards.
func (s *mapSwitch) withdraw(ctx context.Context, a *expert.SwitchAttempt) {
	if !a.Withdraw() {
		return
	}
	s.entry.opts.Metrics.Count("map_switches_withdrawn_total", 1)
	ctx, cancel := context.WithTimeout(ctx, statusLimit)
	defer cancel()
	o := s.order
	o.Op = wire.RankWithdraw
	s.entry.tellRanks(ctx, s.group.Ranks, o) // ranks that don't hear of it report that they stand still
}

// announce tells all ranks, again and again until each has obeyed or can't: from
// the first one that obeys, the decision is made and the others wait for it.
func (s *mapSwitch) announce(ctx context.Context, a *expert.SwitchAttempt, d *expert.Decision) error {
	ctx, cancel := context.WithTimeout(ctx, decideLimit)
	defer cancel()
	o := s.order
	o.Op, o.Join = wire.RankDecide, d.JoinStep
	for _, seg := range d.Schedule {
		o.Schedule = append(o.Schedule, wire.RankSegment{From: seg.From, Map: uint64(seg.Map)})
	}
	address := s.addressed(a)
	wg := pool.New().WithErrors()
	for rank, target := range s.group.Ranks {
		order := o
		address(rank, &order)
		wg.Go(func() error { return s.tell(ctx, target, &order) })
	}
	return wg.Wait()
}

func (s *mapSwitch) tell(ctx context.Context, target string, o *wire.RankOrder) error {
	for {
		err := error(result.New(result.Unreachable, "no link to %s", target))
		if l := s.entry.link(target); l != nil {
			_, err = l.rankOrder(ctx, o)
		}
		if err == nil || result.From(err).Code == result.BallotOld || result.From(err).Code == result.BallotVoid {
			return err
		}
		select {
		case <-time.After(decideRetry):
		case <-ctx.Done():
			return err
		}
	}
}

// liveMap returns the content of the map in use; nil if no rank has entered a
// step yet.
func (e *Entry) liveMap(ctx context.Context, g *config.Group, status []*wire.RankReply) (*expert.Map, error) {
	known := false
	for rank, r := range status {
		if r == nil || !r.Entered {
			continue
		}
		known = true
		l := e.link(g.Ranks[rank])
		if l == nil {
			continue
		}
		reply, err := l.rankOrder(ctx, &wire.RankOrder{Group: g.Name, Op: wire.RankMap})
		if err != nil {
			continue
		}
		m := &expert.Map{Shape: shapeOf(g), Slot: wire.DecodeSlots(reply.Slots)}
		if m.Validate() == nil && uint64(m.ID()) == reply.Map {
			return m, nil
		}
	}
	if known {
		return nil, errNoMap
	}
	return nil, nil
}

func shapeOf(g *config.Group) expert.Shape {
	return expert.Shape{
		Ranks:       len(g.Ranks),
		Layers:      g.Layers,
		Experts:     g.Experts,
		SlotsOfRank: g.Slots / max(1, len(g.Ranks)),
	}
}
