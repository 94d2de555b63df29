package config

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o record_gen.go

// The array limit also holds for byte strings. It exceeds MaxRecordBytes because the body of a
// record that holds a full part is slightly larger than MaxRecordBytes.
//msgp:limit arrays:1048576 maps:131072

// RecordSchema is the newest record schema that this build understands.
const RecordSchema = 1

// Kinds of records. Extensions add further kinds.
const (
	RecordChange         = "change"          // a whole Change in one record
	RecordPart           = "part"            // one Part of a Change that is too large for one record
	RecordCommit         = "commit"          // the Commit that makes a Change in parts take effect
	RecordSnapshotPart   = "snapshot-part"   // one Part of a saved State
	RecordSnapshotCommit = "snapshot-commit" // the SnapshotCommit that completes the parts of a saved State
)

// Size limits of records on the log.
const (
	MaxRecordBytes = 128 << 10 // bytes of the body of one record
	MaxParts       = 96        // parts of one change or snapshot: 12 MB, twice the size of 38,000 new teams
)

// VoidBase is a base version that no version ever has. A change with this base
// voids its id: if the real change of that id is not on the log yet, it never takes
// effect.
const VoidBase = math.MaxUint64

// ReasonVoided is the Outcome.Reason of a voided change.
const ReasonVoided = "it had not reached the log, and never takes effect now"

// Record is one record of the log.
type Record struct {
	Schema uint32 `msg:"s"`
	Kind   string `msg:"k"`
	Body   []byte `msg:"b"`
	Nonce  uint64 `msg:"n"` // random: no two appends have equal records, so equal records are the same append
}

// RecordMark returns the hash of a record on the log. Since records differ by their Nonce, a
// record with the same mark at the same offset shows that the records before it are the same too.
func RecordMark(raw []byte) uint64 { return max(xxhash.Sum64(raw), 1) }

// Change turns a base version into the next version.
type Change struct {
	ID     string `msg:"id"`
	Base   uint64 `msg:"b"` // version to which the delta applies
	Digest uint64 `msg:"d"` // digest of the resulting configuration; see Digest
	Delta  Delta  `msg:"c"`
}

// Delta is the difference between two configurations. Its size grows with the
// difference, not with the configuration.
type Delta struct {
	Whole  bool     `msg:"w"` // drop all sections of the base configuration first
	Put    Config   `msg:"p"` // sections added or replaced
	Remove []string `msg:"r"` // titles of removed sections, for example "team a"
}

// Part is one piece of a message too large for one record. Parts have no effect
// without their commit record.
type Part struct {
	ID    string `msg:"id"`
	Index int    `msg:"i"`
	Data  []byte `msg:"d"`
}

// PartID is the id alone of an encoded Part.
type PartID struct {
	ID string `msg:"id"`
}

// Commit makes a change in parts take effect, at the offset of the commit.
type Commit struct {
	ID     string `msg:"id"`
	Parts  int    `msg:"n"`
	Digest uint64 `msg:"d"` // xxhash64 of the joined parts
}

// SnapshotCommit completes the parts of a saved state, from which a reader can start.
type SnapshotCommit struct {
	ID     string `msg:"id"`
	Parts  int    `msg:"n"`
	Digest uint64 `msg:"d"`
	Upto   uint64 `msg:"u"` // offset of the first record not included in the state
	Mark   uint64 `msg:"m"` // RecordMark of the record before Upto; 0: unknown
	Mode   string `msg:"r"` // RecoveryMerge or RecoveryReset; empty: a snapshot
}

// State is the whole state of a fold that has applied all log records before offset Next.
type State struct {
	Next       uint64         `msg:"n"`
	Version    uint64         `msg:"v"`
	ID         string         `msg:"id"`
	Digest     uint64         `msg:"d"`
	Config     Config         `msg:"c"`
	Outcomes   []SavedOutcome `msg:"o"` // outcomes of the latest changes, oldest first
	Pending    []SavedParts   `msg:"p"` // parts of changes without their commit record, oldest first
	Extensions []SavedBytes   `msg:"x"` // states of the extensions, in the order given to NewFold
	Mark       uint64         `msg:"m"` // RecordMark of the record before Next; 0: unknown
	Recoveries uint64         `msg:"e"` // recoveries folded so far
	Recovered  bool           `msg:"y"` // the configuration comes from a recovery
}

// SavedOutcome is the outcome of one change, with its id.
type SavedOutcome struct {
	ID      string  `msg:"i"`
	Outcome Outcome `msg:"o"`
}

// SavedParts is a change in parts whose commit record has not been folded yet.
type SavedParts struct {
	ID    string `msg:"i"`
	Begin uint64 `msg:"b"` // log offset of the first part
	Parts []Part `msg:"p"` // sorted by index
}

// SavedBytes is the saved state of an extension.
type SavedBytes struct {
	Kind string `msg:"k"`
	Data []byte `msg:"d"`
}

// Outcome is the result of folding a change.
type Outcome struct {
	Accepted bool   `msg:"a"`
	Version  uint64 `msg:"v"` // version in force after the change
	Winner   string `msg:"w"` // if refused: id of the change in force
	Reason   string `msg:"r"`
}

// marshaler is a message that msgp can encode.
type marshaler interface {
	MarshalMsg([]byte) ([]byte, error)
}

// NewRecord encodes a record for the log.
func NewRecord(kind string, msg marshaler) ([]byte, error) {
	body, err := msg.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", kind, err)
	}
	return encodeRecord(&Record{Schema: RecordSchema, Kind: kind, Body: body})
}

func encodeRecord(rec *Record) ([]byte, error) {
	rec.Nonce = rand.Uint64()
	raw, err := rec.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return raw, nil
}

// Renew returns a record with the same content and another Nonce, for a further append.
func Renew(raw []byte) ([]byte, error) {
	var rec Record
	if _, err := rec.UnmarshalMsg(raw); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return encodeRecord(&rec)
}

// NewChange encodes a change that replaces the whole configuration as one record.
// Use ChangeRecords for a change larger than MaxRecordBytes.
func NewChange(id string, base uint64, c *Config) ([]byte, error) {
	return NewRecord(RecordChange, &Change{ID: id, Base: base, Digest: Digest(c), Delta: Delta{Whole: true, Put: *c}})
}

// ChangeRecords encodes a change as one record, or as parts and a commit if it is
// larger than MaxRecordBytes.
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

// SnapshotRecords encodes a saved state as parts and a commit. upto is the offset of
// the first record not included in the state.
func SnapshotRecords(id string, saved []byte, upto uint64) ([][]byte, error) {
	return snapshotRecords(saved, SnapshotCommit{ID: id, Upto: upto})
}

// SnapshotAt encodes a saved state as SnapshotRecords does. at is the position of the state.
func SnapshotAt(id string, saved []byte, at Position) ([][]byte, error) {
	return snapshotRecords(saved, SnapshotCommit{ID: id, Upto: at.Next, Mark: at.Mark})
}

func snapshotRecords(saved []byte, c SnapshotCommit) ([][]byte, error) {
	records, n, err := split(RecordSnapshotPart, c.ID, saved)
	if err != nil {
		return nil, err
	}
	c.Parts, c.Digest = n, xxhash.Sum64(saved)
	commit, err := NewRecord(RecordSnapshotCommit, &c)
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
