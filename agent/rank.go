package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/settings"
	"github.com/heatherrail/heatherrail/wire"
)

// rankAgent handles orders for the rank interface of an engine. It alone gives orders to
// the engine, one after another. The orders come from a coordinator: the entry that owns the
// group, or an entry that recovers it.
type rankAgent struct {
	agent  *Agent
	engine outside.Rank

	mu     sync.Mutex // held during an order, including the call to the engine
	rank   expert.RankState
	orders chan rankCall

	stalledSince time.Time // time since which the rank has waited for a decision; zero: it runs; used by watchStalls only
}

// rankCall is an order for the single goroutine that gives orders, and the channel for its
// result.
type rankCall struct {
	order *wire.RankOrder
	done  chan rankResult
}

type rankResult struct {
	reply *wire.RankReply
	err   error
}

const (
	orderQueueLength  = 16
	stallPollInterval = 500 * time.Millisecond
	stallThreshold    = time.Second // a rank that waits for longer is stalled; a map switch without faults holds it for less
	positionTimeout   = time.Second
)

func newRankAgent(a *Agent, engine outside.Rank) *rankAgent {
	return &rankAgent{
		agent:  a,
		engine: engine,
		rank:   expert.NewRankState(a.opts.Incarnation),
		orders: make(chan rankCall, orderQueueLength),
	}
}

// startRank starts to serve orders for the rank of an engine in a rank group.
func (a *Agent) startRank() {
	engine := a.opts.Rank
	if engine == nil && a.opts.Settings.Kind == settings.KindEngine && a.opts.Settings.Backend != "" {
		engine = &outside.HTTPRank{Addr: a.opts.Settings.Backend}
	}
	if engine == nil {
		return
	}
	a.rank = newRankAgent(a, engine)
	a.tasks.Go(a.rank.orderLoop)
	a.tasks.Go(a.rank.watchStalls)
}

// serve handles one stream of MethodRank.
func (r *rankAgent) serve(ctx context.Context, s *wire.Stream, payload []byte) {
	var o wire.RankOrder
	if _, err := o.UnmarshalMsg(payload); err != nil {
		r.agent.refuse(s, "", result.New(result.WireMalformed, "rank order: %w", err))
		return
	}
	reply, err := r.handleOrder(ctx, &o)
	if err != nil {
		r.agent.refuse(s, "", rankError(err))
		return
	}
	if err := s.SendMessage(wire.MessageRank, reply); err != nil {
		return // the coordinator repeats the order on its next connection
	}
	_ = s.Finish()
}

func rankError(err error) error {
	var e *result.Error
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, expert.ErrBallotSuperseded):
		return result.New(result.BallotOld, "%w", err)
	case errors.Is(err, expert.ErrNotHeld), errors.Is(err, expert.ErrAgentRestarted),
		errors.Is(err, expert.ErrEngineRestarted), errors.Is(err, expert.ErrHoldSuperseded):
		return result.New(result.BallotVoid, "%w", err)
	}
	return result.New(result.RankUnknown, "%w", err)
}

func (r *rankAgent) handleOrder(ctx context.Context, o *wire.RankOrder) (*wire.RankReply, error) {
	if err := r.checkFence(o); err != nil {
		return nil, err
	}
	switch o.Op {
	case wire.RankStatus, wire.RankLoads, wire.RankMap:
		return r.status(ctx, o.Op)
	case wire.RankPrepare:
		return r.prepare(ctx, o)
	case wire.RankHold, wire.RankConfirm, wire.RankDecide, wire.RankWithdraw:
		return r.enqueueOrder(ctx, o)
	}
	return nil, result.New(result.WireUnknownKind, "rank order %d", o.Op)
}

// checkFence checks fencing numbers for engines that ignore them. Orders that begin a
// switch need the fencing number of the group's lease. Orders that end a switch are
// covered by their ballot. A recovery only lets a stalled group continue with the map that
// it has; it needs no lease, since the log that grants leases may be down.
func (r *rankAgent) checkFence(o *wire.RankOrder) error {
	begins := o.Op == wire.RankPrepare || o.Op == wire.RankHold
	if !begins || o.Recovery {
		return nil
	}
	return r.agent.config.fence.Check(control.GroupResource(o.Group), o.Fence)
}

