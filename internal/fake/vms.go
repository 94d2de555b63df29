package fake

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/outside"
)

// VMList is the platform's list; readers see changes after Lag.
type VMList struct {
	mu      sync.Mutex
	lag     time.Duration
	history []vmVersion
}

type vmVersion struct {
	at  time.Time
	vms []outside.VM
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
func (l *VMList) Put(vm outside.VM) {
	l.update(func(vms []outside.VM) []outside.VM {
		vms = slices.DeleteFunc(vms, func(v outside.VM) bool { return v.ID == vm.ID })
		return append(vms, vm)
	})
}

// Remove drops a VM.
func (l *VMList) Remove(id string) {
	l.update(func(vms []outside.VM) []outside.VM {
		return slices.DeleteFunc(vms, func(v outside.VM) bool { return v.ID == id })
	})
}

func (l *VMList) update(change func([]outside.VM) []outside.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var vms []outside.VM
	if n := len(l.history); n > 0 {
		vms = slices.Clone(l.history[n-1].vms)
	}
	l.history = append(l.history, vmVersion{at: time.Now(), vms: change(vms)})
}

// List implements outside.VMList.
func (l *VMList) List(ctx context.Context) ([]outside.VM, error) {
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
