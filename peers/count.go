package peers

import "math"

// ClampUint16 returns a count as messages hold it.
func ClampUint16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// ClampUint8 returns a count as messages hold it in one byte; more than it holds count as the
// most.
func ClampUint8(n int) byte { return byte(min(max(n, 0), 1<<8-1)) }
