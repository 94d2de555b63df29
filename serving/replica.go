package serving

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrail/heatherrail/internal/ablate"
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

// Errors of reads at a position whose records the store does not hold. The reader must read the newest
// records instead.
var (
	// ErrTrimmed means that the store has dropped the records, or has never had the position.
	ErrTrimmed = errors.New("store no longer holds the requested records")
	// ErrRestored means that the position is of an earlier era than the store.
	ErrRestored = errors.New("store has come back from an older copy")
)

// ErrEarlierEra is returned for a response of the store from an earlier era than a position that
// is already known.
var ErrEarlierEra = errors.New("response of the store is of an earlier era")

// Record is the newest record of a key.
type Record struct {
	Key    string
	Value  []byte // empty: the key has been removed
	Offset Position
}

// Store is the platform's store of keyed records.
type Store interface {
	// Newest returns the newest record of each key and the position from which to read changes.
	Newest(ctx context.Context, t Topic) ([]Record, Position, error)
	// Changes returns the records from a position on, and the position from which to continue. It
	// returns at once if there are any, and otherwise waits up to the time wait for one.
	Changes(ctx context.Context, t Topic, from Position, wait time.Duration) ([]Record, Position, error)
	// Put writes the record of a key.
	Put(ctx context.Context, t Topic, key string, value []byte) error
}

// Replica is a process's copy of one topic. Updates come from the store or from a peer, in any
// order, late or duplicated. A key's record is replaced only by one with a later position, so a
// newer record is never replaced by an older one.
//
// In a new era the store may hold older records than the replica, or none, until their writers have
// written them again. RestorePolicy says which records the replica keeps meanwhile. Kept records
// have positions of the earlier era, and reach peers with full updates.
type Replica struct {
	equivalent func(key string, old, new []byte) bool
	policy     RestorePolicy
	records    map[string]Record
	lost       map[string]Record // records that the copy with which an era began lacked, which does not show that they were removed
	nextOffset Position          // all records before this position are known
	// removalsKnownFrom is the position from which on this replica knows all removals. Earlier
	// removals are unknown, because a snapshot does not contain the removals that happened
	// before the snapshot was read.
	removalsKnownFrom Position
	// liveFrom is the position from which on all records have been written in the era. Earlier ones
	// may come from the copy with which the era began.
	liveFrom  Position
	kept      uint64 // hash of the records that are kept from earlier eras; 0: none
	loaded    bool
	permanent bool
}

// RestorePolicy says what a replica keeps of the records of an earlier era.
type RestorePolicy struct {
	// IsOlder reports whether the content of a record is certainly older than that of another one of
	// the same key, whatever their positions. nil: never.
	IsOlder func(key string, a, b []byte) bool
	// KeepMissing means that records that the new era lacks are kept, until DropKept.
	KeepMissing bool
	// IgnoreRemoved means that a key that was removed in the earlier era counts as removed until it
	// is written in the new one.
	IgnoreRemoved bool
}

// ReplicaUpdate is an update that one replica sends to another.
type ReplicaUpdate struct {
	Records []Record
	// FromOffset is the position before which the receiver must know all records; 0 if Full.
	FromOffset Position
	NextOffset Position // position before which the receiver knows all records once the update is applied
	// Full means that Records holds the newest records of all existing keys, and removals that end
	// records which the receiver may keep from an earlier era.
	Full     bool
	LiveFrom Position // see Replica
}

// NewReplica returns an empty replica. equivalent reports whether two records of a key
// have the same meaning, as with records that a target writes only as heartbeats. A
// record that is equivalent to the known one of the same era is not a change and is not
// sent to peers. If equivalent is nil, every record is a change.
func NewReplica(equivalent func(key string, old, new []byte) bool) *Replica {
	return &Replica{equivalent: equivalent, records: make(map[string]Record), lost: make(map[string]Record)}
}

// NewPermanentReplica returns an empty replica of a topic whose keys are never removed in an era.
func NewPermanentReplica() *Replica {
	r := NewReplica(nil)
	r.permanent = true
	return r
}

