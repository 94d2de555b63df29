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

// Topics is the number of topics.
const Topics = int(topicCount)

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
	loaded  bool
}

// NewReplica returns an empty copy. same tells whether two records of a key mean
// the same, as those do that a target writes only to show that it lives: the
// second is then no news, and peers need not hear of it. nil: all are news.
func NewReplica(same func(key string, old, new []byte) bool) *Replica {
	return &Replica{same: same, records: make(map[string]Record)}
}

// Loaded tells whether the whole topic has been seen once.
func (r *Replica) Loaded() bool { return r.loaded }

// Next returns the offset up to which all records are known.
func (r *Replica) Next() uint64 { return r.next }

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

// Reset takes the newest records of all keys, as of an offset; keys that are not
// among them, and are not newer than that offset, are gone. It returns the news,
// removals among them.
func (r *Replica) Reset(records []Record, end uint64) []Record {
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
	return news
}

// Since returns the records that a peer lacks which knows all before an offset.
func (r *Replica) Since(next uint64) []Record {
	if next >= r.next {
		return nil
	}
	var list []Record
	for _, rec := range r.records {
		if rec.Offset >= next {
			list = append(list, rec)
		}
	}
	return list
}

// Adopt takes a peer's records: those since from, up to next. It is refused,
// with no news, if there is a gap between what is known and from.
func (r *Replica) Adopt(records []Record, from, next uint64) []Record {
	if from > r.next {
		return nil
	}
	news := r.Apply(records, next)
	if next > 0 {
		r.loaded = true
	}
	return news
}
