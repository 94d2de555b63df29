package config

import (
	"fmt"
	"slices"
	"strings"
)

// A log that loses acknowledged records gives their offsets out again. Processes that had read
// them write their state back in a recovery: a saved state that every reader folds, at the
// offset of its commit, into the state that follows from the log. All readers of the log thereby
// derive the same state, whether they had read the lost records or not.

// Modes of a recovery.
const (
	// RecoveryMerge combines the saved state with the state that follows from the log.
	RecoveryMerge = "merge"
	// RecoveryReset replaces the state, for a log from which no reader can derive one.
	RecoveryReset = "reset"
)

const recoveryIDPrefix = "recovery-"

// versionGap is the distance of a version that combines two histories from the versions before
// it. Agents take consecutive versions for consecutive configurations, which these are not.
const versionGap = 2

// IsRecovery reports whether snapshot parts with an id belong to a recovery.
func IsRecovery(id string) bool { return strings.HasPrefix(id, recoveryIDPrefix) }

// RecoveryRecords encodes a saved state as the records of a recovery. Readers of builds without
// recoveries ignore them.
func RecoveryRecords(id string, saved []byte, mode string) ([][]byte, error) {
	return snapshotRecords(saved, SnapshotCommit{ID: recoveryIDPrefix + id, Mode: mode})
}

// foldRecovery folds the commit of a recovery.
func (f *Fold) foldRecovery(c *SnapshotCommit) error {
	parts := &f.pendingParts
	if f.awaitingSnapshot {
		parts = &f.snapshotParts
	}
	saved := parts.take(c.ID, c.Parts, c.Digest)
	if saved == nil || (f.awaitingSnapshot && c.Mode != RecoveryReset) {
		return nil
	}
	st, err := decodeState(saved)
	if err != nil {
		return err
	}
	if c.Mode != RecoveryReset {
		return f.merge(st)
	}
	if !f.awaitingSnapshot {
		f.displaced = f.Clone()
	}
	if err := f.restoreExtensions(st); err != nil {
		return err
	}
	if st.Version > 0 {
		f.current = nil // the state of the recovery counts, even if its version is lower
	}
	pending := f.pendingParts
	f.adopt(st)
	f.pendingParts = pending
	f.recoveries, f.recovered = st.Recoveries+1, true
	return nil
}

// TakeDisplaced returns the state that a RecoveryReset has replaced since the last call, or nil.
func (f *Fold) TakeDisplaced() *Fold {
	d := f.displaced
	f.displaced = nil
	return d
}

// merge combines the state of a lost history with this one. The newer configuration stays in
// force: a change that the log holds and that the other state does not know was accepted after
// the loss, so it is newer than all that was lost. Two configurations that were both lost have
// no order on the log; the ids of their changes, which sort by creation time, decide.
func (f *Fold) merge(st *State) error {
	included, err := f.includes(st)
	if err != nil {
		return err
	}
	if included && f.recoveries > st.Recoveries {
		f.mergeOutcomes(st.Outcomes)
		return nil
	}
	f.recoveries = max(f.recoveries, st.Recoveries) + 1
	for i, x := range f.extensions {
		if err := x.Merge(st.Extensions[i].Data); err != nil {
			return fmt.Errorf("merge %s: %w", x.Kind(), err)
		}
	}
	f.mergeConfig(st)
	return nil
}

func (f *Fold) mergeConfig(st *State) {
	included, known := f.includesConfig(st), includesChange(f.outcomes, st.ID)
	f.mergeOutcomes(st.Outcomes)
	if included {
		return
	}
	if f.current == nil {
		f.current, f.recovered = st.snapshot(), true
		return
	}
	own := f.current
	combined := max(own.Version, st.Version) + versionGap
	switch isAncestor := includesChange(st.Outcomes, own.ID); {
	case own.ID == st.ID:
		f.current = own.withVersion(max(own.Version, st.Version))
	case known && own.Version > st.Version:
	case known, !isAncestor && (!f.recovered || own.ID > st.ID):
		f.current = own.withVersion(combined)
	case isAncestor && st.Version > own.Version:
		f.current, f.recovered = st.snapshot(), true
	default:
		f.current, f.recovered = st.snapshot().withVersion(combined), true
	}
}

