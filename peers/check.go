package peers

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// Limits of a message. The decoder takes memory for as many elements as a message announces, each of which may be much larger in memory
// than on the wire.
const (
	maxElements = 256 << 10 // of all arrays and maps of a message
	maxDepth    = 16
)

// checkMessage returns an error for a message that announces more than it holds, or too many elements.
func checkMessage(b []byte) error {
	elements := 0
	rest, err := checkValue(b, &elements, 0)
	switch {
	case err != nil:
		return err
	case len(rest) > 0:
		return fmt.Errorf("%w: %d bytes behind the message", ErrFrame, len(rest))
	}
	return nil
}

func checkValue(b []byte, elements *int, depth int) (rest []byte, err error) {
	var n uint32
	switch msgp.NextType(b) {
	case msgp.ArrayType:
		n, b, err = msgp.ReadArrayHeaderBytes(b)
	case msgp.MapType:
		n, b, err = msgp.ReadMapHeaderBytes(b)
		n = min(n, maxElements) * 2 // keys and values
	default:
		if rest, err = msgp.Skip(b); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrFrame, err)
		}
		return rest, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	if *elements += int(n); *elements > maxElements || int(n) > len(b) || depth == maxDepth {
		return nil, fmt.Errorf("%w: %d elements announced in %d bytes", ErrFrame, n, len(b))
	}
	for range n {
		if b, err = checkValue(b, elements, depth+1); err != nil {
			return nil, err
		}
	}
	return b, nil
}
