package control

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/heatherrail/heatherrail/config"
)

// snapshotSchedule determines when the next snapshot is due.
type snapshotSchedule struct {
	latestOffset uint64 // offset of the latest snapshot seen
	oldestOffset uint64 // oldest offset that the log still holds
	latestSeenAt time.Time
}

func (s *snapshotSchedule) observe(offset uint64, now time.Time) {
	if offset > s.latestOffset {
		s.latestOffset, s.latestSeenAt = offset, now
	}
}

// isDue reports whether the process with this rank among the entries should publish a
// snapshot at now. The processes become due one after another in the order of their ranks,
// so that one of them publishes. Two snapshots at once do no harm.
func (s *snapshotSchedule) isDue(rank int, every time.Duration, now time.Time) bool {
	wait := every + time.Duration(rank)*every/snapshotRankDivisor
	if s.oldestOffset > s.latestOffset {
		wait = time.Duration(rank) * every / snapshotRankDivisor // the log has trimmed the latest snapshot, so a new one is due soon
	}
	return now.Sub(s.latestSeenAt) >= wait
}

// snapshotRankDivisor sets the delay from one rank to the next: 1/snapshotRankDivisor of
// the snapshot period.
const snapshotRankDivisor = 30

// maxPublishers bounds the number of entries that publish. With more ranks, the period plus
// the delay of the last rank would come close to the retention of the log.
const maxPublishers = 16

// publishSnapshots appends the saved state to the log before the records that led to it
// are trimmed. Otherwise a system that lost all its processes could never start again.
func (n *Node) publishSnapshots() {
	for n.sleep(n.opts.Timing.SnapshotInterval / snapshotRankDivisor) {
		if records, ok := n.nextSnapshot(); ok {
			n.appendRecords(records, "snapshot")
		}
	}
}

func (n *Node) nextSnapshot() ([][]byte, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	rank := n.rankAmongEntries("snapshot")
	if rank >= maxPublishers || !n.snapshots.isDue(rank, n.opts.Timing.SnapshotInterval, time.Now()) {
		return nil, false
	}
	if n.logAge() > n.opts.Timing.Fresh || n.fold.Next() == 0 {
		return nil, false // a state that may be old is not worth publishing
	}
	saved, err := n.fold.Save()
	if err != nil {
		return nil, false
	}
	records, err := config.SnapshotAt(ulid.Make().String(), saved, n.fold.Position())
	if err != nil {
		n.log.Error(err, "snapshot not published")
		return nil, false
	}
	n.snapshots.latestSeenAt = time.Now() // so that the next snapshot is not published at once if the answer of this append is lost
	return records, true
}

// rankAmongEntries returns the rank of this process among all entries for a subject, from
// 0.
func (n *Node) rankAmongEntries(subject string) int {
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

// appendRecords appends records to the log, one per call so that no call is too large. It
// ignores the log offsets that the calls return, because the fold reads the records that took
// effect back from the log.
func (n *Node) appendRecords(records [][]byte, kind string) {
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
