package lockstep

import (
	"encoding/binary"
	"errors"
	"slices"

	"github.com/heatherrail/heatherrail/expert"
)

// listChange replaces the experts of one rank in one layer set.
type listChange struct {
	set     int
	rank    int
	experts []uint16
}

// diffLayouts returns the changes that turn map before into map after, by set and rank.
func diffLayouts(before, after []expert.Layout) []listChange {
	var changes []listChange
	for s := range after {
		for r, list := range after[s] {
			if !slices.Equal(before[s][r], list) {
				changes = append(changes, listChange{set: s, rank: r, experts: list})
			}
		}
	}
	return changes
}

// packChanges encodes each change as varints: set, rank, number of experts, experts. After a shift
// in demand the lists of most ranks change, and every agent relays them to several others while
// passes are slow. Encoded so, a change takes half the bytes that it would take as a separate
// message.
func packChanges(changes []listChange) []byte {
	var packed []byte
	for _, c := range changes {
		packed = binary.AppendUvarint(packed, uint64(c.set))
		packed = binary.AppendUvarint(packed, uint64(c.rank))
		packed = binary.AppendUvarint(packed, uint64(len(c.experts)))
		for _, e := range c.experts {
			packed = binary.AppendUvarint(packed, uint64(e))
		}
	}
	return packed
}

var errMalformedChanges = errors.New("malformed map changes")

// unpackChanges decodes what packChanges encoded.
func unpackChanges(packed []byte) ([]listChange, error) {
	var changes []listChange
	next := func() int {
		n, size := binary.Uvarint(packed)
		if size <= 0 || n > maxEncodedValue {
			packed = nil
			return -1
		}
		packed = packed[size:]
		return int(n)
	}
	for len(packed) > 0 {
		c := listChange{set: next(), rank: next()}
		count := next()
		if c.set < 0 || c.rank < 0 || count < 0 || count > len(packed) {
			return nil, errMalformedChanges
		}
		c.experts = make([]uint16, count)
		for i := range c.experts {
			e := next()
			if e < 0 {
				return nil, errMalformedChanges
			}
			c.experts[i] = uint16(e)
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// maxEncodedValue is the largest value in packed changes: expert numbers have 16 bits.
const maxEncodedValue = 1<<16 - 1
