// Package expert places the experts of a model on the ranks of a group. It decides which expert
// each rank holds, when moving experts is worth its cost and which rank is slow, and it defines
// the protocol by which a group switches from one expert map to the next so that no step mixes
// two maps. The package has no clocks, sockets, goroutines or mutable globals.
package expert

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// MapID is the digest of a map's content. 0 means that no map is known.
type MapID uint64

// Shape is the fixed geometry of a rank group. Its fields are encoded as JSON under their Go names.
type Shape struct {
	Ranks       int
	Layers      int
	Experts     int // number of experts in each layer
	SlotsOfRank int // number of slots, the places for one expert, in each layer on each rank
}

// Slots returns the number of slots of one layer over all ranks.
func (s Shape) Slots() int { return s.Ranks * s.SlotsOfRank }

// Errors of shapes and maps.
var (
	ErrInvalidShape = errors.New("invalid shape of rank group")
	ErrInvalidMap   = errors.New("expert map does not match its shape")
)

// Validate returns ErrInvalidShape if a size is below one, if some expert would have no slot, or
// if a rank has more slots than there are experts.
func (s Shape) Validate() error {
	if s.Ranks < 1 || s.Layers < 1 || s.Experts < 1 || s.Slots() < s.Experts || s.SlotsOfRank > s.Experts {
		return fmt.Errorf("%w: %+v", ErrInvalidShape, s)
	}
	return nil
}

// Map holds the expert of each slot, ordered by layer and then by rank. Its fields are encoded as
// JSON under their Go names.
type Map struct {
	Shape Shape
	Slot  []uint16
}

// InitialMap returns the map that a group starts with: the experts in order, assigned to the ranks
// in turn, and then the first experts again in the redundant slots.
func InitialMap(s Shape) *Map {
	m := &Map{Shape: s, Slot: make([]uint16, s.Layers*s.Slots())}
	for i := range m.Slot {
		p := i % s.Slots()
		rank, k := p/s.SlotsOfRank, p%s.SlotsOfRank
		m.Slot[i] = uint16((k*s.Ranks + rank) % s.Experts)
	}
	return m
}

// Layer returns the slots of one layer. The slice shares memory with the map.
func (m *Map) Layer(l int) []uint16 {
	n := m.Shape.Slots()
	return m.Slot[l*n : (l+1)*n]
}

// RankLayer returns the slots of one layer on one rank. The slice shares memory with the map.
func (m *Map) RankLayer(l, rank int) []uint16 {
	k := m.Shape.SlotsOfRank
	return m.Layer(l)[rank*k : (rank+1)*k]
}

// Clone returns a copy that shares no memory.
func (m *Map) Clone() *Map {
	return &Map{Shape: m.Shape, Slot: append([]uint16(nil), m.Slot...)}
}

// ID returns the digest of the map's content. It is never 0.
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

// Validate returns an error if the shape is invalid, or if a layer lacks an expert or has an
// unknown one.
func (m *Map) Validate() error {
	if err := m.Shape.Validate(); err != nil {
		return err
	}
	if len(m.Slot) != m.Shape.Layers*m.Shape.Slots() {
		return fmt.Errorf("%w: got %d slots, want %d", ErrInvalidMap, len(m.Slot), m.Shape.Layers*m.Shape.Slots())
	}
	seen := make([]bool, m.Shape.Experts)
	for l := range m.Shape.Layers {
		clear(seen)
		for _, e := range m.Layer(l) {
			if int(e) >= len(seen) {
				return fmt.Errorf("%w: layer %d has expert %d, want below %d", ErrInvalidMap, l, e, len(seen))
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

// Moves returns the number of experts that all ranks together must load to switch from m to next.
// An expert that stays on its rank needs no load.
func (m *Map) Moves(next *Map) int {
	n := 0
	for r := range m.Shape.Ranks {
		n += m.MovesOfRank(r, next)
	}
	return n
}

// MovesOfRank returns the number of experts that one rank must load to switch from m to next.
func (m *Map) MovesOfRank(rank int, next *Map) int {
	n := 0
	for l := range m.Shape.Layers {
		n += rankMoves(m.RankLayer(l, rank), next.RankLayer(l, rank))
	}
	return n
}

// rankMoves counts the distinct experts of want that are not in have.
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
