package config

import (
	"errors"
	"fmt"
	"slices"
)

// ErrGap is returned by Apply and Skip for a record that is not the next one: a
// record before it is missing.
var ErrGap = errors.New("log record out of order")

// Position is a place between two records of the log. An offset alone does not identify it: a
// log that loses records gives their offsets out again.
type Position struct {
	Next uint64 // offset of the record after the position
	Mark uint64 // RecordMark of the record before it; 0 if there is none or it is unknown
}

// After returns the position after the record that stands at p.
func (p Position) After(mark uint64) Position { return Position{Next: p.Next + 1, Mark: mark} }

// Contradicts reports whether both positions have the same offset but are in different
// histories of the log.
func (p Position) Contradicts(q Position) bool {
	return p.Next == q.Next && p.Mark != q.Mark && p.Mark != 0 && q.Mark != 0
}

// Extension folds log records of a kind that Fold itself does not handle, for example
// leases, into a state of its own. That state is saved with the configuration. All
// processes must use the same extensions.
type Extension interface {
	// Kind returns the kind of the records that the extension folds.
	Kind() string
	// Fold applies the body of one record. An error stops the whole fold.
	Fold(offset uint64, body []byte) error
	// Save returns the encoding of the state. Equal states must have equal
	// encodings. Restore replaces the state by a saved one.
	Save() ([]byte, error)
	Restore(saved []byte) error
	// Clone returns a copy that later folds do not change.
	Clone() Extension
	// Merge combines the saved state of a lost history of the log with this one, and Includes
	// reports whether this state holds all that such a state holds, or something newer.
	Merge(saved []byte) error
	Includes(saved []byte) (bool, error)
}

// maxOutcomes bounds the change outcomes kept by id. A day at the planned size has
// 920 changes, and a resumed apply queries the outcome within minutes. A repeated
// record whose outcome was evicted is still harmless, because its base version has
// been superseded.
const maxOutcomes = 1024

// Fold applies log records in log order and produces the configuration versions.
// All readers reach the same state, whether a reader starts from the first record,
// from a snapshot on the log or from the saved state of a peer.
type Fold struct {
	next             uint64
	mark             uint64      // RecordMark of the record before next, 0 if it is unknown
	passed           passedMarks // marks of the latest records, by offset
	recoveries       uint64      // recoveries folded; see foldRecovery
	recovered        bool        // current comes from a recovery and not from a change on the log
	displaced        *Fold       // state that a RecoveryReset replaced
	awaitingSnapshot bool        // records before firstKept are lost, so a snapshot is needed
	firstKept        uint64      // offset of the oldest record that the log still holds
	current          *Snapshot
	outcomes         []SavedOutcome
	pendingParts     partBuffer
	snapshotParts    partBuffer // parts of snapshots; filled only while a snapshot is needed
	snapshotOffset   uint64     // offset of the first record that the latest snapshot on the log does not include
	extensions       []Extension
	stopErr          error
}

// NewFold returns a fold that starts at offset 0 of the log.
func NewFold(extensions ...Extension) *Fold {
	return &Fold{extensions: extensions}
}

// Current returns the version in force, or nil before the first accepted change.
func (f *Fold) Current() *Snapshot { return f.current }

// Next returns the offset of the next record to apply.
func (f *Fold) Next() uint64 { return f.next }

// Position returns the position of the next record to apply.
func (f *Fold) Position() Position { return Position{Next: f.next, Mark: f.mark} }

// SnapshotOffset returns the offset of the first record that the latest snapshot on
// the log does not include.
func (f *Fold) SnapshotOffset() uint64 { return f.snapshotOffset }

// NeedsSnapshot reports whether records were lost, so that the fold needs a
// snapshot. Until then the last known version stays in force.
func (f *Fold) NeedsSnapshot() bool { return f.awaitingSnapshot }

// Outcome returns the outcome of a change, and whether it is known.
func (f *Fold) Outcome(id string) (Outcome, bool) {
	i := slices.IndexFunc(f.outcomes, func(o SavedOutcome) bool { return o.ID == id })
	if i < 0 {
		return Outcome{}, false
	}
	return f.outcomes[i].Outcome, true
}

// SkipTo records that the log has trimmed all records before first. If the fold
// had not applied all of them, it then needs a snapshot from the log or a Restore.
func (f *Fold) SkipTo(first uint64) {
	if first <= f.next && !f.awaitingSnapshot {
		return
	}
	f.awaitSnapshot(first)
}

// Interrupt records that the log has trimmed all records before first, the one before Next among
// them, so that it can't be told whether the next records follow those that were folded.
func (f *Fold) Interrupt(first uint64) { f.awaitSnapshot(max(first, f.next)) }

func (f *Fold) awaitSnapshot(first uint64) {
	f.awaitingSnapshot, f.firstKept = true, first
	if first > f.next || f.mark != 0 {
		f.next, f.mark = max(f.next, first), 0
	}
	f.snapshotParts = partBuffer{}
}

