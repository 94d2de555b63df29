package control

import (
	"time"

	"github.com/heatherrail/heatherrail/config"
)

// Want implements Leaser.
func (n *Node) Want(resource string) {
	n.mu.Lock()
	n.claimer.Want(resource, n.rankAmongAll(resource))
	n.claimer.Observe(n.table, time.Now())
	n.mu.Unlock()
}

// Drop implements Leaser.
func (n *Node) Drop(resource string) {
	n.mu.Lock()
	n.claimer.Drop(resource)
	n.mu.Unlock()
}

// Held implements Leaser.
func (n *Node) Held(resource string) (Lease, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.claimer.Held(resource, time.Now())
}

// lease appends claims and renewals as they fall due.
func (n *Node) lease() {
	tick := max(n.opts.Timing.Lease.Span/30, time.Millisecond)
	for n.sleep(tick) {
		n.mu.Lock()
		var batch *LeaseBatch
		if n.fold.Next() > 0 || n.listed { // before the first read, rows are not known to be free
			batch = n.claimer.Next(time.Now())
		}
		n.mu.Unlock()
		if batch == nil {
			continue
		}
		raw, err := config.NewRecord(RecordLease, batch)
		if err != nil {
			n.log.Error(err, "lease batch not sent")
			continue
		}
		n.append([][]byte{raw}, "lease")
	}
}
