package fake

import (
	"context"
	"errors"
	"sync"

	"github.com/heatherrail/heatherrail/outside"
)

// errAnswerLost is the error of an order that took effect but whose response was lost.
var errAnswerLost = errors.New("answer lost")

// OrderedEngine is a stand-in for the interface of an engine that executes orders.
type OrderedEngine struct {
	// Fenced makes the engine refuse orders with a fencing number lower than the highest
	// one it has seen. Without it the engine executes every order.
	Fenced bool

	mu              sync.Mutex
	state           outside.EngineState
	highest         map[string]uint64 // highest fencing number seen, by resource
	fences          []uint64          // fencing numbers of the executed orders, in order of execution
	responsesToDrop int
}

// DropResponses makes the next n orders take effect but return an error.
func (e *OrderedEngine) DropResponses(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.responsesToDrop = n
}

// Fences returns the fencing numbers of the executed orders, in order of execution.
func (e *OrderedEngine) Fences() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]uint64(nil), e.fences...)
}

// Order implements outside.Orderer.
func (e *OrderedEngine) Order(ctx context.Context, resource string, fence uint64, want outside.EngineState) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.highest == nil {
		e.highest = make(map[string]uint64)
	}
	if e.Fenced && fence < e.highest[resource] {
		return outside.ErrStaleFence
	}
	e.highest[resource] = max(e.highest[resource], fence)
	e.state = want
	e.fences = append(e.fences, fence)
	if e.responsesToDrop > 0 {
		e.responsesToDrop--
		return errAnswerLost
	}
	return ctx.Err()
}

// State implements outside.Orderer.
func (e *OrderedEngine) State(ctx context.Context) (outside.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, ctx.Err()
}
