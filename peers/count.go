package peers

import "math"

// Count returns a count as messages hold it.
func Count(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }
