package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/outside"
)

const (
	pageRecords         = 256
	fallbackPeers       = 3 // number of peers tried after the relays of the data centre
	maxBackoffDoublings = 5 // the pause after failed reads is doubled at most this many times
	maxSavedBytes       = 64 << 20
	pollRoundTrip       = 2 * time.Second // added to the timeout of a long poll for the network round trip
	appendDeadline      = 5 * time.Second
)

var errSourceStale = errors.New("source has not read the log recently")

// followLog reads the log: always at the log readers of a data centre, and at other
// entries while no peer has fresh records.
func (n *Node) followLog() {
	failures := 0
	limiter := n.newReadLimiter()
	for n.ctx.Err() == nil {
		if !n.needsLogRead() {
			n.sleep(n.opts.Timing.HeartbeatInterval)
			continue
		}
		if err := n.pullLog(); err != nil {
			n.recordSourceFailure("log", err)
			n.sleep(min(n.backoff(failures), n.opts.Timing.LogBackoff))
			failures++
			continue
		}
		failures = 0
		if n.isBehind() {
			continue
		}
		n.sleep(limiter.delay(time.Now()))
	}
}

// followPeers pulls records from peers: always at entries that do not read the log, and at
// log readers while the log does not answer or a snapshot is needed.
func (n *Node) followPeers() {
	at, rounds := 0, 0
	limiter := n.newReadLimiter()
	var chosenAt time.Time // when the current source was chosen
	for n.ctx.Err() == nil {
		sources := n.pullSources()
		if len(sources) == 0 || !n.needsPeerRead() {
			at, rounds = 0, 0
			n.sleep(n.opts.Timing.Backoff) // an entry that has just started waits for the VM list here
			continue
		}
		if at >= len(sources) || (at > 0 && time.Since(chosenAt) > n.opts.Timing.Retry) {
			at, chosenAt = 0, time.Now()
		}
		if err := n.pullPeer(sources[at]); err != nil {
			n.recordSourceFailure(sources[at], err)
			if at++; at == len(sources) {
				rounds++ // all sources have failed: increase the backoff
				n.setHeardPeer()
			}
			chosenAt = time.Now()
			if !n.hasHeardPeer() {
				continue
			}
			n.sleep(n.backoff(rounds))
			continue
		}
		rounds = 0
		n.sleep(limiter.delay(time.Now()))
	}
}

// readBurst is the number of reads that may follow each other without a delay.
const readBurst = 8

// readLimiter bounds how often a source is read. A few records in a row are read at once;
// a steady flow of records costs one read per interval.
type readLimiter struct {
	interval    time.Duration
	burstFreeAt time.Time // when a whole burst of reads is available again
}

func (n *Node) newReadLimiter() readLimiter { return readLimiter{interval: n.opts.Timing.Coalesce} }

// delay returns how long to wait before the next read, and counts that read.
func (l *readLimiter) delay(now time.Time) time.Duration {
	if l.burstFreeAt.Before(now) {
		l.burstFreeAt = now
	}
	l.burstFreeAt = l.burstFreeAt.Add(l.interval)
	return max(0, l.burstFreeAt.Sub(now)-readBurst*l.interval)
}

// backoff returns how long to wait after a number of consecutive failures.
func (n *Node) backoff(failures int) time.Duration {
	return min(n.opts.Timing.Backoff<<min(failures, maxBackoffDoublings), n.opts.Timing.MaxBackoff)
}

func (n *Node) recordSourceFailure(name string, err error) {
	n.log.V(1).Info("source failed", "source", name, "detail", err.Error())
	n.opts.Metrics.Count("control_source_errors_total", 1)
}

func (n *Node) needsLogRead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.topology.ReadsLog() || n.history.ownRead || n.logAge() > n.opts.Timing.Fresh
}

// hasFreshLog reports whether this process, or its source, has read the log recently.
func (n *Node) hasFreshLog() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.logAge() <= n.opts.Timing.Fresh
}

func (n *Node) hasHeardPeer() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heardPeer
}

// isBehind reports whether the log held more records than the latest read returned.
func (n *Node) isBehind() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.behind
}

func (n *Node) needsPeerRead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.history.ownRead {
		return false
	}
	return !n.heardPeer || !n.topology.ReadsLog() || n.logAge() > n.opts.Timing.Fresh || n.fold.NeedsSnapshot()
}

// pullSources returns the peers to pull from, best first.
func (n *Node) pullSources() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	peers := n.topology.Sources()
	relays := len(n.topology.Local(RelayCount))
	return peers[:min(relays+fallbackPeers, len(peers))]
}

// pullLog waits for a record at the end of the log, and reads the log to its end.
func (n *Node) pullLog() error {
	ctx, cancel := context.WithTimeout(n.ctx, n.opts.Timing.LogWait+pollRoundTrip)
	defer cancel()
	n.mu.Lock()
	at, atEnd := n.fold.Position(), n.history.caughtUp && !n.behind && !n.fold.NeedsSnapshot()
	n.mu.Unlock()
	if atEnd {
		if err := awaitRecord(ctx, n.opts.Log, at, n.opts.Timing.LogWait); err != nil {
			n.mu.Lock()
			n.behind = true // the log may have changed while it did not answer: read before waiting again
			n.mu.Unlock()
			return fmt.Errorf("read log: %w", err)
		}
	}
	return n.readLog(ctx, at)
}