// SetRestorePolicy sets what the replica keeps of the records of an earlier era. Without a policy it
// keeps none.
func (r *Replica) SetRestorePolicy(p RestorePolicy) {
	if !ablate.Off(ablate.KeptRecords) {
		r.policy = p
	}
}

// IsLoaded reports whether the whole topic has been read at least once.
func (r *Replica) IsLoaded() bool { return r.loaded }

// MarkEmpty records that the whole topic was read at a position and held no records. Otherwise
// entries that start before the first configuration is written could not notify each other of the
// empty topic, and each of them would read it from the store.
func (r *Replica) MarkEmpty(next Position) {
	r.loaded = true
	r.nextOffset = max(r.nextOffset, next)
}

// NextOffset returns the position before which all records are known.
func (r *Replica) NextOffset() Position { return r.nextOffset }

// Kept returns a hash of the records that are kept from earlier eras; 0 if there are none. Two
// replicas with the same position and hash are equal.
func (r *Replica) Kept() uint64 { return r.kept }

// Apply merges records read up to a position in the era of the replica, and returns those that are
// changes.
func (r *Replica) Apply(records []Record, nextOffset Position) []Record {
	if EraOf(nextOffset) < EraOf(r.nextOffset) {
		return nil
	}
	changes := r.merge(records)
	r.nextOffset = max(r.nextOffset, nextOffset)
	r.hashKept()
	return changes
}

func (r *Replica) merge(records []Record) []Record {
	var changes []Record
	for _, rec := range records {
		if r.put(rec) {
			changes = append(changes, rec)
		}
	}
	return changes
}

func (r *Replica) put(rec Record) bool {
	known, ok := r.records[rec.Key]
	if lost, isLost := r.lost[rec.Key]; isLost {
		known, ok = lost, true
	}
	switch {
	case !ok:
	case EraOf(known.Offset) != EraOf(rec.Offset) && r.isOlder(rec, known):
		return false
	case EraOf(known.Offset) != EraOf(rec.Offset) && r.isOlder(known, rec):
	case known.Offset >= rec.Offset:
		return false
	case r.isEquivalent(known, rec) && EraOf(known.Offset) == EraOf(rec.Offset):
		return false
	case len(known.Value) == 0 && r.policy.IgnoreRemoved && EraOf(known.Offset) < EraOf(rec.Offset) && rec.Offset < r.liveFrom:
		return false
	}
	r.records[rec.Key] = rec
	delete(r.lost, rec.Key)
	return true
}

func (r *Replica) isEquivalent(known, rec Record) bool {
	return r.equivalent != nil && len(known.Value) > 0 && len(rec.Value) > 0 && r.equivalent(rec.Key, known.Value, rec.Value)
}

func (r *Replica) isOlder(a, b Record) bool {
	return r.policy.IsOlder != nil && len(a.Value) > 0 && len(b.Value) > 0 && r.policy.IsOlder(a.Key, a.Value, b.Value)
}

// ApplySnapshot merges a snapshot that was read from the store: the newest records of all keys as of
// a position. A key that is missing from the snapshot is removed if its known record is older than
// that position, unless it is kept from an earlier era. The result is the list of changes, including
// removals.
func (r *Replica) ApplySnapshot(records []Record, end Position) []Record {
	return r.applySnapshot(records, end, end)
}

func (r *Replica) applySnapshot(records []Record, end, liveFrom Position) []Record {
	if EraOf(end) < EraOf(r.nextOffset) {
		return nil
	}
	isNewEra := EraOf(end) > EraOf(r.nextOffset)
	if !r.loaded || isNewEra {
		r.liveFrom = liveFrom
		r.removalsKnownFrom = max(r.removalsKnownFrom, PositionAt(EraOf(end), 0))
	}
	seen := make(map[string]bool, len(records))
	for _, rec := range records {
		seen[rec.Key] = true
	}
	changes := r.merge(records)
	for key, known := range r.records {
		if seen[key] || len(known.Value) == 0 || known.Offset >= end || r.policy.KeepMissing && EraOf(known.Offset) < EraOf(end) {
			continue
		}
		changes = append(changes, r.remove(known))
		if isNewEra {
			delete(r.records, key)
			r.lost[key] = known
		}
	}
	r.nextOffset = max(r.nextOffset, end)
	r.loaded = true
	if !r.permanent {
		r.removalsKnownFrom = max(r.removalsKnownFrom, end)
	}
	r.hashKept()
	return changes
}

