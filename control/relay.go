package control

import (
	"github.com/heatherrail/heatherrail/config"
)

// Bounds of the records that are kept for peers.
const (
	relayRecords = 1024
	relayBytes   = 1 << 20
	relayPage    = 256 << 10 // bytes in one reply
)

// relay keeps the newest folded records for peers that follow this process.
type relay struct {
	first   uint64
	records [][]byte
	bytes   int
}

// add keeps the record at an offset. Parts of snapshots and presences are kept
// empty: who follows a peer gets a whole state in another way and reads
// presences from the log; 38,000 teams' worth of parts, and a presence of each of
// 1,500 processes every two minutes, would use up the budget of every node.
func (r *relay) add(offset uint64, raw []byte) {
	if offset != r.next() {
		*r = relay{first: offset}
	}
	raw = slim(raw)
	r.records = append(r.records, raw)
	r.bytes += len(raw)
	for len(r.records) > relayRecords || (r.bytes > relayBytes && len(r.records) > 1) {
		r.bytes -= len(r.records[0])
		r.records[0] = nil
		r.records = r.records[1:]
		r.first++
	}
}

func (r *relay) next() uint64 { return r.first + uint64(len(r.records)) }

// has reports whether a follower can go on from an offset.
func (r *relay) has(from uint64) bool { return from >= r.first && from <= r.next() }

// page returns records from an offset on, bounded in bytes.
func (r *relay) page(from uint64) [][]byte {
	if from < r.first || from >= r.next() {
		return nil
	}
	rest := r.records[from-r.first:]
	size := 0
	for i, raw := range rest {
		if size += len(raw); size > relayPage && i > 0 {
			return rest[:i]
		}
	}
	return rest
}

// slim returns an empty record for one that changes nothing in a fold.
func slim(raw []byte) []byte {
	var rec config.Record
	_, err := rec.UnmarshalMsg(raw)
	if err == nil && (rec.Kind == config.RecordSnapshotPart || rec.Kind == config.RecordPresence) {
		return nil
	}
	return raw
}
