package config

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Bounds on changes and snapshots whose commit was not seen yet. They go by the
// log's offsets, so all readers drop the same ones at the same place.
const (
	maxPending   = 2    // 24 MB at most
	pendingLife  = 4096 // records after the first part
	maxPartIndex = MaxParts - 1
)

// partSet gathers parts by id.
type partSet struct {
	sets []SavedParts // oldest first
}

// add keeps a part; a repeated one is ignored. The oldest set makes room for a new one.
func (p *partSet) add(offset uint64, part Part) {
	if part.Index < 0 || part.Index > maxPartIndex || len(part.Data) > MaxRecordBytes {
		return
	}
	i := p.find(part.ID)
	if i < 0 {
		if len(p.sets) == maxPending {
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

func (p *partSet) find(id string) int {
	return slices.IndexFunc(p.sets, func(s SavedParts) bool { return s.ID == id })
}

// take removes a set and returns its bytes, nil unless all n parts are there and
// match the digest.
func (p *partSet) take(id string, n int, digest uint64) []byte {
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

// expire drops sets that began too long before offset.
func (p *partSet) expire(offset uint64) {
	p.sets = slices.DeleteFunc(p.sets, func(s SavedParts) bool { return offset-s.Begin > pendingLife })
}
