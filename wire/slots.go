package wire

import "encoding/binary"

// EncodeSlots packs expert numbers, two bytes each, little endian.
func EncodeSlots(slots []uint16) []byte {
	b := make([]byte, 0, 2*len(slots))
	for _, s := range slots {
		b = binary.LittleEndian.AppendUint16(b, s)
	}
	return b
}

// DecodeSlots is the inverse of EncodeSlots. It ignores an odd byte at the end.
func DecodeSlots(b []byte) []uint16 {
	slots := make([]uint16, 0, len(b)/2)
	for ; len(b) >= 2; b = b[2:] {
		slots = append(slots, binary.LittleEndian.Uint16(b))
	}
	return slots
}
