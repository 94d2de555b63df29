package peers

// String returns the name used in logs.
func (k OrderKind) String() string {
	switch k {
	case OrderPrepare:
		return "prepare"
	case OrderArm:
		return "arm"
	case OrderHold:
		return "hold"
	case OrderRelease:
		return "go"
	case OrderDisarm:
		return "disarm"
	}
	return "unknown"
}
