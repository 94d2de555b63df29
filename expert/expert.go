// Package expert holds the pure decisions on expert maps: which expert lives on
// which rank, when a move pays, which rank is slow, and how a rank group goes from
// one map to the next without ever mixing two in a step. Nothing here has a
// clock, socket, goroutine or global.
package expert

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// MapID is the digest of a map's content; 0 means that no map is known.
type MapID uint64

// Shape is the fixed geometry of a rank group.
type Shape struct {
	Ranks       int
	Layers      int
	Experts     int // a layer
	SlotsOfRank int // slots a layer on each rank
}

// Slots returns the slots of one layer over all ranks.
func (s Shape) Slots() int { return s.Ranks * s.SlotsOfRank }

// Errors of shapes and maps.
var (
	ErrInvalidShape = errors.New("shape cannot hold its experts")
	ErrInvalidMap   = errors.New("map does not fit its shape")
)

// Validate refuses a shape in which some expert would have no slot.
func (s Shape) Validate() error {
	if s.Ranks < 1 || s.Layers < 1 || s.Experts < 1 || s.Slots() < s.Experts || s.SlotsOfRank > s.Experts {
		return fmt.Errorf("%w: %+v", ErrInvalidShape, s)
	}
	return nil
}

// Map says which expert each slot holds: layer by layer, rank by rank.
type Map struct {
	Shape Shape
	Slot  []uint16
}

// InitialMap returns the map that groups start with: experts in order, and the
// redundant slots filled with the first ones again.
func InitialMap(s Shape) *Map {
	m := &Map{Shape: s, Slot: make([]uint16, s.Layers*s.Slots())}
	for i := range m.Slot {
		p := i % s.Slots()
		rank, k := p/s.SlotsOfRank, p%s.SlotsOfRank
		m.Slot[i] = uint16((k*s.Ranks + rank) % s.Experts)
	}
	return m
}

// Layer returns the slots of one layer; it shares memory with the map.
func (m *Map) Layer(l int) []uint16 {
	n := m.Shape.Slots()
	return m.Slot[l*n : (l+1)*n]
}

// RankLayer returns the slots of one layer on one rank.
func (m *Map) RankLayer(l, rank int) []uint16 {
	k := m.Shape.SlotsOfRank
	return m.Layer(l)[rank*k : (rank+1)*k]
}

// Clone returns a copy that shares no memory.
func (m *Map) Clone() *Map {
	return &Map{Shape: m.Shape, Slot: append([]uint16(nil), m.Slot...)}
}

// ID returns the digest of the content.
func (m *Map) ID() MapID {
	var d xxhash.Digest
	d.Reset()
	var b [2]byte
	for _, e := range m.Slot {
		binary.LittleEndian.PutUint16(b[:], e)
		_, _ = d.Write(b[:]) // a Digest never fails
	}
	if id := MapID(d.Sum64()); id != 0 {
		return id
	}
	return 1
}

// Validate refuses a map in which an expert is missing or unknown.
func (m *Map) Validate() error {
	if err := m.Shape.Validate(); err != nil {
		return err
	}
	if len(m.Slot) != m.Shape.Layers*m.Shape.Slots() {
		return fmt.Errorf("%w: %d slots, want %d", ErrInvalidMap, len(m.Slot), m.Shape.Layers*m.Shape.Slots())
	}
	seen := make([]bool, m.Shape.Experts)
	for l := range m.Shape.Layers {
		clear(seen)
		for _, e := range m.Layer(l) {
			if int(e) >= len(seen) {
				return fmt.Errorf("%w: layer %d names expert %d of %d", ErrInvalidMap, l, e, len(seen))
			}
			seen[e] = true
		}
		for e, ok := range seen {
			if !ok {
				return fmt.Errorf("%w: layer %d has no expert %d", ErrInvalidMap, l, e)
			}
		}
	}
	return nil
}

// Moves returns how many experts the ranks must load to go from m to next; an
// expert that stays on its rank costs nothing.
func (m *Map) Moves(next *Map) int {
	n := 0
	for r := range m.Shape.Ranks {
		n += m.MovesOfRank(r, next)
	}
	return n
}

// MovesOfRank returns how many experts one rank must load to go from m to next.
func (m *Map) MovesOfRank(rank int, next *Map) int {
	n := 0
	for l := range m.Shape.Layers {
		n += rankMoves(m.RankLayer(l, rank), next.RankLayer(l, rank))
	}
	return n
}

func rankMoves(have, want []uint16) int {
	n := 0
	for i, e := range want {
		if !contains(have, e) && !contains(want[:i], e) {
			n++
		}
	}
	return n
}

func contains(slots []uint16, e uint16) bool {
	for _, s := range slots {
		if s == e {
			return true
		}
	}
	return false
}
