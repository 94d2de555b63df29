package control

import (
	"time"

	"github.com/heatherrail/heatherrail/config"
)

// Want implements Leaser.
func (n *Node) Want(resource string) {
	n.mu.Lock()
	n.claimer.Want(resource, n.rankAmongEntries(resource))
	n.claimer.Observe(n.table, time.Now())
	n.mu.Unlock()
	select {
	case n.wantAdded <- struct{}{}:
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

// maintainLeases appends claims and renewals as they fall due. It blocks while no resource
// is wanted.
func (n *Node) maintainLeases() {
	tick := max(n.opts.Timing.Lease.TTL/60, time.Millisecond)
	for n.ctx.Err() == nil {
		n.mu.Lock()
		idle := n.claimer.Idle()
		n.mu.Unlock()
		if idle {
			select {
			case <-n.wantAdded:
			case <-n.ctx.Done():
			}
			continue
		}
		if n.sleep(tick) {
			n.appendLeaseBatch()
		}
	}
}

func (n *Node) appendLeaseBatch() {
	mayClaim := n.mayClaim(time.Now())
	n.mu.Lock()
	var batch *LeaseBatch
	if n.fold.Next() > 0 || n.vmListSeen { // before the first read of the log, rows of held resources are empty too
		n.claimer.Suspend(!mayClaim || !n.settling.isSettled)
		batch = n.claimer.Next(time.Now())
	}
	n.mu.Unlock()
	if batch == nil {
		return
	}
	raw, err := config.NewRecord(RecordLease, batch)
	if err != nil {
		n.log.Error(err, "lease batch not encoded")
		return
	}
	n.appendRecords([][]byte{raw}, "lease")
}
