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
	records [][]byte
	bytes   int
}

// add stores the record at an offset. Snapshot parts and presence records are stored
// empty: serveTail sends a whole state to a peer that needs one, and agents and entries
// read presence records from the log itself. The parts of 38,000 teams, and a presence
// record of each of 1,500 processes every two minutes, would exceed the control traffic
// budget of each node.
func (r *recordCache) add(offset uint64, raw []byte) {
	if offset != r.next() {
		*r = recordCache{first: offset}
	}
	raw = stripRecord(raw)
	r.records = append(r.records, raw)
	r.bytes += len(raw)
	for len(r.records) > maxCachedRecords || (r.bytes > maxCachedBytes && len(r.records) > 1) {
		r.bytes -= len(r.records[0])
		r.records[0] = nil
		r.records = r.records[1:]
		r.first++
	}
}

func (r *recordCache) next() uint64 { return r.first + uint64(len(r.records)) }

// canContinueFrom reports whether a follower can continue from an offset.
func (r *recordCache) canContinueFrom(from uint64) bool { return from >= r.first && from <= r.next() }

// page returns the records from an offset on, up to maxPageBytes.
func (r *recordCache) page(from uint64) [][]byte {
	if from < r.first || from >= r.next() {
		return nil
	}
	rest := r.records[from-r.first:]
	size := 0
	for i, raw := range rest {
		if size += len(raw); size > maxPageBytes && i > 0 {
			return rest[:i]
		}
	}
	return rest
}

// stripRecord returns an empty record in place of one that peers do not need for their
// fold.
func stripRecord(raw []byte) []byte {
	var rec config.Record
	_, err := rec.UnmarshalMsg(raw)
	if err == nil && (rec.Kind == config.RecordSnapshotPart || rec.Kind == config.RecordPresence) {
		return nil
	}
	return raw
}
