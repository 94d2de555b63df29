package control

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/heatherrail/heatherrail/config"
)

// snapshotClock tells when the next snapshot is due.
type snapshotClock struct {
	upto   uint64 // of the latest snapshot seen
	first  uint64 // oldest offset that the log keeps
	seenAt time.Time
}

func (s *snapshotClock) observe(upto uint64, now time.Time) {
	if upto > s.upto {
		s.upto, s.seenAt = upto, now
	}
}

// due reports whether a process of some rank should publish at now. The ranks take
// turns, so that one publishes; two at once do no harm.
func (s *snapshotClock) due(rank int, every time.Duration, now time.Time) bool {
	wait := every + time.Duration(rank)*every/snapshotStride
	if s.first > s.upto {
		wait = time.Duration(rank) * every / snapshotStride // the latest one was trimmed
	}
	return now.Sub(s.seenAt) >= wait
}

// snapshotStride is the part of the period by which ranks are apart.
const snapshotStride = 30

// publishers bounds who publishes; beyond it the period would come to the retention.
const publishers = 16

// publish puts a saved state on the log before the records that made it are trimmed.
// Otherwise a fleet that lost all its processes could never start again.
func (n *Node) publish() {
	for n.sleep(n.opts.Timing.Snapshots / snapshotStride) {
		if records, ok := n.dueSnapshot(); ok {
			n.append(records, "snapshot")
		}
	}
}

func (n *Node) dueSnapshot() ([][]byte, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	rank := n.rankAmongAll("snapshot")
	if rank >= publishers || !n.snapshot.due(rank, n.opts.Timing.Snapshots, time.Now()) {
		return nil, false
	}
	if n.age() > n.opts.Timing.Fresh || n.fold.Next() == 0 {
		return nil, false // a state that may be old helps nobody
	}
	saved, err := n.fold.Save()
	if err != nil {
		return nil, false
	}
	records, err := config.SnapshotRecords(ulid.Make().String(), saved, n.fold.Next())
	if err != nil {
		n.log.Error(err, "snapshot not published")
		return nil, false
	}
	n.snapshot.seenAt = time.Now() // a lost answer is not tried again at once
	return records, true
}

// rankAmongAll is this process's place among all entries for a subject.
func (n *Node) rankAmongAll(subject string) int {
	names := []string{n.opts.Self.Name}
	for name := range n.topology.Peers {
		names = append(names, name)
	}
	for i, name := range Rank(subject, names) {
		if name == n.opts.Self.Name {
			return i
		}
	}
	return len(names)
}

// append adds records to the log, one call for each so that none is too large.
// Its answer is not needed: what took effect is read back.
func (n *Node) append(records [][]byte, kind string) {
	for _, raw := range records {
		ctx, cancel := context.WithTimeout(n.ctx, appendDeadline)
		_, err := n.opts.Log.Append(ctx, [][]byte{raw})
		cancel()
		n.opts.Metrics.Count("log_appends_"+kind+"_total", 1)
		if err != nil {
			n.opts.Metrics.Count("log_append_errors_total", 1)
			n.log.V(1).Info("append failed", "kind", kind, "detail", err.Error())
			return
		}
	}
}
