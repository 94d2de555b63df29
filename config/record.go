package config

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o record_gen.go

// The limit also holds for byte strings: a record's body is larger than MaxRecordBytes.
//msgp:limit arrays:1048576 maps:131072

// RecordSchema is the newest record schema that this build understands.
const RecordSchema = 1

// Kinds of records. An Extension brings kinds of its own.
const (
	RecordChange         = "change"          // Change
	RecordPart           = "part"            // Part of a Change that is too large for a record
	RecordCommit         = "commit"          // Commit of a Change in parts
	RecordSnapshotPart   = "snapshot-part"   // Part of a saved State
	RecordSnapshotCommit = "snapshot-commit" // SnapshotCommit
)

// Bounds of what is on the log, in bytes and counts.
const (
	MaxRecordBytes = 128 << 10 // body of one record
	MaxParts       = 96        // of one change or snapshot: 12 MB, twice what 38,000 new teams take
)

// VoidBase is a base that no version ever has. A change on it settles its id: if
// the change of that id is not on the log yet, it never takes effect.
const VoidBase = math.MaxUint64

// ReasonVoided is the outcome's reason then.
const ReasonVoided = "it had not reached the log, and never takes effect now"

// Record is what the log holds.
type Record struct {
	Schema uint32 `msg:"s"`
	Kind   string `msg:"k"`
	Body   []byte `msg:"b"`
}

// Change replaces a base version by another one.
type Change struct {
	ID     string `msg:"id"`
	Base   uint64 `msg:"b"` // version that it builds on
	Digest uint64 `msg:"d"` // of the whole result, see Digest
	Delta  Delta  `msg:"c"`
}

// Delta is what a change does to its base: its size is that of the difference.
type Delta struct {
	Whole  bool     `msg:"w"` // the base's sections don't stay
	Put    Config   `msg:"p"` // sections added or replaced
	Remove []string `msg:"r"` // titles of removed sections, for example "team a"
}

// Part is a piece of something too large for a record. Without its commit it
// means nothing.
type Part struct {
	ID    string `msg:"id"`
	Index int    `msg:"i"`
	Data  []byte `msg:"d"`
}

// Commit makes the parts of a change take effect, at the commit's place.
type Commit struct {
	ID     string `msg:"id"`
	Parts  int    `msg:"n"`
	Digest uint64 `msg:"d"` // xxhash64 of all parts joined
}

// SnapshotCommit makes the parts of a saved state usable as a start.
type SnapshotCommit struct {
	ID     string `msg:"id"`
	Parts  int    `msg:"n"`
	Digest uint64 `msg:"d"`
	Upto   uint64 `msg:"u"` // offset of the first record that the state does not hold
}

// State is all that a fold knows after the records before Next.
type State struct {
	Next       uint64         `msg:"n"`
	Version    uint64         `msg:"v"`
	ID         string         `msg:"id"`
	Digest     uint64         `msg:"d"`
	Config     Config         `msg:"c"`
	Outcomes   []SavedOutcome `msg:"o"` // oldest first
	Pending    []SavedParts   `msg:"p"` // oldest first
	Extensions []SavedBytes   `msg:"x"` // in the order of the extensions
}

// SavedOutcome is what became of one change.
type SavedOutcome struct {
	ID      string  `msg:"i"`
	Outcome Outcome `msg:"o"`
}

// SavedParts is a change in parts whose commit was not seen yet.
type SavedParts struct {
	ID    string `msg:"i"`
	Begin uint64 `msg:"b"` // offset of the first part
	Parts []Part `msg:"p"` // by index
}

// SavedBytes is the state of an extension.
type SavedBytes struct {
	Kind string `msg:"k"`
	Data []byte `msg:"d"`
}

// Outcome is what the fold made of a change.
type Outcome struct {
	Accepted bool   `msg:"a"`
	Version  uint64 `msg:"v"` // in force after the change
	Winner   string `msg:"w"` // id of the change in force, when refused
	Reason   string `msg:"r"`
}

// marshaler is a message of the schema.
type marshaler interface {
	MarshalMsg([]byte) ([]byte, error)
}

// NewRecord encodes a record for the log.
func NewRecord(kind string, msg marshaler) ([]byte, error) {
	body, err := msg.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", kind, err)
	}
	rec := Record{Schema: RecordSchema, Kind: kind, Body: body}
	raw, err := rec.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return raw, nil
}

// NewChange encodes a change that replaces the whole configuration. It must fit
// into one record; ChangeRecords splits larger ones.
func NewChange(id string, base uint64, c *Config) ([]byte, error) {
	return NewRecord(RecordChange, &Change{ID: id, Base: base, Digest: Digest(c), Delta: Delta{Whole: true, Put: *c}})
}

// ChangeRecords encodes a change as one record, or as parts and their commit.
func ChangeRecords(ch *Change) ([][]byte, error) {
	body, err := ch.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	if len(body) <= MaxRecordBytes {
		raw, err := NewRecord(RecordChange, ch)
		return [][]byte{raw}, err
	}
	records, n, err := split(RecordPart, ch.ID, body)
	if err != nil {
		return nil, err
	}
	commit, err := NewRecord(RecordCommit, &Commit{ID: ch.ID, Parts: n, Digest: xxhash.Sum64(body)})
	return append(records, commit), err
}

// SnapshotRecords encodes a saved state as parts and their commit.
func SnapshotRecords(id string, saved []byte, upto uint64) ([][]byte, error) {
	records, n, err := split(RecordSnapshotPart, id, saved)
	if err != nil {
		return nil, err
	}
	commit, err := NewRecord(RecordSnapshotCommit,
		&SnapshotCommit{ID: id, Parts: n, Digest: xxhash.Sum64(saved), Upto: upto})
	return append(records, commit), err
}

func split(kind, id string, body []byte) ([][]byte, int, error) {
	n := (len(body) + MaxRecordBytes - 1) / MaxRecordBytes
	if n > MaxParts {
		return nil, 0, fmt.Errorf("%s of %d bytes needs %d parts, at most %d are allowed", kind, len(body), n, MaxParts)
	}
	var records [][]byte
	for i := range n {
		data := body[i*MaxRecordBytes : min((i+1)*MaxRecordBytes, len(body))]
		raw, err := NewRecord(kind, &Part{ID: id, Index: i, Data: data})
		if err != nil {
			return nil, 0, err
		}
		records = append(records, raw)
	}
	return records, n, nil
}