// enqueueOrder passes an order to orderLoop and waits for its result. The order continues
// when the coordinator stops waiting: if another order followed while the outcome of the
// first is unknown, the first could take effect after the second.
func (r *rankAgent) enqueueOrder(ctx context.Context, o *wire.RankOrder) (*wire.RankReply, error) {
	call := rankCall{order: o, done: make(chan rankResult, 1)}
	select {
	case r.orders <- call:
	default:
		return nil, result.New(result.RankBusy, "order queue of the engine is full: %d waiting", orderQueueLength)
	}
	select {
	case d := <-call.done:
		return d.reply, d.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// orderLoop passes the queued orders to the engine one by one until the agent stops.
func (r *rankAgent) orderLoop() {
	for {
		select {
		case call := <-r.orders:
			reply, err := r.applyOrder(call.order)
			call.done <- rankResult{reply, err}
		case <-r.agent.stop:
			return
		}
	}
}

func (r *rankAgent) applyOrder(o *wire.RankOrder) (*wire.RankReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := engineOrders{r.agent.ctx, r.engine}
	b := expert.Ballot{Round: o.Round, Owner: o.Owner}
	switch o.Op {
	case wire.RankHold:
		h, err := r.rank.Hold(e, expert.HoldRequest{Ballot: b, HoldAt: o.At})
		if err != nil {
			return nil, err
		}
		return r.holdReply(&h)
	case wire.RankConfirm:
		return new(wire.RankReply), r.rank.Confirm(b, o.Incarnation)
	case wire.RankDecide:
		d := expert.Decision{Ballot: b, JoinStep: o.Join}
		for _, seg := range o.Schedule {
			d.Schedule = append(d.Schedule, expert.Segment{From: seg.From, Map: expert.MapID(seg.Map)})
		}
		return new(wire.RankReply), r.rank.Decide(e, d, o.Incarnation, o.Start)
	default:
		return new(wire.RankReply), r.rank.Withdraw(e, b)
	}
}

func (r *rankAgent) holdReply(h *expert.HoldReply) (*wire.RankReply, error) {
	loaded, err := r.loadedMaps(r.agent.ctx)
	if err != nil {
		return nil, err
	}
	return &wire.RankReply{
		Incarnation: h.Incarnation,
		Start:       h.EngineRun,
		Entered:     h.Joined,
		Next:        h.NextStep,
		Inside:      h.InStep,
		Map:         uint64(h.Map),
		Held:        true,
		HoldAt:      h.HoldAt,
		Loaded:      loaded,
	}, nil
}

func (r *rankAgent) loadedMaps(ctx context.Context) ([]uint64, error) {
	maps, err := r.engine.Maps(ctx)
	if err != nil {
		return nil, err
	}
	ids := make([]uint64, len(maps))
	for i, m := range maps {
		ids[i] = uint64(m.ID())
	}
	return ids, nil
}

// status returns the position of the rank. It does not wait for orders, so that a stalled
// engine does not hide the state of the rank.
func (r *rankAgent) status(ctx context.Context, op uint8) (*wire.RankReply, error) {
	p, err := r.engine.Position(ctx)
	if err != nil {
		return nil, err
	}
	maps, err := r.engine.Maps(ctx)
	if err != nil {
		return nil, err
	}
	reply := &wire.RankReply{
		Incarnation: r.agent.opts.Incarnation,
		Start:       p.Start,
		Entered:     p.Map != 0,
		Next:        p.Next,
		Inside:      p.Inside,
		Map:         uint64(p.Map),
		Held:        p.Held,
		HoldAt:      p.HoldAt,
	}
	for _, m := range maps {
		reply.Loaded = append(reply.Loaded, uint64(m.ID()))
		if op == wire.RankMap && m.ID() == p.Map {
			reply.Slots = wire.EncodeSlots(m.Slot)
		}
	}
	if r.mu.TryLock() {
		reply.Round, reply.Owner = r.rank.Promised.Round, r.rank.Promised.Owner
		r.mu.Unlock()
	}
	if op == wire.RankLoads {
		return reply, r.addLoads(ctx, reply)
	}
	return reply, nil
}

func (r *rankAgent) addLoads(ctx context.Context, reply *wire.RankReply) error {
	loads, err := r.engine.Loads(ctx)
	if err != nil {
		return err
	}
	reply.Map = uint64(loads.Map)
	reply.Unit, reply.Bands = expert.EncodeLoads(loads.Tokens)
	reply.Seconds = loads.Seconds
	return nil
}

func (r *rankAgent) prepare(ctx context.Context, o *wire.RankOrder) (*wire.RankReply, error) {
	m := &expert.Map{
		Shape: expert.Shape{Ranks: o.Ranks, Layers: o.Layers, Experts: o.Experts, SlotsOfRank: o.SlotsOfRank},
		Slot:  wire.DecodeSlots(o.Slots),
	}
	if err := m.Validate(); err != nil {
		return nil, result.New(result.MapBad, "%w", err)
	}
	if err := r.engine.Prepare(ctx, o.Rank, m); err != nil {
		return nil, result.New(result.WeightsUnavailable, "%w", err)
	}
	return r.status(ctx, wire.RankStatus)
}

// engineOrders passes the orders of expert.RankState to the engine. The calls have no
// timeout: if the connection breaks, the engine has died, and the order with it.
type engineOrders struct {
	ctx    context.Context
	engine outside.Rank
}

func (e engineOrders) Hold(t expert.HoldToken, at uint64) (before, after expert.Position, err error) {
	return e.engine.Hold(e.ctx, t, at)
}

func (e engineOrders) Release(t expert.HoldToken, start uint64, s expert.Schedule, join uint64) error {
	return e.engine.Release(e.ctx, t, start, s, join)
}

func (e engineOrders) Lift(t expert.HoldToken) error { return e.engine.Lift(e.ctx, t) }

// watchStalls notifies the entries when the rank is stalled for lack of a decision: its
// coordinator has died, or the engine has restarted without a map.
func (r *rankAgent) watchStalls() {
	ticker := time.NewTicker(stallPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.checkStall(time.Now())
		case <-r.agent.stop:
			return
		}
	}
}

// checkStall sends a stall note to all entries if the rank is stalled.
func (r *rankAgent) checkStall(now time.Time) {
	ctx, cancel := context.WithTimeout(r.agent.ctx, positionTimeout)
	defer cancel()
	p, err := r.engine.Position(ctx)
	waiting := err == nil && (!p.Joined || (p.Held && p.Next >= p.HoldAt))
	if !waiting {
		r.stalledSince = time.Time{}
	} else if r.stalledSince.IsZero() {
		r.stalledSince = now
	}
	stalled := waiting && (!p.Joined || now.Sub(r.stalledSince) >= stallThreshold)
	if !stalled {
		return
	}
	for _, c := range r.agent.conns() {
		_ = c.SendNote(wire.NoteRankStalled, &wire.RankStalled{Target: r.agent.opts.Settings.Target, Held: p.Joined})
	}
}
