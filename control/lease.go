// Package control keeps processes agreed on configuration, membership and
// ownership. Decisions are pure (no clock, socket or goroutine); Node puts the
// I/O around them.
package control

import "time"

// Lease is the right to act for a resource until a time on the holder's own
// monotonic clock.
type Lease struct {
	Holder   string // name of the process
	Resource string // for example GroupResource("drafter-hall-a")
	Fence    uint64 // grows with each new holder of any resource; carried by every order
	Until    time.Time
}

// Valid reports whether the holder may still act at now.
func (l Lease) Valid(now time.Time) bool { return now.Before(l.Until) }

// GroupResource names the ownership of a rank group.
func GroupResource(group string) string { return "group/" + group }

// TargetResource names the right to give orders to a target outside of a group.
func TargetResource(target string) string { return "target/" + target }

// Leaser claims and renews leases for one process.
type Leaser interface {
	// Want starts to claim a resource, and to renew it once held.
	Want(resource string)
	// Drop stops renewing; others may claim when the span has passed.
	Drop(resource string)
	// Held returns the lease if this process may act for the resource now. Ask
	// again before every order: the answer is good for that order only.
	Held(resource string) (Lease, bool)
}
