package agent

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// Bounds of one order.
const (
	orderAttempts = 3
	orderTimeout  = 30 * time.Second
)

// orders gives orders to the engine, one after another.
type orders struct {
	slot   chan struct{}   // capacity 1: its holder may use the engine
	engine outside.Orderer // nil: the target takes no orders
	// minInterval is the minimum interval between two orders that load weights: the
	// weight store is shared and its bandwidth limited. Zero: no limit.
	minInterval time.Duration
	lastOrderAt time.Time
}

func newOrders(engine outside.Orderer, minInterval time.Duration) orders {
	return orders{slot: make(chan struct{}, 1), engine: engine, minInterval: minInterval}
}

// Order brings the engine to a state, if the fencing number is not stale. It returns nil
// once the engine reports that state. result.OrderUnknown means that the engine did not
// report it: the order may or may not have taken effect, and its sender repeats it.
//
// The fencing number is checked while the slot that serialises orders is held. Otherwise the
// order of a holder that was paused while its lease lapsed could pass the check and then
// reach the engine after an order of the new holder. An engine that ignores fencing numbers
// would then end in the old state. Every order to the engine passes through Order.
func (a *Agent) Order(ctx context.Context, o *wire.Order) error {
	select {
	case a.orders.slot <- struct{}{}:
		defer func() { <-a.orders.slot }()
	case <-ctx.Done():
		return result.New(result.DeadlineUnmet, "another order is in progress: %w", context.Cause(ctx))
	}
	if a.orders.engine == nil {
		return result.New(result.BadRequest, "%s takes no orders", a.opts.Settings.Target)
	}
	if o.AgentInc != a.opts.Incarnation {
		return result.New(result.StaleAgent, "order is for incarnation %d, this is %d", o.AgentInc, a.opts.Incarnation)
	}
	if err := a.config.fence.Check(o.Resource, o.Fence); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return a.orders.bringToState(ctx, o)
}

// bringToState sends the order and reads the state of the engine until it is the ordered one.
// After a lost answer the state is read first, so the order is repeated only if it had no
// effect.
func (s *orders) bringToState(ctx context.Context, o *wire.Order) error {
	want := outside.EngineState{Model: o.Model, Version: o.Version, Adapters: slices.Sorted(slices.Values(o.Adapters)), Role: o.Role}
	var last error
	for range orderAttempts {
		state, err := s.engine.State(ctx)
		if err == nil && state.Equal(want) {
			return nil
		}
		if err == nil {
			if err := s.reserveInterval(); err != nil {
				return err
			}
			err = s.engine.Order(ctx, o.Resource, o.Fence, want)
		}
		if errors.Is(err, outside.ErrStaleFence) {
			return result.New(result.FenceStale, "engine: %w", err)
		}
		last = err
	}
	if state, err := s.engine.State(ctx); err == nil && state.Equal(want) {
		return nil
	}
	return result.New(result.OrderUnknown, "engine is not in the ordered state after %d attempts: %w", orderAttempts, last)
}

// reserveInterval returns result.OrderLimited if the latest order is less than minInterval
// ago, and otherwise records an order.
func (s *orders) reserveInterval() error {
	now := time.Now()
	if wait := s.minInterval - now.Sub(s.lastOrderAt); s.minInterval > 0 && !s.lastOrderAt.IsZero() && wait > 0 {
		e := result.New(result.OrderLimited, "next order allowed in %s", wait.Round(time.Millisecond))
		e.RetryAfter = wait
		return e
	}
	s.lastOrderAt = now
	return nil
}

func (a *Agent) serveOrder(ctx context.Context, s *wire.Stream, payload []byte) error {
	var o wire.Order
	if _, err := o.UnmarshalMsg(payload); err != nil {
		return result.New(result.WireMalformed, "order: %w", err)
	}
	if role := s.Conn().Peer().Role; role != wire.RoleEntry {
		return result.New(result.WireRole, "role %q may not give orders", role)
	}
	if err := a.Order(ctx, &o); err != nil {
		a.opts.Metrics.Count("orders_refused_total", 1)
		return err
	}
	if err := s.SendMessage(wire.MessageOrder, &wire.OrderReply{Reached: true}); err != nil {
		return err
	}
	return s.Finish()
}
