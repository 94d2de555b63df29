package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/outside"
)

// A log that loses acknowledged records leaves the nodes that had read them with a state that no
// longer follows from it. Such a node folds the remaining log anew, from a checkpoint, and keeps
// what it had. What the log then lacks, it writes back as a recovery, see config.RecoveryMerge.

const (
	checkpointInterval = 15 * time.Second
	maxCheckpoints     = 8
	// startGrace is how long a node that has just started waits for the answer of a peer before it
	// puts the configuration of the log in force: peers may know a newer one that the log has lost.
	startGrace = 2 * time.Second
	// recoveryRankDelay is how long a node waits for each node that ranks before it, up to
	// maxRecoveryRank, so that one of them writes the recovery.
	recoveryRankDelay = 100 * time.Millisecond
	maxRecoveryRank   = 50
	// recoveryRetry is the time from one recovery of a node to its next.
	recoveryRetry = 2 * time.Second
	// resetDelay is how long a node looks for a state that follows from the log before it writes
	// a recovery without one.
	resetDelay = 2 * time.Second
)

// history holds what a node needs when its log loses records. Node.mu guards it.
type history struct {
	kept        *config.Fold // state that the log does not hold; nil: none
	isLoss      bool         // kept was lost by the log: a recovery must follow, so that all readers learn of the loss
	losses      LogLosses
	lossAt      time.Time    // when this node last found a loss itself
	recoveries  uint64       // recoveries that were folded when losses was last updated
	merged      bool         // kept combines two states, under a version that no log has given out
	keptAt      time.Time    // when kept was set, or when it may next be written
	caughtUp    bool         // the fold has reached the end of the log since it was replaced
	replaced    int          // how often the fold was replaced
	checkpoints []checkpoint // oldest first
	wantState   bool         // a peer has a state of a later history
	ownRead     bool         // this process reads the log itself: peers may not know of a loss yet
	keptAdded   chan struct{}
}

// LogLosses tells what a process that has written records must do after a loss: write those again
// that the log may lack.
type LogLosses struct {
	Count      int             // grows with each loss that the node finds or learns of
	From       config.Position // the log holds all records before it that were read
	Since      time.Time       // when the records after From were read at the earliest; zero: unknown
	Recoveries uint64          // see config.Fold.Recoveries
}

// lossRecoveryTime is how long after a loss that a node found itself recoveries are taken for those of
// the same loss.
const lossRecoveryTime = 30 * time.Second

// observeRecoveries counts a loss that other nodes have found. n.mu is held.
func (n *Node) observeRecoveries(recoveries uint64, now time.Time) {
	h := &n.history
	if recoveries <= h.recoveries {
		return
	}
	n.unsettle(now)
	h.recoveries, h.losses.Recoveries = recoveries, recoveries
	if now.Sub(h.lossAt) > lossRecoveryTime {
		h.losses.Count++
		h.losses.From, h.losses.Since = config.Position{}, time.Time{}
	}
}

// checkpoint is a copy of the fold at an earlier position.
type checkpoint struct {
	fold  *config.Fold
	taken time.Time
}

// addCheckpoint records a checkpoint if one is due. Their distance doubles with their age.
func (h *history) addCheckpoint(f *config.Fold, now time.Time) {
	if f.NeedsSnapshot() || f.Position().Mark == 0 {
		return
	}
	if last := len(h.checkpoints) - 1; last >= 0 && now.Sub(h.checkpoints[last].taken) < checkpointInterval {
		return
	}
	h.checkpoints = append(h.checkpoints, checkpoint{fold: f.Clone(), taken: now})
	for i := len(h.checkpoints) - 3; i > 0; i-- {
		spacing := checkpointInterval << (len(h.checkpoints) - 3 - i)
		if h.checkpoints[i+1].taken.Sub(h.checkpoints[i-1].taken) <= spacing {
			h.checkpoints = slices.Delete(h.checkpoints, i, i+1)
		}
	}
	if extra := len(h.checkpoints) - maxCheckpoints; extra > 0 {
		h.checkpoints = slices.Delete(h.checkpoints, 0, extra)
	}
}

// keep adds a state to what the log may lack. n.mu is held.
func (n *Node) keep(f *config.Fold) {
	if f.NeedsSnapshot() || f.StopError() != nil || f.Next() == 0 {
		return
	}
	h := &n.history
	switch {
	case h.kept == nil:
		h.keptAt = time.Now()
	case h.kept.Includes(f):
		return
	case !f.Includes(h.kept):
		f = f.Clone()
		f.Merge(h.kept)
		h.merged = true
	}
	h.kept = f
	select {
	case h.keptAdded <- struct{}{}:
	default:
	}
}

