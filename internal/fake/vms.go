package fake

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/platform"
)

// VMList is the platform's list; readers see changes after Lag.
type VMList struct {
	mu      sync.Mutex
	lag     time.Duration
	history []vmVersion
}

type vmVersion struct {
	at  time.Time
	vms []platform.VM
}

// NewVMList returns an empty list that shows changes after lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{lag: lag}
}

// SetLag changes how late readers see changes.
func (l *VMList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Put adds or replaces the VM with the same ID.
func (l *VMList) Put(vm platform.VM) {
	l.update(func(vms []platform.VM) []platform.VM {
		vms = slices.DeleteFunc(vms, func(v platform.VM) bool { return v.ID == vm.ID })
		return append(vms, vm)
	})
}

// Remove drops a VM.
func (l *VMList) Remove(id string) {
	l.update(func(vms []platform.VM) []platform.VM {
		return slices.DeleteFunc(vms, func(v platform.VM) bool { return v.ID == id })
	})
}

func (l *VMList) update(change func([]platform.VM) []platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var vms []platform.VM
	if n := len(l.history); n > 0 {
		vms = slices.Clone(l.history[n-1].vms)
	}
	l.history = append(l.history, vmVersion{at: time.Now(), vms: change(vms)})
}

// List implements platform.VMList.
func (l *VMList) List(ctx context.Context) ([]platform.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	horizon := time.Now().Add(-l.lag)
	for i := len(l.history) - 1; i >= 0; i-- {
		if !l.history[i].at.After(horizon) {
			return slices.Clone(l.history[i].vms), ctx.Err()
		}
	}
	return nil, ctx.Err()
}
