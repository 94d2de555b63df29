package fake

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/outside"
)

// VMList is a stand-in for the platform's VM list. Readers see each change to the list only
// after a lag.
type VMList struct {
	mu      sync.Mutex
	lag     time.Duration
	history []vmVersion
}

// vmVersion is the list after one change.
type vmVersion struct {
	at  time.Time
	vms []outside.VM
}

// NewVMList returns an empty list whose changes readers see after a lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{lag: lag}
}

// SetLag sets the time after which readers see a change.
func (l *VMList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Put adds a VM to the list, or replaces the VM with the same ID.
func (l *VMList) Put(vm outside.VM) {
	l.update(func(vms []outside.VM) []outside.VM {
		vms = slices.DeleteFunc(vms, func(v outside.VM) bool { return v.ID == vm.ID })
		return append(vms, vm)
	})
}

// Remove removes the VM with an ID from the list.
func (l *VMList) Remove(id string) {
	l.update(func(vms []outside.VM) []outside.VM {
		return slices.DeleteFunc(vms, func(v outside.VM) bool { return v.ID == id })
	})
}

// update appends a new version of the list, which change derives from the newest version.
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