// dropKept drops the kept state once the log holds it. n.mu is held.
func (n *Node) dropKept() {
	h := &n.history
	if h.kept == nil || n.fold.NeedsSnapshot() || (h.isLoss && n.fold.Recoveries() <= h.kept.Recoveries()) {
		return
	}
	if n.fold.Includes(h.kept) {
		h.kept, h.merged, h.isLoss, n.saved = nil, false, false, savedState{}
		n.log.Info("log holds the recovered state", "next", n.fold.Next())
	}
}

// replaceFold continues with another fold and keeps the state of the present one. n.mu is held.
func (n *Node) replaceFold(f *config.Fold) {
	n.keep(n.fold)
	n.fold, n.table = f, leaseTableOf(f)
	n.cache, n.saved = recordCache{}, savedState{}
	h := &n.history
	h.caughtUp, h.wantState = false, false
	h.replaced++
	if n.snapshots.latestOffset > f.SnapshotOffset() {
		n.snapshots = snapshotSchedule{latestOffset: f.SnapshotOffset()} // the log has lost a snapshot: a new one is due
	}
	n.dropKept()
}

// rewind continues from the latest checkpoint that the log still holds, or from the start of the
// log, if the fold is still at the position at which the loss was found.
func (n *Node) rewind(ctx context.Context, at config.Position) error {
	n.mu.Lock()
	checkpoints := slices.Clone(n.history.checkpoints)
	n.mu.Unlock()
	next, _ := NewFold()
	var since time.Time
	for len(checkpoints) > 0 {
		last, taken := checkpoints[len(checkpoints)-1].fold, checkpoints[len(checkpoints)-1].taken
		err := checkPosition(ctx, n.opts.Log, last.Position())
		if err == nil {
			next, since = last.Clone(), taken
			break
		}
		if !errors.Is(err, ErrLogChanged) && !errors.Is(err, outside.ErrTrimmed) {
			return err
		}
		checkpoints = checkpoints[:len(checkpoints)-1]
	}
	n.mu.Lock()
	if n.fold.Position() != at {
		n.mu.Unlock()
		return nil
	}
	h := &n.history
	h.checkpoints = checkpoints
	n.replaceFold(next)
	h.isLoss, h.ownRead, h.lossAt = h.kept != nil, true, time.Now()
	h.losses.Count++
	h.losses.From, h.losses.Since = next.Position(), since
	n.unsettle(h.lossAt)
	n.mu.Unlock()
	n.opts.Metrics.Count("control_log_losses_total", 1)
	n.log.Info("log has lost records that were read", "next", at.Next, "continues", next.Next())
	n.notifyFolded()
	return nil
}

// endOwnRead lets the node follow peers again.
func (n *Node) endOwnRead() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.history.ownRead = false
}

// skipTrimmed continues at the first record that the log holds. The fold then needs a snapshot.
func (n *Node) skipTrimmed(at config.Position, first uint64) {
	n.opts.Metrics.Count("control_trimmed_total", 1)
	n.log.Info("log trimmed past the read position", "next", at.Next, "first", first)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fold.Position() != at {
		return
	}
	if !n.fold.NeedsSnapshot() && at.Next > 0 {
		next, _ := NewFold()
		n.replaceFold(next)
	}
	n.fold.Interrupt(first)
}

// checkOwnPosition returns nil if the fold is at a position that the log holds. Otherwise it
// rewinds the fold or returns why the position could not be checked.
func (n *Node) checkOwnPosition(ctx context.Context, at config.Position) error {
	err := checkPosition(ctx, n.opts.Log, at)
	if errors.Is(err, ErrLogChanged) {
		return n.rewind(ctx, at)
	}
	if errors.Is(err, outside.ErrTrimmed) {
		return nil // the state of a peer, or the log reader, continues after the gap
	}
	return err
}

