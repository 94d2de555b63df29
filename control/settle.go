package control

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/wire"
)

// A node that has just started, was cut off from the log or found that the log lost records may not
// know the latest holder of a lease. It is unsettled: it claims nothing, and agents do not rely on its
// fencing floors alone. It is settled once its peers know no more than the log holds, or once every
// holder that it may not know has stopped by its own clock.

const (
	settleInterval = 500 * time.Millisecond
	// maxConfirmations is the number of peers that are asked. Every running node reads each record
	// within seconds, so that fewer than all can tell whether records were lost.
	maxConfirmations = 16
)

// settling is the state of one node. Node.mu guards it.
type settling struct {
	since        time.Time // when the node last may have missed a record
	isSettled    bool
	blockedSince time.Time // since when claims wait for peers; zero: none do
}

// unsettle records that the node may not know the latest holders. n.mu is held.
func (n *Node) unsettle(now time.Time) {
	n.settling = settling{since: now}
	n.claimer.Suspend(true)
}

// Settled reports whether this node knows the latest holders of leases.
func (n *Node) Settled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.settling.isSettled
}

// keepSettled settles the node whenever it can.
func (n *Node) keepSettled() {
	for n.sleep(settleInterval) {
		if n.mustSettle(time.Now()) && n.canSettle() {
			n.settle()
		}
	}
}

// mustSettle reports whether the node is unsettled and its log is up to date.
func (n *Node) mustSettle(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.servedAge() > n.opts.Timing.Fresh {
		n.unsettle(now)
		return false
	}
	return !n.settling.isSettled && n.history.kept == nil && !n.fold.NeedsSnapshot()
}

func (n *Node) canSettle() bool {
	n.mu.Lock()
	since, lease := n.settling.since, n.opts.Timing.Lease
	names := make([]string, 0, len(n.topology.Peers))
	for name := range n.topology.Peers {
		names = append(names, name)
	}
	isListed := n.vmListSeen
	n.mu.Unlock()
	if time.Since(since) >= lease.TTL+lease.Margin {
		return true
	}
	names = Rank(n.opts.Self.Name, names)
	return isListed && n.confirmedBy(names[:min(maxConfirmations, len(names))])
}

// settle settles the node, unless it has been unsettled meanwhile.
func (n *Node) settle() {
	n.mu.Lock()
	ready := n.history.kept == nil
	if ready {
		n.settling.isSettled = true
		n.claimer.Suspend(false)
	}
	n.mu.Unlock()
	if ready && n.opts.Leases != nil {
		n.opts.Leases()
	}
}

// mayClaim reports whether claims that are due may be sent. An entry that lags behind the others does
// not know of a loss in that time, so peers confirm the log first. Without an answer of each, claims wait
// until every holder has stopped that they may know.
func (n *Node) mayClaim(now time.Time) bool {
	n.mu.Lock()
	due, lease := n.claimer.DueClaims(now), n.opts.Timing.Lease
	names := n.activePeers(due, now)
	n.mu.Unlock()
	confirmed := len(due) == 0 || n.confirmedBy(names[:min(maxConfirmations, len(names))])
	n.mu.Lock()
	defer n.mu.Unlock()
	if confirmed {
		n.settling.blockedSince = time.Time{}
		return true
	}
	if n.settling.blockedSince.IsZero() {
		n.settling.blockedSince = now
	}
	return now.Sub(n.settling.blockedSince) >= lease.TTL+lease.Margin
}

// activePeers returns the peers that may hold a lease or know its holder, except those that are known
// to hold the due rows: these have lapsed. n.mu is held.
func (n *Node) activePeers(due []LeaseRow, now time.Time) []string {
	lapsed := make(map[string]bool, len(due))
	for _, row := range due {
		lapsed[row.Holder] = true
	}
	var names []string
	for name, peer := range n.topology.Peers {
		if !peer.Leaving && !lapsed[name] && !n.members.IsDown(name, now) {
			names = append(names, name)
		}
	}
	return Rank(n.opts.Self.Name, names)
}

// confirmedBy reports whether all the named peers have read no record that the log does not hold.
func (n *Node) confirmedBy(names []string) bool {
	ctx, cancel := context.WithTimeout(n.ctx, peerDialTimeout)
	defer cancel()
	var mu sync.Mutex
	confirmed := 0
	var tasks conc.WaitGroup
	for _, name := range names {
		tasks.Go(func() {
			if n.isConfirmedBy(ctx, name) {
				mu.Lock()
				confirmed++
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	return confirmed == len(names)
}

func (n *Node) isConfirmedBy(ctx context.Context, name string) bool {
	n.mu.Lock()
	peer := n.topology.Peers[name]
	n.mu.Unlock()
	conn, err := n.dial(peer) // a lasting connection would cost heartbeats for an answer that is needed once
	if err != nil {
		return false
	}
	defer conn.Close()
	reply, _, err := Tail(ctx, conn, &wire.TailRequest{From: math.MaxUint64})
	if err != nil || reply.Kept {
		return false
	}
	return checkPosition(ctx, n.opts.Log, config.Position{Next: reply.Next, Mark: reply.NextMark}) == nil
}
