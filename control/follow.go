package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

const (
	pageRecords    = 256
	fallbackPeers  = 3 // peers beyond the few that are tried
	maxDoublings   = 5 // of the pause after a failed source
	maxSavedBytes  = 64 << 20
	pullGrace      = 2 * time.Second // added to the long poll for the way and back
	appendDeadline = 5 * time.Second
)

var errNotFresh = errors.New("source has not read the log for long")

// followLog reads the log: always at the few that do so for their data centre, and
// elsewhere while no peer brings news.
func (n *Node) followLog() {
	failures := 0
	pace := n.newPace()
	for n.ctx.Err() == nil {
		if !n.needsLog() {
			n.sleep(n.opts.Timing.HeartbeatInterval)
			continue
		}
		if err := n.pullLog(); err != nil {
			n.sourceFailed("log", err)
			n.sleep(min(n.pause(failures), n.opts.Timing.LogBackoff))
			failures++
			continue
		}
		failures = 0
		n.sleep(pace.next(time.Now()))
	}
}

// followPeers pulls from peers: always where the log is not read, and elsewhere
// while the log does not answer.
func (n *Node) followPeers() {
	at, rounds := 0, 0
	pace := n.newPace()
	var since time.Time // when the present source was chosen
	for n.ctx.Err() == nil {
		sources := n.sources()
		if len(sources) == 0 || !n.needsPeers() {
			at, rounds = 0, 0
			n.sleep(n.opts.Timing.Backoff) // a newcomer waits for the VM list here
			continue
		}
		if at >= len(sources) || (at > 0 && time.Since(since) > n.opts.Timing.Retry) {
			at, since = 0, time.Now()
		}
		if err := n.pullPeer(sources[at]); err != nil {
			n.sourceFailed(sources[at], err)
			if at++; at == len(sources) {
				rounds++ // all have failed: ask less often
			}
			since = time.Now()
			n.sleep(n.pause(rounds))
			continue
		}
		rounds = 0
		n.sleep(pace.next(time.Now()))
	}
}

// paceBurst is how many reads may follow each other at once.
const paceBurst = 8

// pace bounds how often a source is asked: a few records in a row are read at once,
// a steady flow of them costs one read each period.
type pace struct {
	every time.Duration
	full  time.Time // when all reads of a burst are free again
}

func (n *Node) newPace() pace { return pace{every: n.opts.Timing.Coalesce} }

// next returns how long to wait before the next read.
func (p *pace) next(now time.Time) time.Duration {
	if p.full.Before(now) {
		p.full = now
	}
	p.full = p.full.Add(p.every)
	return max(0, p.full.Sub(now)-paceBurst*p.every)
}

// pause returns how long to wait after failures in a row.
func (n *Node) pause(failures int) time.Duration {
	return min(n.opts.Timing.Backoff<<min(failures, maxDoublings), n.opts.Timing.MaxBackoff)
}

func (n *Node) sourceFailed(name string, err error) {
	n.log.V(1).Info("source failed", "source", name, "detail", err.Error())
	n.opts.Metrics.Count("control_source_errors_total", 1)
}

func (n *Node) needsLog() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.topology.ReadsLog() || n.age() > n.opts.Timing.Fresh
}

func (n *Node) needsPeers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.topology.ReadsLog() || n.age() > n.opts.Timing.Fresh || n.fold.NeedsSnapshot()
}

// sources returns the peers to pull from, best first.
func (n *Node) sources() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	peers := n.topology.Sources()
	few := len(n.topology.Local(RelayCount))
	return peers[:min(few+fallbackPeers, len(peers))]
}

func (n *Node) pullLog() error {
	n.mu.Lock()
	from := n.fold.Next()
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, n.opts.Timing.LogWait+pullGrace)
	defer cancel()
	page, err := n.opts.Log.Read(ctx, from, pageRecords, n.opts.Timing.LogWait)
	if errors.Is(err, outside.ErrTrimmed) && page.First > from {
		n.opts.Metrics.Count("control_trimmed_total", 1)
		n.log.Info("log was trimmed past this reader", "next", from, "first", page.First)
		n.mu.Lock()
		n.fold.SkipTo(page.First)
		n.mu.Unlock()
		return nil // a snapshot on the log or a peer's state helps now
	}
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	n.mu.Lock()
	n.snapshot.first = page.First
	n.mu.Unlock()
	return n.take(page.Next-uint64(len(page.Records)), page.Records, time.Now())
}

