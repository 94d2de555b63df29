package control

import (
	"sync"

	"github.com/heatherrail/heatherrail/result"
)

// Floor is the least fencing number that may act for a resource.
type Floor struct {
	Resource string
	Fence    uint64
}

// Fence is an agent's memory of fencing numbers. It stands in front of engines
// that ignore them.
//
// A holder that was paused through its lapse still believes in its lease and
// sends an order; the engine would run it beside the new holder's. The agent
// refuses every number below the highest it has seen. After the agent's own
// restart that memory is empty, so all orders are refused until enough entries
// have told it the floor that the log gave them.
type Fence struct {
	mu      sync.Mutex
	entries int // as many as a source said there are
	sources map[string]bool
	highest map[string]uint64
}

// FenceSources is how many entries must have told a restarted agent its floors
// before it passes orders. One alone may be cut off from the log and know an old
// floor.
const FenceSources = 2

// NewFence returns an empty memory.
func NewFence() *Fence {
	return &Fence{sources: make(map[string]bool), highest: make(map[string]uint64)}
}

// Learn takes the floors that one entry knows from the log, and how many entries
// it sees in the VM list: in a system of one entry, one source must do.
func (f *Fence) Learn(source string, entries int, floors []Floor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources[source] = true
	f.entries = max(f.entries, entries)
	for _, fl := range floors {
		f.highest[fl.Resource] = max(f.highest[fl.Resource], fl.Fence)
	}
}

// Check passes an order with a fencing number, and remembers the number, or
// refuses it: result.FenceStale, or result.FenceUnknown while floors are missing.
func (f *Fence) Check(resource string, number uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if need := max(1, min(FenceSources, f.entries)); len(f.sources) < need {
		return result.New(result.FenceUnknown, "%d of %d entries told their floors", len(f.sources), need)
	}
	if high := f.highest[resource]; number < high {
		return result.New(result.FenceStale, "%s: number %d, highest seen %d", resource, number, high)
	}
	f.highest[resource] = number
	return nil
}

// Highest returns the highest number seen for a resource.
func (f *Fence) Highest(resource string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highest[resource]
}
