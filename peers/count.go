package peers

import "math"

// ClampUint16 converts a count to the 16 bits that messages have for it. Values outside their
// range become the nearest bound.
func ClampUint16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// ClampUint8 converts a count to the 8 bits that messages have for it. Values outside their
// range become the nearest bound.
func ClampUint8(n int) byte { return byte(min(max(n, 0), 1<<8-1)) }
