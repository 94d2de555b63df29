package serving

import (
	"context"
	"errors"
	"time"
)

// Topic names one kind of record in the platform's store.
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

// ErrTrimmed: the store no longer keeps the records that were asked for.
var ErrTrimmed = errors.New("store has dropped the records asked for")

// Record is the newest record of a key.
type Record struct {
	Key    string
	Value  []byte // empty: the key is gone
	Offset uint64
}

// Store is what the platform keeps for us.
type Store interface {
	// Newest returns the newest record of each key, and the offset from which
	// changes are to be read.
	Newest(ctx context.Context, t Topic) ([]Record, uint64, error)
	// Changes returns the records from an offset on, at once if there are any, and
	// else after wait; and the offset to go on from.
	Changes(ctx context.Context, t Topic, from uint64, wait time.Duration) ([]Record, uint64, error)
	// Put writes the record of a key.
	Put(ctx context.Context, t Topic, key string, value []byte) error
}

// Replica is a process's copy of one topic. News may come from the store or from
// a peer, in any order, late and doubled: a key's record is replaced by one with
// a higher offset only, so nothing known is ever replaced by something older.
type Replica struct {
	same    func(key string, old, new []byte) bool
	records map[string]Record
	next    uint64 // all records before it are known
	// base is the offset from which on removals are known: the newest records of all
	// keys do not tell what was removed before they were read.
	base      uint64
	loaded    bool
	permanent bool
}

// ReplicaUpdate are what one replica tells another.
type ReplicaUpdate struct {
	Records []Record
	// FromOffset is the offset that the other one was to have; 0 if Full.
	FromOffset uint64
	NextOffset uint64 // all records before it are told or were known
	// Full tells that these are the newest records of all keys that exist.
	Full bool
}

// NewReplica returns an empty copy. same tells whether two records of a key mean
// the same, as those do that a target writes only to show that it lives: the
// second is then no news, and peers need not hear of it. nil: all are news.
func NewReplica(same func(key string, old, new []byte) bool) *Replica {
	return &Replica{same: same, records: make(map[string]Record)}
}

// NewPermanentReplica returns an empty copy of a topic whose keys are never removed.
func NewPermanentReplica() *Replica {
	r := NewReplica(nil)
	r.permanent = true
	return r
}

// IsLoaded tells whether the whole topic has been seen once.
func (r *Replica) IsLoaded() bool { return r.loaded }

// MarkEmpty notes that the whole topic was seen and had no records.
//
// Failure: all entries start before the first configuration is written. Symptom: there is nothing
// that one could tell the others, so each reads each empty topic from the store itself.
func (r *Replica) MarkEmpty() { r.loaded = true }

// NextOffset returns the offset up to which all records are known.
func (r *Replica) NextOffset() uint64 { return r.next }

// Apply takes records up to an offset and returns those that were news.
func (r *Replica) Apply(records []Record, next uint64) []Record {
	var news []Record
	for _, rec := range records {
		if r.put(rec) {
			news = append(news, rec)
		}
	}
	r.next = max(r.next, next)
	return news
}

func (r *Replica) put(rec Record) bool {
	old, ok := r.records[rec.Key]
	if ok && (old.Offset >= rec.Offset || r.means(old, rec)) {
		return false
	}
	r.records[rec.Key] = rec
	return true
}

func (r *Replica) means(old, rec Record) bool {
	return r.same != nil && len(old.Value) > 0 && len(rec.Value) > 0 && r.same(rec.Key, old.Value, rec.Value)
}

// ApplySnapshot takes the newest records of all keys, as of an offset; keys that are not
// among them, and are not newer than that offset, are gone. It returns the news,
// removals among them.
func (r *Replica) ApplySnapshot(records []Record, end uint64) []Record {
	seen := make(map[string]bool, len(records))
	for _, rec := range records {
		seen[rec.Key] = true
	}
	news := r.Apply(records, end)
	for key, old := range r.records {
		if !seen[key] && len(old.Value) > 0 && old.Offset < end {
			gone := Record{Key: key, Offset: old.Offset}
			r.records[key] = gone
			news = append(news, gone)
		}
	}
	r.loaded = true
	if !r.permanent {
		r.base = max(r.base, end)
	}
	return news
}

// UpdateSince returns what a peer lacks which knows all before an offset.
//
// Failure: a target's record is removed, an entry starts and reads the newest records,
// and a peer that has not read since asks it. Symptom: the peer takes over the
// newcomer's offset without the removal, which nobody tells it any more, and sends to
// the target until that is off. So a peer that lacks removals of before the base gets
// all records that exist, and sees by them what is gone.
func (r *Replica) UpdateSince(next uint64) ReplicaUpdate {
	n := ReplicaUpdate{FromOffset: next, NextOffset: r.next}
	if next >= r.next {
		return n
	}
	if next < r.base {
		n.FromOffset, n.Full = 0, true
	}
	for _, rec := range r.records {
		if n.Full && len(rec.Value) > 0 || !n.Full && rec.Offset >= next {
			n.Records = append(n.Records, rec)
		}
	}
	return n
}

// ApplyUpdate takes a peer's news. They are refused, with no news, if there is a gap between
// what is known and what they lead on from.
func (r *Replica) ApplyUpdate(n ReplicaUpdate) []Record {
	switch {
	case n.Full && n.NextOffset <= r.next:
		return nil // they are older than what is known
	case n.Full:
		return r.ApplySnapshot(n.Records, n.NextOffset)
	case n.FromOffset > r.next:
		return nil
	}
	news := r.Apply(n.Records, n.NextOffset)
	if n.NextOffset > 0 {
		r.loaded = true
	}
	return news
}