// remove removes a key that has no newer record and returns the change.
func (r *Replica) remove(known Record) Record {
	removal := Record{Key: known.Key, Offset: known.Offset}
	r.records[known.Key] = removal
	return removal
}

// DropKept removes the records that are kept from earlier eras, except those of some keys, and
// returns the changes.
func (r *Replica) DropKept(except func(key string) bool) []Record {
	var changes []Record
	for key, known := range r.records {
		if len(known.Value) > 0 && EraOf(known.Offset) < EraOf(r.nextOffset) && !except(key) {
			changes = append(changes, r.remove(known))
		}
	}
	r.hashKept()
	return changes
}

// hashKept computes the hash of the kept records.
func (r *Replica) hashKept() {
	r.kept = 0
	if EraOf(r.nextOffset) == 0 {
		return
	}
	for key, rec := range r.records {
		if len(rec.Value) > 0 && EraOf(rec.Offset) < EraOf(r.nextOffset) {
			r.kept ^= xxhash.Sum64String(key) + rec.Offset
		}
	}
}

// UpdateSince returns the update for a peer that knows all records before a position and keeps
// records of earlier eras with a hash.
//
// An entry that starts after a target's record was removed reads a snapshot without that
// removal. A peer that took over the entry's position without the removal would never learn of
// it, and would send requests to the target until the target is off. So a peer behind
// removalsKnownFrom gets all existing records, and removes the keys that are missing from
// them. A peer at the same position gets them if this replica keeps records that the peer lacks.
func (r *Replica) UpdateSince(nextOffset Position, kept uint64) ReplicaUpdate {
	update := ReplicaUpdate{FromOffset: nextOffset, NextOffset: r.nextOffset, LiveFrom: r.liveFrom}
	if !r.HasMoreThan(nextOffset, kept) {
		return update
	}
	if nextOffset < r.removalsKnownFrom || nextOffset == r.nextOffset {
		update.FromOffset, update.Full = 0, true
	}
	for _, rec := range r.records {
		if update.Full && (len(rec.Value) > 0 || r.endsKept(rec)) || !update.Full && rec.Offset >= nextOffset {
			update.Records = append(update.Records, rec)
		}
	}
	return update
}

// endsKept reports whether a removal ends a record that a peer may keep from an earlier era.
func (r *Replica) endsKept(removal Record) bool {
	return r.policy.KeepMissing && EraOf(removal.Offset) > 0 && EraOf(removal.Offset) == EraOf(r.nextOffset)
}

// HasMoreThan reports whether a peer lacks records of this replica. The peer knows all records before
// a position and keeps records of earlier eras with a hash.
func (r *Replica) HasMoreThan(nextOffset Position, kept uint64) bool {
	return HasMore(r.nextOffset, r.kept, nextOffset, kept)
}

// HasMore reports whether a replica has records that another one lacks, by the position and the hash
// of kept records of each.
func HasMore(next Position, kept uint64, otherNext Position, otherKept uint64) bool {
	return next > otherNext || next == otherNext && kept != 0 && kept != otherKept
}

// ApplyUpdate merges a peer's update and returns the changes. An update that begins after the
// known records is ignored, because records in the gap would be missed.
func (r *Replica) ApplyUpdate(update ReplicaUpdate) []Record {
	switch {
	case update.Full && update.NextOffset < r.nextOffset:
		return nil // the update is superseded
	case update.Full && update.NextOffset == r.nextOffset && r.loaded:
		return r.Apply(update.Records, update.NextOffset)
	case update.Full:
		return r.applySnapshot(update.Records, update.NextOffset, update.LiveFrom)
	case update.FromOffset > r.nextOffset:
		return nil
	}
	changes := r.Apply(update.Records, update.NextOffset)
	if update.NextOffset > 0 {
		r.loaded = true
	}
	return changes
}
