package outside

import (
	"context"
	"errors"
	"slices"
)

// ErrStaleFence is the refusal of an order with a superseded fencing number, by an
// engine that checks fencing numbers.
var ErrStaleFence = errors.New("order carries an old fencing number")

// EngineState is the loaded model, its adapters and the role of an engine. An order
// contains the desired EngineState, so repeating the order has no effect.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"` // names of the loaded adapters, sorted
	Role     string   `json:"role"`
}

// Equal reports whether two states are the same.
func (s EngineState) Equal(o EngineState) bool {
	return s.Model == o.Model && s.Version == o.Version && s.Role == o.Role && slices.Equal(s.Adapters, o.Adapters)
}

// Orderer passes orders to an engine.
type Orderer interface {
	// Order asks the engine to reach a state. After ErrStaleFence the order had no
	// effect; after any other error its effect is unknown.
	Order(ctx context.Context, resource string, fence uint64, want EngineState) error
	// State returns the current state of the engine.
	State(ctx context.Context) (EngineState, error)
}
