// Package control keeps processes in agreement on configuration, membership and leases.
// The types that make the decisions use no clock, socket or goroutine; Node adds the I/O.
package control

import "time"

// Lease is the right to act for a resource until a time on the holder's own monotonic
// clock.
type Lease struct {
	Holder   string // name of the process
	Resource string // for example GroupResource("drafter-hall-a")
	Fence    uint64 // fencing number: grows with each new holder of any resource; every order carries it
	Until    time.Time
}

// Valid reports whether the holder may still act at now.
func (l Lease) Valid(now time.Time) bool { return now.Before(l.Until) }

// GroupResource returns the lease resource of a rank group.
func GroupResource(group string) string { return "group/" + group }

// TargetResource returns the lease resource of a target outside of a group: its holder may
// give orders to the target.
func TargetResource(target string) string { return "target/" + target }

// Leaser claims and renews leases for one process.
type Leaser interface {
	// Want starts to claim a resource, and to renew its lease once held.
	Want(resource string)
	// Drop stops renewing and releases the lease; if the release is lost, others may claim
	// the resource after the TTL.
	Drop(resource string)
	// Held returns the lease if this process may act for the resource now. Call it before
	// every order: the result is valid for that order only.
	Held(resource string) (Lease, bool)
}
