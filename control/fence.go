package control

import (
	"sync"

	"github.com/heatherrail/heatherrail/result"
)

// Floor is the fencing floor of a resource: the least fencing number that is accepted.
type Floor struct {
	Resource string
	Fence    uint64
}

// Fence checks the fencing numbers of orders at an agent, for engines that do not check
// them.
//
// A holder that was paused while its lease lapsed still acts as the holder and sends an
// order, which the engine would run beside the orders of the new holder. The agent refuses
// every number below the highest one it has seen. After a restart the agent knows no
// numbers, so it refuses all orders until enough entries have sent it the fencing floors
// that they read from the log.
type Fence struct {
	mu      sync.Mutex
	entries int // size of the VM list in entries: the highest number that an entry reported with its floors
	sources map[string]bool
	highest map[string]uint64
}

// FenceSources is the number of entries that must have sent their fencing floors to a
// restarted agent before the agent accepts orders. A single entry may be cut off from the
// log and know only an old floor.
const FenceSources = 2

// NewFence returns a fence that knows no numbers and refuses all orders.
func NewFence() *Fence {
	return &Fence{sources: make(map[string]bool), highest: make(map[string]uint64)}
}

// RecordFloors records the fencing floors that one entry read from the log, and the number of
// entries in that entry's VM list: with a single entry, one source is enough.
func (f *Fence) RecordFloors(source string, entries int, floors []Floor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources[source] = true
	f.raise(entries, floors)
}

// RecordUnsettledFloors records the floors of an entry that may not know the latest holders. The
// entry does not count as a source.
func (f *Fence) RecordUnsettledFloors(entries int, floors []Floor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.raise(entries, floors)
}

// raise records floors; f.mu is held.
func (f *Fence) raise(entries int, floors []Floor) {
	f.entries = max(f.entries, entries)
	for _, fl := range floors {
		f.highest[fl.Resource] = max(f.highest[fl.Resource], fl.Fence)
	}
}

// Check accepts an order with a fencing number and records the number, or returns
// result.FenceStale, or result.FenceUnknown while too few entries have sent their floors.
func (f *Fence) Check(resource string, number uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if need := max(1, min(FenceSources, f.entries)); len(f.sources) < need {
		return result.New(result.FenceUnknown, "%d of %d required entries have sent their fencing floors", len(f.sources), need)
	}
	if high := f.highest[resource]; number < high {
		return result.New(result.FenceStale, "%s: fencing number %d, highest seen %d", resource, number, high)
	}
	f.highest[resource] = number
	return nil
}

// Highest returns the highest fencing number seen for a resource.
func (f *Fence) Highest(resource string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highest[resource]
}
