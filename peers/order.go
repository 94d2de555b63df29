package peers

// String returns the name that logs use for the kind of order.
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
	case OrderAbandon:
		return "abandon"
	}
	return "unknown"
}
