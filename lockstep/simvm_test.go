package lockstep

import (
	"sync"
	"time"
)

// simVM is the VM of a rank and its agent. While it is frozen its agent does nothing, and neither
// agent nor engine is reachable from other VMs.
type simVM struct {
	mu     sync.Mutex
	frozen bool
	thawed chan struct{}

	// While a VM is cut off, it and other VMs reach no agent and, unless engineReachable is set, no
	// engine of each other. What is sent meanwhile arrives when the cut ends, or never.
	cutOff          chan struct{} // closed at the end of the cut; nil: the VM is not cut off
	engineReachable bool

	core, in, out serialResource
}

// serialResource serves one message at a time.
type serialResource struct {
	mu     sync.Mutex
	freeAt time.Time // end of the latest use that was reserved
}

// occupy waits for the resource and uses it for d.
func (r *serialResource) occupy(d time.Duration) {
	r.mu.Lock()
	start := time.Now()
	if r.freeAt.After(start) {
		start = r.freeAt
	}
	r.freeAt = start.Add(d)
	end := r.freeAt
	r.mu.Unlock()
	time.Sleep(time.Until(end))
}

func (v *simVM) freeze() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.frozen {
		v.frozen, v.thawed = true, make(chan struct{})
	}
}

func (v *simVM) unfreeze() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozen {
		v.frozen = false
		close(v.thawed)
	}
}

func (v *simVM) isFrozen() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.frozen
}

// waitUntilThawed waits until the VM is not frozen.
func (v *simVM) waitUntilThawed() {
	for {
		v.mu.Lock()
		frozen, thaw := v.frozen, v.thawed
		v.mu.Unlock()
		if !frozen {
			return
		}
		<-thaw
	}
}

// cut cuts the VM off from the others for d.
func (v *simVM) cut(d time.Duration, engineReachable bool) {
	healed := make(chan struct{})
	v.mu.Lock()
	v.cutOff, v.engineReachable = healed, engineReachable
	v.mu.Unlock()
	time.Sleep(d)
	v.mu.Lock()
	v.cutOff = nil
	v.mu.Unlock()
	close(healed)
}

// cutBetween returns a channel that is closed when the cut between two VMs ends; nil: there is none.
func cutBetween(from, to *simVM, toEngine bool) chan struct{} {
	if from == to {
		return nil
	}
	for _, v := range []*simVM{from, to} {
		v.mu.Lock()
		cut, spared := v.cutOff, toEngine && v.engineReachable
		v.mu.Unlock()
		if cut != nil && !spared {
			return cut
		}
	}
	return nil
}
