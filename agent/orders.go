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
	orderTries   = 3
	orderTimeout = 30 * time.Second
)

// orders gives engine orders, one after another.
type orders struct {
	turn   chan struct{}   // one place: who holds it may use the engine
	engine outside.Orderer // nil: the target takes no orders
	// every is the least time between two orders that load something: the weight
	// store is shared and limited. Zero: no limit.
	every time.Duration
	last  time.Time
}

func newOrders(engine outside.Orderer, every time.Duration) orders {
	return orders{turn: make(chan struct{}, 1), engine: engine, every: every}
}

// Order brings the engine to a state, if the fencing number is still the newest. It
// returns nil once the engine has been seen in that state. result.OrderUnknown means
// that the engine could not be read back: give the same order again.
//
// The fence is checked in the turn that serialises orders. Failure: a holder that
// was paused through its lapse sends its order between check and use of a newer one.
// Symptom: an engine that ignores fencing numbers ends in the old state. Enough,
// because every order to the engine passes here.
func (a *Agent) Order(ctx context.Context, o *wire.Order) error {
	select {
	case a.orders.turn <- struct{}{}:
		defer func() { <-a.orders.turn }()
	case <-ctx.Done():
		return result.New(result.DeadlineUnmet, "other orders are under way: %w", context.Cause(ctx))
	}
	if a.orders.engine == nil {
		return result.New(result.BadRequest, "%s takes no orders", a.opts.Settings.Target)
	}
	if o.AgentInc != a.opts.Incarnation {
		return result.New(result.StaleAgent, "meant for incarnation %d, this is %d", o.AgentInc, a.opts.Incarnation)
	}
	if err := a.config.fence.Check(o.Resource, o.Fence); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return a.orders.reach(ctx, o)
}

// reach orders and reads back until the engine has the state. An order whose answer
// was lost is settled by reading, so it is given again only if it had no effect.
func (s *orders) reach(ctx context.Context, o *wire.Order) error {
	want := outside.EngineState{Model: o.Model, Version: o.Version, Adapters: slices.Sorted(slices.Values(o.Adapters)), Role: o.Role}
	var last error
	for range orderTries {
		have, err := s.engine.State(ctx)
		if err == nil && have.Equal(want) {
			return nil
		}
		if err == nil {
			if err := s.allow(); err != nil {
				return err
			}
			err = s.engine.Order(ctx, o.Resource, o.Fence, want)
		}
		if errors.Is(err, outside.ErrStaleFence) {
			return result.New(result.FenceStale, "engine: %w", err)
		}
		last = err
	}
	if have, err := s.engine.State(ctx); err == nil && have.Equal(want) {
		return nil
	}
	return result.New(result.OrderUnknown, "not seen in the ordered state after %d tries: %w", orderTries, last)
}

// allow books a place with the weight store.
func (s *orders) allow() error {
	now := time.Now()
	if wait := s.every - now.Sub(s.last); s.every > 0 && !s.last.IsZero() && wait > 0 {
		e := result.New(result.OrderLimited, "the next order may be given in %s", wait.Round(time.Millisecond))
		e.RetryAfter = wait
		return e
	}
	s.last = now
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