// Apply folds the record at offset. A record that was already folded is ignored.
// Apply returns ErrGap if the record at Next must come first. Any other error stops
// the fold permanently: a reader that skipped a record it cannot decode would
// diverge from its peers. Applying a snapshot can move Next back before offset.
func (f *Fold) Apply(offset uint64, raw []byte) error {
	switch {
	case f.stopErr != nil:
		return f.stopErr
	case offset < f.next:
		return nil
	case offset > f.next:
		return ErrGap
	}
	f.next, f.mark = offset+1, RecordMark(raw)
	f.passed.add(offset, f.mark)
	if err := f.apply(offset, raw); err != nil {
		f.stopErr = fmt.Errorf("configuration fold stopped at offset %d: %w", offset, err)
		return f.stopErr
	}
	return nil
}

// Skip advances over the record at offset without folding it. A peer has already
// folded it and found that it changes nothing. mark is the RecordMark of the record, 0 if the
// peer did not send it.
func (f *Fold) Skip(offset, mark uint64) error {
	switch {
	case f.stopErr != nil:
		return f.stopErr
	case offset > f.next:
		return ErrGap
	case offset == f.next:
		f.next, f.mark = offset+1, mark
		f.passed.add(offset, mark)
	}
	return nil
}

func (f *Fold) apply(offset uint64, raw []byte) error {
	var rec Record
	if _, err := rec.UnmarshalMsg(raw); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	if rec.Schema > RecordSchema {
		return fmt.Errorf("record of schema %d, this build knows %d", rec.Schema, RecordSchema)
	}
	if rec.Kind == RecordPresence {
		return nil // does not change the configuration; see Presence
	}
	if rec.Kind == RecordSnapshotPart || rec.Kind == RecordSnapshotCommit {
		return f.foldSnapshotRecord(offset, &rec)
	}
	if f.awaitingSnapshot {
		return nil
	}
	f.pendingParts.expire(offset)
	switch rec.Kind {
	case RecordChange:
		return f.foldChange(rec.Body)
	case RecordPart:
		var part Part
		if _, err := part.UnmarshalMsg(rec.Body); err != nil {
			return fmt.Errorf("part: %w", err)
		}
		f.pendingParts.add(offset, part)
		return nil
	case RecordCommit:
		return f.foldCommit(rec.Body)
	}
	for _, x := range f.extensions {
		if x.Kind() == rec.Kind {
			return x.Fold(offset, rec.Body)
		}
	}
	return fmt.Errorf("record of unknown kind %q", rec.Kind)
}

func (f *Fold) foldChange(body []byte) error {
	var ch Change
	if _, err := ch.UnmarshalMsg(body); err != nil {
		return fmt.Errorf("change: %w", err)
	}
	f.decideOnce(ch.ID, func() Outcome { return f.applyChange(&ch) })
	return nil
}

func (f *Fold) foldCommit(body []byte) error {
	var c Commit
	if _, err := c.UnmarshalMsg(body); err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	joined := f.pendingParts.take(c.ID, c.Parts, c.Digest)
	f.decideOnce(c.ID, func() Outcome {
		var ch Change
		if joined == nil {
			return f.rejection("parts are missing")
		}
		if _, err := ch.UnmarshalMsg(joined); err != nil || ch.ID != c.ID {
			return f.rejection("change in parts can't be decoded")
		}
		return f.applyChange(&ch)
	})
	return nil
}

// decideOnce records the outcome of a change unless the id already has one.
func (f *Fold) decideOnce(id string, decide func() Outcome) {
	if _, known := f.Outcome(id); known {
		return
	}
	o := decide()
	if len(f.outcomes) == maxOutcomes {
		f.outcomes = slices.Delete(f.outcomes, 0, 1)
	}
	f.outcomes = append(f.outcomes, SavedOutcome{ID: id, Outcome: o})
}

// rejection returns the outcome of a change that is refused for the given reason.
func (f *Fold) rejection(format string, args ...any) Outcome {
	o := Outcome{Reason: fmt.Sprintf(format, args...)}
	if f.current != nil {
		o.Version, o.Winner = f.current.Version, f.current.ID
	}
	return o
}

// applyChange makes the result of ch the version in force, if the base of ch is the
// version in force and its digest is that of the result.
func (f *Fold) applyChange(ch *Change) Outcome {
	var version, digest uint64
	var base *Config
	if f.current != nil {
		version, digest, base = f.current.Version, f.current.Digest, f.current.Config
	}
	if ch.Base == VoidBase {
		return f.rejection("%s", ReasonVoided)
	}
	if ch.Base != version {
		return f.rejection("base is version %d, in force is %d", ch.Base, version)
	}
	c, digest := ch.Delta.Apply(base, digest)
	if digest != ch.Digest {
		return f.rejection("digest of the result differs")
	}
	f.current, f.recovered = f.current.successor(version+1, ch.ID, digest, c), false
	return Outcome{Accepted: true, Version: f.current.Version}
}

// Extension returns the extension that folds the records of a kind, or nil.
func (f *Fold) Extension(kind string) Extension {
	i := slices.IndexFunc(f.extensions, func(x Extension) bool { return x.Kind() == kind })
	if i < 0 {
		return nil
	}
	return f.extensions[i]
}

// StopError returns the error that stopped the fold, or nil while it runs.
func (f *Fold) StopError() error { return f.stopErr }

// OldestOutcome returns the id of the oldest change whose outcome is kept. full
// reports whether older outcomes may have been evicted.
func (f *Fold) OldestOutcome() (id string, full bool) {
	if len(f.outcomes) == 0 {
		return "", false
	}
	return f.outcomes[0].ID, len(f.outcomes) == maxOutcomes
}