// considerState decides what to do with the state of a peer: to continue from it if it follows
// from the log, or to keep it if the log has lost part of it. Without the log, a state with more
// recoveries counts as the later one. replaced is history.replaced when the state was requested; the
// present one is returned.
func (n *Node) considerState(ctx context.Context, saved []byte, replaced int) (int, error) {
	st, _ := NewFold()
	if err := st.Restore(saved); err != nil {
		return replaced, err
	}
	err := checkPosition(ctx, n.opts.Log, st.Position())
	if errors.Is(err, outside.ErrTrimmed) {
		return replaced, errSourceStale
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.history.replaced != replaced {
		return replaced, errSourceStale
	}
	own := n.fold
	isBlank := own.NeedsSnapshot() || own.Next() == 0
	isAhead := st.Next() > own.Next()
	switch {
	case errors.Is(err, ErrLogChanged) && isBlank && n.inForce == nil && n.history.kept == nil:
		n.replaceFold(st) // the state may be incomplete: the peer has the records that follow it
	case errors.Is(err, ErrLogChanged):
		n.keep(st)
		n.history.isLoss = n.history.kept != nil
		return replaced, errSourceStale
	case isBlank, isAhead && err == nil, isAhead && st.Includes(own), st.Recoveries() > own.Recoveries() && err != nil:
		n.replaceFold(st)
	}
	return n.history.replaced, nil
}

// putInForce returns the configuration in force: that of the log once it is newer, or a newer one
// that the log has lost. n.mu is held.
func (n *Node) putInForce(now time.Time) *config.Snapshot {
	if n.inForce == nil && n.isStarting(now) {
		return nil
	}
	if kept := n.history.kept; kept != nil && !n.history.merged && isNewer(kept.Current(), n.inForce) && (n.fold.Current() == nil || kept.Includes(n.fold)) {
		n.inForce = kept.Current()
	}
	if isNewer(n.fold.Current(), n.inForce) {
		n.inForce = n.fold.Current()
	}
	return n.inForce
}

// isStarting reports whether a node that has no configuration in force waits for a newer one than
// it knows so far: from the rest of the log, or from peers. n.mu is held.
func (n *Node) isStarting(now time.Time) bool {
	up := now.Sub(n.startedAt)
	if !n.history.caughtUp && (n.history.kept == nil || n.history.merged) {
		return up < n.opts.Timing.Fresh
	}
	return !n.heardPeer && up < startGrace && (!n.vmListSeen || len(n.topology.Peers) > 0)
}

func isNewer(s, than *config.Snapshot) bool {
	return s != nil && (than == nil || s.Version > than.Version)
}

// setHeardPeer records that a peer has answered, or that none does.
func (n *Node) setHeardPeer() {
	n.mu.Lock()
	first := !n.heardPeer
	n.heardPeer = true
	n.mu.Unlock()
	if first {
		n.notifyFolded()
	}
}

// endStart puts the configuration that is known in force if no newer one has come in time.
func (n *Node) endStart() {
	for _, wait := range []time.Duration{startGrace, n.opts.Timing.Fresh - startGrace} {
		select {
		case <-time.After(wait):
			n.setHeardPeer()
			n.notifyFolded()
		case <-n.ctx.Done():
			return
		}
	}
}

// writeRecoveries appends the kept state to the log until the log holds it.
func (n *Node) writeRecoveries() {
	for n.ctx.Err() == nil {
		n.mu.Lock()
		idle := n.history.kept == nil
		n.mu.Unlock()
		if idle {
			select {
			case <-n.history.keptAdded:
			case <-n.ctx.Done():
			}
			continue
		}
		if records, ok := n.nextRecovery(time.Now()); ok {
			n.appendRecords(records, "recovery")
		}
		n.sleep(recoveryRankDelay)
	}
}

func (n *Node) nextRecovery(now time.Time) ([][]byte, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &n.history
	if h.kept == nil || n.logAge() > n.opts.Timing.Fresh {
		return nil, false
	}
	mode := config.RecoveryMerge
	wait := time.Duration(min(n.rankAmongEntries("recovery"), maxRecoveryRank)) * recoveryRankDelay
	switch {
	case n.fold.NeedsSnapshot() && h.isLoss:
		mode = config.RecoveryReset
		wait += resetDelay
	case n.fold.NeedsSnapshot() || !h.caughtUp:
		return nil, false
	}
	if now.Sub(h.keptAt) < wait {
		return nil, false
	}
	h.keptAt = now.Add(recoveryRetry)
	saved, err := h.kept.Save()
	if err != nil {
		n.log.Error(err, "recovery not written")
		return nil, false
	}
	records, err := config.RecoveryRecords(ulid.Make().String(), saved, mode)
	if err != nil {
		n.log.Error(err, "recovery not written")
		return nil, false
	}
	n.opts.Metrics.Count("control_recoveries_total", 1)
	n.log.Info("recovery written", "mode", mode, "version", versionOf(h.kept.Current()))
	return records, true
}

func versionOf(s *config.Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return s.Version
}
