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
	select {
	case n.changed <- struct{}{}:
	default:
	}
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

// lease appends claims and renewals as they fall due; a process that wants nothing
// sleeps.
func (n *Node) lease() {
	tick := max(n.opts.Timing.Lease.TTL/60, time.Millisecond)
	for n.ctx.Err() == nil {
		n.mu.Lock()
		idle := n.claimer.Idle()
		n.mu.Unlock()
		if idle {
			select {
			case <-n.changed:
			case <-n.ctx.Done():
			}
			continue
		}
		if n.sleep(tick) {
			n.claim()
		}
	}
}

func (n *Node) claim() {
	n.mu.Lock()
	var batch *LeaseBatch
	if n.fold.Next() > 0 || n.listed { // before the first read, rows are not known to be free
		batch = n.claimer.Next(time.Now())
	}
	n.mu.Unlock()
	if batch == nil {
		return
	}
	raw, err := config.NewRecord(RecordLease, batch)
	if err != nil {
		n.log.Error(err, "lease batch not sent")
		return
	}
	n.append([][]byte{raw}, "lease")
}