// includes reports whether this state holds all that a saved state holds, or something newer.
func (f *Fold) includes(st *State) (bool, error) {
	if err := f.checkExtensions(st); err != nil {
		return false, err
	}
	for i, x := range f.extensions {
		if ok, err := x.Includes(st.Extensions[i].Data); !ok || err != nil {
			return false, err
		}
	}
	return st.Recoveries <= f.recoveries && f.includesConfig(st), nil
}

func (f *Fold) includesConfig(st *State) bool {
	return st.Version == 0 || (f.current != nil && f.current.Version >= st.Version && includesChange(f.outcomes, st.ID))
}

// Includes reports whether this state holds all that another one holds, or something newer.
func (f *Fold) Includes(other *Fold) bool {
	st, err := other.state()
	if err != nil {
		return true // a fold without a state
	}
	ok, err := f.includes(st)
	return ok || err != nil
}

// Merge combines the state of a lost history with this one, as a recovery does. The position
// stays.
func (f *Fold) Merge(other *Fold) {
	if st, err := other.state(); err == nil {
		_ = f.merge(st) // both states are of this build
	}
}

// Recoveries returns the number of recoveries folded. It grows with each loss of records that a
// reader finds. Of two states that do not follow from the same log, the one with more recoveries is
// from the later history.
func (f *Fold) Recoveries() uint64 { return f.recoveries }

// includesChange reports whether a change was accepted according to outcomes, oldest first. A
// change that is older than all of them was decided before them.
func includesChange(outcomes []SavedOutcome, id string) bool {
	if len(outcomes) == maxOutcomes && id < outcomes[0].ID {
		return true
	}
	return slices.ContainsFunc(outcomes, func(o SavedOutcome) bool { return o.ID == id && o.Outcome.Accepted })
}

// mergeOutcomes adds the outcomes of a lost history, as older ones. A change counts as accepted
// if it was accepted in either history.
func (f *Fold) mergeOutcomes(lost []SavedOutcome) {
	merged := slices.Clone(lost)
	at := make(map[string]int, len(lost))
	for i, o := range lost {
		at[o.ID] = i
	}
	for _, o := range f.outcomes {
		if i, ok := at[o.ID]; !ok {
			merged = append(merged, o)
		} else if o.Outcome.Accepted {
			merged[i] = o
		}
	}
	f.outcomes = merged[max(0, len(merged)-maxOutcomes):]
}

// Clone returns a copy that later records folded into f do not change.
func (f *Fold) Clone() *Fold {
	c := *f
	c.displaced = nil
	c.outcomes = slices.Clone(f.outcomes)
	c.passed.marks = slices.Clone(f.passed.marks)
	c.pendingParts, c.snapshotParts = f.pendingParts.clone(), f.snapshotParts.clone()
	c.extensions = make([]Extension, len(f.extensions))
	for i, x := range f.extensions {
		c.extensions[i] = x.Clone()
	}
	return &c
}

// maxPassedMarks is the number of records whose marks are kept. It exceeds the number of records
// that are appended while a snapshot is.
const maxPassedMarks = 1024

// passedMarks holds the marks of the records before an offset.
type passedMarks struct {
	end   uint64 // offset after the last record
	marks []uint64
}

func (p *passedMarks) add(offset, mark uint64) {
	if offset != p.end {
		p.marks = nil
	}
	if len(p.marks) == 2*maxPassedMarks {
		p.marks = append(p.marks[:0], p.marks[maxPassedMarks:]...)
	}
	p.marks = append(p.marks, mark)
	p.end = offset + 1
}

// contradicts reports whether the record before a position is known and is another one.
func (p *passedMarks) contradicts(at Position) bool {
	first := p.end - uint64(len(p.marks))
	if at.Next <= first || at.Next > p.end {
		return false
	}
	return at.Contradicts(Position{Next: at.Next, Mark: p.marks[at.Next-first-1]})
}
