package fake

import (
	"context"
	"errors"
	"sync"

	"github.com/heatherrail/heatherrail/outside"
)

// errAnswerLost is what a caller sees when an order took effect unheard.
var errAnswerLost = errors.New("answer lost")

// OrderedEngine is the side of an engine that takes orders.
type OrderedEngine struct {
	// Fenced engines refuse old fencing numbers; others run whatever comes.
	Fenced bool

	mu      sync.Mutex
	state   outside.EngineState
	highest map[string]uint64
	fences  []uint64 // of the orders that took effect, in order
	lose    int
}

// LoseAnswers makes the next n orders take effect and answer with an error.
func (e *OrderedEngine) LoseAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lose = n
}

// Fences returns the numbers of the orders that took effect, in order.
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
	if e.lose > 0 {
		e.lose--
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
