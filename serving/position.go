package serving

// Position is a place in a topic of the store. The store numbers records by offset; when it comes
// back from an older copy, it has lost the latest records and gives their offsets out again, in a
// new era. A position holds the era in its high bits and the offset in its low bits, so positions of
// different eras compare as they should: any position of a later era is later.
//
// It is an alias, since processes exchange positions as numbers.
type Position = uint64

// offsetBits is the number of bits of the offset. A topic with a million records a second would fill
// them in twelve days of one era, and eras come with failures of the store only.
const offsetBits = 40

// PositionAt returns the position of an offset in an era.
func PositionAt(era, offset uint64) Position { return era<<offsetBits | offset }

// EraOf returns the era of a position.
func EraOf(p Position) uint64 { return p >> offsetBits }

// OffsetOf returns the offset of a position in its era.
func OffsetOf(p Position) uint64 { return p & (1<<offsetBits - 1) }
