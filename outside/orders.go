package outside

import (
	"context"
	"errors"
	"slices"
)

// ErrStaleFence is the refusal of an engine that checks fencing numbers.
var ErrStaleFence = errors.New("order carries an old fencing number")

// EngineState is what an engine has loaded and what it is for. As an order it is the
// state to reach, not a step: given twice it changes nothing.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"` // sorted
	Role     string   `json:"role"`
}

// Equal reports whether two states are the same.
func (s EngineState) Equal(o EngineState) bool {
	return s.Model == o.Model && s.Version == o.Version && s.Role == o.Role && slices.Equal(s.Adapters, o.Adapters)
}

// Orderer takes orders for an engine.
type Orderer interface {
	// Order asks the engine to reach a state. ErrStaleFence means that it did
	// nothing; any other error leaves open whether it took effect.
	Order(ctx context.Context, resource string, fence uint64, want EngineState) error
	// State reads back what the engine has.
	State(ctx context.Context) (EngineState, error)
}
