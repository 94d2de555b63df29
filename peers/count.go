package peers

import "math"

// ClampUint16 converts a count to a 16-bit message field. A value outside the range becomes the
// nearest bound.
func ClampUint16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// ClampUint8 converts a count to an 8-bit message field. A value outside the range becomes the
// nearest bound.
func ClampUint8(n int) byte { return byte(min(max(n, 0), 1<<8-1)) }