// Take folds consecutive log records, beginning at first, that this process has
// read for another purpose. It may stop early at a gap; the followers go on.
func (n *Node) Take(first uint64, records [][]byte) error {
	return n.take(first, records, time.Now())
}

// take folds consecutive records that begin at first and were fresh at an instant.
func (n *Node) take(first uint64, records [][]byte, fresh time.Time) error {
	n.mu.Lock()
	for i, raw := range records {
		offset := first + uint64(i)
		before := n.fold.Next()
		err := n.foldOne(offset, raw)
		if errors.Is(err, config.ErrGap) {
			break // a snapshot set the position back: read on from there
		}
		if err != nil {
			n.mu.Unlock()
			n.opts.Metrics.Gauge("control_fold_stopped", 1)
			n.log.Error(err, "configuration stopped")
			return err
		}
		if before == offset {
			n.relay.add(offset, raw)
		}
	}
	if fresh.After(n.freshAt) {
		n.freshAt = fresh
	}
	n.mu.Unlock()
	n.folded()
	return nil
}

// foldOne folds a record; peers send empty ones for those that change nothing.
func (n *Node) foldOne(offset uint64, raw []byte) error {
	if len(raw) == 0 {
		return n.fold.Skip(offset)
	}
	return n.fold.Apply(offset, raw)
}

// folded hands what the fold found to those who wait for it. Both followers call
// it; the lock keeps an older version from being handed over after a newer one.
func (n *Node) folded() {
	n.installing.Lock()
	defer n.installing.Unlock()
	n.mu.Lock()
	now := time.Now()
	current, next := n.fold.Current(), n.fold.Next()
	if n.fold.NeedsSnapshot() {
		next = 0 // records before it may be missing
	}
	n.claimer.Observe(n.table, now)
	n.snapshot.observe(n.fold.SnapshotOffset(), now)
	moved := n.table.highest != n.fences
	n.fences = n.table.highest
	close(n.wake)
	n.wake = make(chan struct{})
	n.mu.Unlock()
	if current != nil && n.opts.Install != nil {
		n.opts.Install(current)
	}
	if n.opts.Folded != nil {
		n.opts.Folded(next)
	}
	if moved && n.opts.Leases != nil {
		n.opts.Leases()
	}
}

// pullPeer follows a peer by long polls.
func (n *Node) pullPeer(name string) error {
	conn, err := n.connect(name)
	if err != nil {
		return err
	}
	n.mu.Lock()
	cold := n.fold.NeedsSnapshot() || (n.fold.Next() == 0 && n.fold.Current() == nil)
	req := wire.TailRequest{From: n.fold.Next(), Cold: cold, WaitMs: n.opts.Timing.LogWait.Milliseconds()}
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, n.opts.Timing.LogWait+pullGrace)
	defer cancel()
	reply, state, err := Tail(ctx, conn, &req)
	if err != nil {
		return err
	}
	age := time.Duration(reply.AgeMs) * time.Millisecond
	if reply.State {
		n.mu.Lock()
		err = n.fold.Restore(state)
		n.mu.Unlock()
		if err != nil {
			return fmt.Errorf("state of %s: %w", name, err)
		}
	}
	if err := n.take(reply.First, reply.Records, time.Now().Add(-age)); err != nil {
		return err
	}
	if age > n.opts.Timing.Fresh {
		return errNotFresh
	}
	return nil
}

// Tail asks a peer for records or its state.
func Tail(ctx context.Context, conn *wire.Conn, req *wire.TailRequest) (*wire.TailReply, []byte, error) {
	s, err := conn.Open(wire.MethodTail, req)
	if err != nil {
		return nil, nil, err
	}
	defer s.Close()
	ev, err := s.Recv(ctx)
	if err != nil {
		return nil, nil, err
	}
	reply := new(wire.TailReply)
	if _, err := reply.UnmarshalMsg(ev.Data); err != nil || ev.Message != wire.MessageTail {
		return nil, nil, result.New(result.WireMalformed, "tail reply of %s", conn.Peer().Name)
	}
	var state []byte
	for {
		ev, err := s.Recv(ctx)
		if errors.Is(err, io.EOF) {
			return reply, state, nil
		}
		if err != nil {
			return nil, nil, err
		}
		if state = append(state, ev.Data...); len(state) > maxSavedBytes {
			return nil, nil, result.New(result.WireMalformed, "state of %s is too large", conn.Peer().Name)
		}
	}
}
