package control

import (
	"github.com/heatherrail/heatherrail/config"
)

// Bounds of the records cached for peers.
const (
	maxCachedRecords = 1024
	maxCachedBytes   = 1 << 20
	maxPageBytes     = 256 << 10 // record bytes in one reply
)

// recordCache holds the newest folded records for peers that follow this process.
type recordCache struct {
	first   uint64
	records []cachedRecord
	bytes   int
	before  uint64 // mark of the record before first
}

type cachedRecord struct {
	raw  []byte // empty if the record does not change the state
	mark uint64
}

// add stores the record at a position. Snapshot parts and presence records are stored
// empty: serveTail sends a whole state to a peer that needs one, and agents and entries
// read presence records from the log itself. The parts of 38,000 teams, and a presence
// record of each of 1,500 processes every two minutes, would exceed the control traffic
// budget of each node.
func (r *recordCache) add(at config.Position, raw []byte, mark uint64) {
	if at.Next != r.next() || len(r.records) == 0 {
		*r = recordCache{first: at.Next, before: at.Mark}
	}
	raw = stripRecord(raw)
	r.records = append(r.records, cachedRecord{raw: raw, mark: mark})
	r.bytes += len(raw)
	for len(r.records) > maxCachedRecords || (r.bytes > maxCachedBytes && len(r.records) > 1) {
		r.bytes -= len(r.records[0].raw)
		r.before = r.records[0].mark
		r.records[0] = cachedRecord{}
		r.records = r.records[1:]
		r.first++
	}
}

func (r *recordCache) next() uint64 { return r.first + uint64(len(r.records)) }

// canContinueFrom reports whether a follower can continue from an offset.
func (r *recordCache) canContinueFrom(from uint64) bool { return from >= r.first && from <= r.next() }

// position returns the position before an offset from which a follower can continue.
func (r *recordCache) position(from uint64) config.Position {
	if from == r.first {
		return config.Position{Next: from, Mark: r.before}
	}
	return config.Position{Next: from, Mark: r.records[from-r.first-1].mark}
}

// page returns the records from an offset on, up to maxPageBytes, and the marks of the empty ones.
func (r *recordCache) page(from uint64) (records [][]byte, marks []uint64) {
	if from < r.first || from >= r.next() {
		return nil, nil
	}
	size := 0
	for _, c := range r.records[from-r.first:] {
		if size += len(c.raw); size > maxPageBytes && len(records) > 0 {
			break
		}
		if records = append(records, c.raw); len(c.raw) == 0 {
			marks = append(marks, c.mark)
		}
	}
	return records, marks
}

// stripRecord returns an empty record in place of one that peers do not need for their
// fold.
func stripRecord(raw []byte) []byte {
	var rec config.Record
	if _, err := rec.UnmarshalMsg(raw); err != nil {
		return raw
	}
	var part config.PartID
	switch rec.Kind {
	case config.RecordPresence:
		return nil
	case config.RecordSnapshotPart:
		if _, err := part.UnmarshalMsg(rec.Body); err == nil && !config.IsRecovery(part.ID) {
			return nil
		}
	}
	return raw
}
