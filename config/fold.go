package config

import (
	"errors"
	"fmt"
	"slices"
)

// ErrGap: a record is missing before the one that was given to Apply.
var ErrGap = errors.New("log record out of order")

// Extension folds records of other kinds and is saved with the configuration.
// Every process must use the same extensions.
type Extension interface {
	// Kind names the records it folds.
	Kind() string
	// Fold takes one record's body. An error stops the whole fold.
	Fold(offset uint64, body []byte) error
	// Save returns the one encoding of its state; Restore takes it back.
	Save() ([]byte, error)
	Restore(saved []byte) error
}

// keptOutcomes is how many changes are remembered by id. A day at the coming size
// has 920; a resumed apply asks within minutes. Beyond it a repeated record is
// still harmless: its base has been overtaken.
const keptOutcomes = 1024

// Fold turns log records, in the log's order, into versions. Every reader reaches
// the same state, whether it began at the first record, at a snapshot on the log or
// with a peer's saved state.
type Fold struct {
	next       uint64
	seeking    bool   // records before seekFrom are lost: a snapshot is needed
	seekFrom   uint64 // first offset that the log still keeps
	current    *Snapshot
	outcomes   []SavedOutcome
	pending    partSet
	snapshots  partSet // only while seeking
	snapshotAt uint64  // Upto of the latest snapshot seen on the log
	extensions []Extension
	stopped    error
}

// NewFold returns the state before the first record of all.
func NewFold(extensions ...Extension) *Fold {
	return &Fold{extensions: extensions}
}

// Current returns the version in force, nil before the first change.
func (f *Fold) Current() *Snapshot { return f.current }

// Next returns the offset of the record that Apply wants.
func (f *Fold) Next() uint64 { return f.next }

// SnapshotOffset returns up to which offset the latest snapshot on the log reaches.
func (f *Fold) SnapshotOffset() uint64 { return f.snapshotAt }

// NeedsSnapshot reports that records were lost and a snapshot is needed. What was known
// before stays in force.
func (f *Fold) NeedsSnapshot() bool { return f.seeking }

// Outcome returns what became of a change.
func (f *Fold) Outcome(id string) (Outcome, bool) {
	i := slices.IndexFunc(f.outcomes, func(o SavedOutcome) bool { return o.ID == id })
	if i < 0 {
		return Outcome{}, false
	}
	return f.outcomes[i].Outcome, true
}

// SkipTo says that the log has dropped everything before first. The fold then
// waits for a snapshot on the log, or for Restore.
func (f *Fold) SkipTo(first uint64) {
	if first <= f.next && !f.seeking {
		return
	}
	f.seeking, f.seekFrom = true, first
	f.next = max(f.next, first)
	f.snapshots = partSet{}
}

// Apply folds the record at an offset. One that was folded before is ignored;
// ErrGap asks for the record at Next. Any other error stops the fold for good: a
// reader that skipped a record it does not understand would go on with another
// state than its peers. After a snapshot Next may lie before offset.
func (f *Fold) Apply(offset uint64, raw []byte) error {
	switch {
	case f.stopped != nil:
		return f.stopped
	case offset < f.next:
		return nil
	case offset > f.next:
		return ErrGap
	}
	f.next = offset + 1
	if err := f.apply(offset, raw); err != nil {
		f.stopped = fmt.Errorf("configuration fold stopped at offset %d: %w", offset, err)
		return f.stopped
	}
	return nil
}

// Skip steps over the record at an offset, which a peer has folded and found to
// change nothing.
func (f *Fold) Skip(offset uint64) error {
	switch {
	case f.stopped != nil:
		return f.stopped
	case offset > f.next:
		return ErrGap
	case offset == f.next:
		f.next++
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
		return nil // read by agents, see Presence
	}
	if rec.Kind == RecordSnapshotPart || rec.Kind == RecordSnapshotCommit {
		return f.snapshot(offset, &rec)
	}
	if f.seeking {
		return nil
	}
	f.pending.expire(offset)
	switch rec.Kind {
	case RecordChange:
		return f.whole(rec.Body)
	case RecordPart:
		var part Part
		if _, err := part.UnmarshalMsg(rec.Body); err != nil {
			return fmt.Errorf("part: %w", err)
		}
		f.pending.add(offset, part)
		return nil
	case RecordCommit:
		return f.commit(rec.Body)
	}
	for _, x := range f.extensions {
		if x.Kind() == rec.Kind {
			return x.Fold(offset, rec.Body)
		}
	}
	return fmt.Errorf("record of unknown kind %q", rec.Kind)
}

func (f *Fold) whole(body []byte) error {
	var ch Change
	if _, err := ch.UnmarshalMsg(body); err != nil {
		return fmt.Errorf("change: %w", err)
	}
	f.decide(ch.ID, func() Outcome { return f.change(&ch) })
	return nil
}

func (f *Fold) commit(body []byte) error {
	var c Commit
	if _, err := c.UnmarshalMsg(body); err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	joined := f.pending.take(c.ID, c.Parts, c.Digest)
	f.decide(c.ID, func() Outcome {
		var ch Change
		if joined == nil {
			return f.refuse("parts are missing")
		}
		if _, err := ch.UnmarshalMsg(joined); err != nil || ch.ID != c.ID {
			return f.refuse("change in parts can't be decoded")
		}
		return f.change(&ch)
	})
	return nil
}

// decide settles a change once: a repeated id keeps its first outcome.
func (f *Fold) decide(id string, change func() Outcome) {
	if _, seen := f.Outcome(id); seen {
		return
	}
	o := change()
	if len(f.outcomes) == keptOutcomes {
		f.outcomes = slices.Delete(f.outcomes, 0, 1)
	}
	f.outcomes = append(f.outcomes, SavedOutcome{ID: id, Outcome: o})
}

func (f *Fold) refuse(format string, args ...any) Outcome {
	o := Outcome{Reason: fmt.Sprintf(format, args...)}
	if f.current != nil {
		o.Version, o.Winner = f.current.Version, f.current.ID
	}
	return o
}

func (f *Fold) change(ch *Change) Outcome {
	var version, digest uint64
	var base *Config
	if f.current != nil {
		version, digest, base = f.current.Version, f.current.Digest, f.current.Config
	}
	if ch.Base == VoidBase {
		return f.refuse("%s", ReasonVoided)
	}
	if ch.Base != version {
		return f.refuse("base is version %d, in force is %d", ch.Base, version)
	}
	c, digest := ch.Delta.Apply(base, digest)
	if digest != ch.Digest {
		return f.refuse("digest of the result differs")
	}
	f.current = f.current.successor(version+1, ch.ID, digest, c)
	return Outcome{Accepted: true, Version: f.current.Version}
}

// StopError returns why the fold stopped, nil while it runs.
func (f *Fold) StopError() error { return f.stopped }

// OldestOutcome returns the id of the oldest change that is remembered, and whether
// older ones may have been forgotten.
func (f *Fold) OldestOutcome() (id string, full bool) {
	if len(f.outcomes) == 0 {
		return "", false
	}
	return f.outcomes[0].ID, len(f.outcomes) == keptOutcomes
}