// readLog reads and folds the records after a position.
func (n *Node) readLog(ctx context.Context, at config.Position) error {
	n.mu.Lock()
	replaced := n.history.replaced
	n.mu.Unlock()
	page, err := ReadAfter(ctx, n.opts.Log, at, pageRecords)
	if errors.Is(err, outside.ErrTrimmed) && page.First == at.Next && n.hasFreshLog() {
		// Only the record before the position was trimmed. A log keeps its records for much longer than
		// the time since the latest read, so it has not given out their offsets again since.
		page, err = ReadAfter(ctx, n.opts.Log, config.Position{Next: at.Next}, pageRecords)
	}
	switch {
	case errors.Is(err, ErrLogChanged):
		return n.rewind(ctx, at)
	case errors.Is(err, outside.ErrTrimmed) && page.First > 0 && page.First >= at.Next:
		n.skipTrimmed(at, page.First)
		return nil // the fold now needs a snapshot from the log or a peer's state
	case err != nil:
		n.endOwnRead()
		return fmt.Errorf("read log: %w", err)
	}
	atEnd := len(page.Records) < pageRecords
	n.mu.Lock()
	n.snapshots.oldestOffset = page.First
	n.behind = !atEnd
	n.mu.Unlock()
	err = n.foldRecords(recordPage{at: at, records: page.Records, readAt: time.Now(), atEnd: atEnd, replaced: replaced})
	if err == nil && atEnd {
		n.endOwnRead()
	}
	return err
}

// recordPage is a page of records that follow a position.
type recordPage struct {
	at       config.Position
	records  [][]byte  // an empty record stands for one that does not change the state
	marks    []uint64  // marks of the empty records, in order
	readAt   time.Time // when this process, or the peer that sent the page, last read the log to its end
	atEnd    bool      // no more records follow
	replaced int       // history.replaced when the page was requested
}

// FoldRecords folds consecutive log records after a position, which this process has read for
// another purpose. It may stop early at a gap; followLog and followPeers then read the records
// from the gap on.
func (n *Node) FoldRecords(at config.Position, records [][]byte) error {
	n.mu.Lock()
	replaced := n.history.replaced
	n.mu.Unlock()
	return n.foldRecords(recordPage{at: at, records: records, readAt: time.Now(), replaced: replaced})
}

// foldRecords folds a page, unless the fold was replaced since the page was requested: the page may
// come from a history that the log has left.
func (n *Node) foldRecords(p recordPage) error {
	n.mu.Lock()
	if n.history.replaced != p.replaced {
		n.mu.Unlock()
		return nil
	}
	at, err := n.applyPage(&p)
	if err != nil {
		n.mu.Unlock()
		n.opts.Metrics.Gauge("control_fold_stopped", 1)
		n.log.Error(err, "configuration fold stopped")
		return err
	}
	if n.fold.Next() < at.Next {
		n.history.caughtUp = false // a snapshot moved the read position back
	}
	if p.atEnd && n.fold.Position() == at {
		n.history.caughtUp = true
		if p.readAt.After(n.logReadAt) {
			n.logReadAt = p.readAt
		}
	}
	n.dropKept()
	n.observeRecoveries(n.fold.Recoveries(), time.Now())
	n.history.addCheckpoint(n.fold, time.Now())
	n.mu.Unlock()
	n.notifyFolded()
	return nil
}

// applyPage applies the records of a page and returns the position after the last one that
// follows on what was folded. n.mu is held.
func (n *Node) applyPage(p *recordPage) (config.Position, error) {
	at, marks := p.at, p.marks
	for _, raw := range p.records {
		if n.fold.Position().Contradicts(at) {
			break // the records follow others than the ones that were folded
		}
		mark, err := uint64(0), error(nil)
		before := n.fold.Next()
		if len(raw) > 0 {
			mark, err = config.RecordMark(raw), n.fold.Apply(at.Next, raw)
		} else {
			if len(marks) > 0 {
				mark, marks = marks[0], marks[1:]
			}
			err = n.fold.Skip(at.Next, mark)
		}
		if errors.Is(err, config.ErrGap) {
			break // a snapshot moved the read position back: read on from there
		}
		if err != nil {
			return at, err
		}
		if before == at.Next {
			n.cache.add(at, raw, mark)
		}
		at = at.After(mark)
		if d := n.fold.TakeDisplaced(); d != nil {
			n.keep(d)
		}
	}
	return at, nil
}

// notifyFolded passes the folded state to the callbacks and wakes the long polls of peers
// that wait for a record. Because followLog and followPeers both call it, notifyMu ensures
// that no older version is installed after a newer one.
func (n *Node) notifyFolded() {
	n.notifyMu.Lock()
	defer n.notifyMu.Unlock()
	n.mu.Lock()
	now := time.Now()
	current, next := n.putInForce(now), n.fold.Next()
	if n.fold.NeedsSnapshot() {
		next = 0 // records before the offset may be missing
	}
	n.claimer.Observe(n.table, now)
	n.snapshots.observe(n.fold.SnapshotOffset(), now)
	losses := n.history.losses
	changed := n.table.highestFence != n.notifiedFence
	n.notifiedFence = n.table.highestFence
	close(n.recordsFolded)
	n.recordsFolded = make(chan struct{})
	n.mu.Unlock()
	if current != nil && n.opts.Install != nil {
		n.opts.Install(current)
	}
	if n.opts.Folded != nil {
		n.opts.Folded(next, losses)
	}
	if changed && n.opts.Leases != nil {
		n.opts.Leases()
	}
}
