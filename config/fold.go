package config

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Outcome is what the fold made of a change.
type Outcome struct {
	Accepted bool
	Version  uint64 // in force after the change
	Winner   string // id of the change in force, when refused
	Reason   string
}

// Fold turns log records, in the log's order, into versions. Every reader that
// folds the same records reaches the same state.
type Fold struct {
	current  *Snapshot
	outcomes map[string]Outcome // by change id
	stopped  error
}

// NewFold returns the state before the first record.
func NewFold() *Fold {
	return &Fold{outcomes: make(map[string]Outcome)}
}

// Current returns the version in force, nil before the first change.
func (f *Fold) Current() *Snapshot { return f.current }

// Outcome returns what became of a change.
func (f *Fold) Outcome(id string) (Outcome, bool) {
	o, ok := f.outcomes[id]
	return o, ok
}

// Apply folds one record. An error stops the fold for good: a reader that
// skipped a record it does not understand would go on with another state than
// its peers.
func (f *Fold) Apply(raw []byte) error {
	if f.stopped != nil {
		return f.stopped
	}
	if err := f.apply(raw); err != nil {
		f.stopped = fmt.Errorf("configuration fold stopped: %w", err)
		return f.stopped
	}
	return nil
}

func (f *Fold) apply(raw []byte) error {
	var rec Record
	if _, err := rec.UnmarshalMsg(raw); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	if rec.Schema <= RecordSchema && rec.Kind == RecordPresence {
		return nil // read by agents, see Presence
	}
	if rec.Schema > RecordSchema || rec.Kind != RecordChange {
		return fmt.Errorf("record of schema %d, kind %q: this build knows schema %d", rec.Schema, rec.Kind, RecordSchema)
	}
	var ch Change
	if _, err := ch.UnmarshalMsg(rec.Body); err != nil {
		return fmt.Errorf("change: %w", err)
	}
	if _, seen := f.outcomes[ch.ID]; seen {
		return nil
	}
	f.outcomes[ch.ID] = f.change(&ch)
	return nil
}

func (f *Fold) change(ch *Change) Outcome {
	version, winner := uint64(0), ""
	if f.current != nil {
		version, winner = f.current.Version, f.current.ID
	}
	refuse := func(reason string) Outcome {
		return Outcome{Version: version, Winner: winner, Reason: reason}
	}
	if ch.Base != version {
		return refuse(fmt.Sprintf("base is version %d, in force is %d", ch.Base, version))
	}
	if xxhash.Sum64(ch.Config) != ch.Digest {
		return refuse("digest differs")
	}
	c := new(Config)
	if _, err := c.UnmarshalMsg(ch.Config); err != nil {
		return refuse("configuration can't be decoded")
	}
	f.current = NewSnapshot(version+1, ch.ID, ch.Digest, c)
	return Outcome{Accepted: true, Version: f.current.Version}
}

// NewChange encodes a change record for the log.
func NewChange(id string, base uint64, c *Config) ([]byte, error) {
	encoded, digest, err := Encode(c)
	if err != nil {
		return nil, err
	}
	ch := Change{ID: id, Base: base, Digest: digest, Config: encoded}
	body, err := ch.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	rec := Record{Schema: RecordSchema, Kind: RecordChange, Body: body}
	raw, err := rec.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return raw, nil
}
