package config

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Limits on incomplete sets. A set holds the parts of a change or snapshot that is split
// over several records; it is incomplete until its commit record arrives. Expiry is
// counted in log offsets, so all readers drop the same sets at the same offset.
const (
	maxPendingSets    = 2    // number of incomplete sets that are kept; 24 MB at most
	pendingTTLRecords = 4096 // an incomplete set is dropped this many log records after its first part
	maxPartIndex      = MaxParts - 1
)

// partBuffer collects the parts of changes or snapshots by id.
type partBuffer struct {
	sets []SavedParts // oldest first
}

// add stores a part. It ignores a duplicate part and evicts the oldest set to make
// room for a new one.
func (p *partBuffer) add(offset uint64, part Part) {
	if part.Index < 0 || part.Index > maxPartIndex || len(part.Data) > MaxRecordBytes {
		return
	}
	i := p.find(part.ID)
	if i < 0 {
		if len(p.sets) == maxPendingSets {
			p.sets = slices.Delete(p.sets, 0, 1)
		}
		p.sets = append(p.sets, SavedParts{ID: part.ID, Begin: offset})
		i = len(p.sets) - 1
	}
	set := &p.sets[i]
	at, found := slices.BinarySearchFunc(set.Parts, part.Index, func(a Part, n int) int { return a.Index - n })
	if !found {
		set.Parts = slices.Insert(set.Parts, at, part)
	}
}

func (p *partBuffer) find(id string) int {
	return slices.IndexFunc(p.sets, func(s SavedParts) bool { return s.ID == id })
}

func (p *partBuffer) clone() partBuffer {
	sets := slices.Clone(p.sets)
	for i := range sets {
		sets[i].Parts = slices.Clone(sets[i].Parts)
	}
	return partBuffer{sets: sets}
}

// take removes a set and returns its joined bytes. It returns nil unless all n parts
// are present and match the digest.
func (p *partBuffer) take(id string, n int, digest uint64) []byte {
	i := p.find(id)
	if i < 0 {
		return nil
	}
	parts := p.sets[i].Parts
	p.sets = slices.Delete(p.sets, i, i+1)
	if n != len(parts) || n == 0 || parts[n-1].Index != n-1 {
		return nil
	}
	var body []byte
	for _, part := range parts {
		body = append(body, part.Data...)
	}
	if xxhash.Sum64(body) != digest {
		return nil
	}
	return body
}

// expire drops the sets whose first part is more than pendingTTLRecords before
// offset.
func (p *partBuffer) expire(offset uint64) {
	p.sets = slices.DeleteFunc(p.sets, func(s SavedParts) bool { return offset-s.Begin > pendingTTLRecords })
}
