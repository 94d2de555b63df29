package peers

import "math"

// String returns the name used in logs.
func (k OrderKind) String() string {
	switch k {
	case OrderPrepare:
		return "prepare"
	case OrderArm:
		return "arm"
	case OrderHold:
		return "hold"
	case OrderGo:
		return "go"
	case OrderDisarm:
		return "disarm"
	}
	return "unknown"
}

// Count returns a count as messages hold it.
func Count(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }
