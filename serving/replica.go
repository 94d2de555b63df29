package serving

import (
	"context"
	"errors"
	"time"
)

// Topic is one kind of record in the platform's store.
type Topic uint8

// Topics.
const (
	TopicConfig  Topic = iota // the accepted configuration
	TopicTargets              // a record for each target
	TopicEntries              // a record for each entry process
	topicCount
)

// NumTopics is the number of topics.
const NumTopics = int(topicCount)

// String returns the name used in logs.
func (t Topic) String() string {
	return [...]string{"config", "targets", "entries"}[t]
}

// ErrTrimmed is returned for a read from an offset whose records the store no longer holds.
var ErrTrimmed = errors.New("store no longer holds the requested records")

// Record is the newest record of a key.
type Record struct {
	Key    string
	Value  []byte // empty: the key has been removed
	Offset uint64
}

// Store is the platform's store of keyed records.
type Store interface {
	// Newest returns the newest record of each key and the offset from which to read changes.
	Newest(ctx context.Context, t Topic) ([]Record, uint64, error)
	// Changes returns the records from an offset on, and the offset from which to continue. It
	// returns at once if there are any, and otherwise waits up to the time wait for one.
	Changes(ctx context.Context, t Topic, from uint64, wait time.Duration) ([]Record, uint64, error)
	// Put writes the record of a key.
	Put(ctx context.Context, t Topic, key string, value []byte) error
}

// Replica is a process's copy of one topic. Updates come from the store or from a peer, in any
// order, late or duplicated. A key's record is replaced only by one with a higher offset, so a
// newer record is never replaced by an older one.
type Replica struct {
	equivalent func(key string, old, new []byte) bool
	records    map[string]Record
	nextOffset uint64 // all records before this offset are known
	// removalsKnownFrom is the offset from which on this replica knows all removals. Earlier
	// removals are unknown, because a snapshot does not contain the removals that happened
	// before the snapshot was read.
	removalsKnownFrom uint64
	loaded            bool
	permanent         bool
}

// ReplicaUpdate is an update that one replica sends to another.
type ReplicaUpdate struct {
	Records []Record
	// FromOffset is the offset before which the receiver must know all records; 0 if Full.
	FromOffset uint64
	NextOffset uint64 // offset before which the receiver knows all records once the update is applied
	// Full means that Records holds the newest records of all existing keys.
	Full bool
}

// NewReplica returns an empty replica. equivalent reports whether two records of a key
// have the same meaning, as with records that a target writes only as heartbeats. A
// record that is equivalent to the known one is not a change and is not sent to peers.
// If equivalent is nil, every record is a change.
func NewReplica(equivalent func(key string, old, new []byte) bool) *Replica {
	return &Replica{equivalent: equivalent, records: make(map[string]Record)}
}

// NewPermanentReplica returns an empty replica of a topic whose keys are never removed.
func NewPermanentReplica() *Replica {
	r := NewReplica(nil)
	r.permanent = true
	return r
}

// IsLoaded reports whether the whole topic has been read at least once.
func (r *Replica) IsLoaded() bool { return r.loaded }

// MarkEmpty records that the whole topic was read and held no records. Otherwise entries that
// start before the first configuration is written could not notify each other of the empty
// topic, and each of them would read it from the store.
func (r *Replica) MarkEmpty() { r.loaded = true }

// NextOffset returns the offset before which all records are known.
func (r *Replica) NextOffset() uint64 { return r.nextOffset }

// Apply merges records read up to an offset and returns those that are changes.
func (r *Replica) Apply(records []Record, nextOffset uint64) []Record {
	var changes []Record
	for _, rec := range records {
		if r.put(rec) {
			changes = append(changes, rec)
		}
	}
	r.nextOffset = max(r.nextOffset, nextOffset)
	return changes
}

func (r *Replica) put(rec Record) bool {
	known, ok := r.records[rec.Key]
	if ok && (known.Offset >= rec.Offset || r.isEquivalent(known, rec)) {
		return false
	}
	r.records[rec.Key] = rec
	return true
}

func (r *Replica) isEquivalent(known, rec Record) bool {
	return r.equivalent != nil && len(known.Value) > 0 && len(rec.Value) > 0 && r.equivalent(rec.Key, known.Value, rec.Value)
}

// ApplySnapshot merges a snapshot: the newest records of all keys as of an offset. A
// key that is missing from the snapshot is removed if its known record is older than
// that offset. The result is the list of changes, including removals.
func (r *Replica) ApplySnapshot(records []Record, end uint64) []Record {
	seen := make(map[string]bool, len(records))
	for _, rec := range records {
		seen[rec.Key] = true
	}
	changes := r.Apply(records, end)
	for key, known := range r.records {
		if !seen[key] && len(known.Value) > 0 && known.Offset < end {
			removal := Record{Key: key, Offset: known.Offset}
			r.records[key] = removal
			changes = append(changes, removal)
		}
	}
	r.loaded = true
	if !r.permanent {
		r.removalsKnownFrom = max(r.removalsKnownFrom, end)
	}
	return changes
}

// UpdateSince returns the update for a peer that knows all records before an offset.
//
// An entry that starts after a target's record was removed reads a snapshot without that
// removal. A peer that took over the entry's offset without the removal would never learn of
// it, and would send requests to the target until the target is off. So a peer behind
// removalsKnownFrom gets all existing records, and removes the keys that are missing from
// them.
func (r *Replica) UpdateSince(nextOffset uint64) ReplicaUpdate {
	update := ReplicaUpdate{FromOffset: nextOffset, NextOffset: r.nextOffset}
	if nextOffset >= r.nextOffset {
		return update
	}
	if nextOffset < r.removalsKnownFrom {
		update.FromOffset, update.Full = 0, true
	}
	for _, rec := range r.records {
		if update.Full && len(rec.Value) > 0 || !update.Full && rec.Offset >= nextOffset {
			update.Records = append(update.Records, rec)
		}
	}
	return update
}

// ApplyUpdate merges a peer's update and returns the changes. An update that begins after the
// known records is ignored, because records in the gap would be missed.
func (r *Replica) ApplyUpdate(update ReplicaUpdate) []Record {
	switch {
	case update.Full && update.NextOffset <= r.nextOffset:
		return nil // the update is superseded
	case update.Full:
		return r.ApplySnapshot(update.Records, update.NextOffset)
	case update.FromOffset > r.nextOffset:
		return nil
	}
	changes := r.Apply(update.Records, update.NextOffset)
	if update.NextOffset > 0 {
		r.loaded = true
	}
	return changes
}
