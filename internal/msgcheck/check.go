// Package msgcheck checks encoded messages before they are decoded. The decoder takes memory for as many elements and bytes as a message
// announces, and an element may be much larger in memory than on the wire.
package msgcheck

import (
	"errors"
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// ErrMalformed is returned for a message that is not whole, or has too many elements.
var ErrMalformed = errors.New("malformed message")

// maxDepth limits arrays and maps within others.
const maxDepth = 24

// Check returns an error for a message that announces more than it holds, or whose arrays and maps have more than maxElements elements
// together.
func Check(b []byte, maxElements int) error {
	elements := maxElements
	rest, err := checkValue(b, &elements, 0)
	switch {
	case err != nil:
		return err
	case len(rest) > 0:
		return fmt.Errorf("%w: %d bytes behind its end", ErrMalformed, len(rest))
	}
	return nil
}

// checkValue checks the first value of b. elements is the number of elements that may follow.
func checkValue(b []byte, elements *int, depth int) (rest []byte, err error) {
	var n uint32
	values := 0
	switch msgp.NextType(b) {
	case msgp.ArrayType:
		n, b, err = msgp.ReadArrayHeaderBytes(b)
		values = int(n)
	case msgp.MapType:
		n, b, err = msgp.ReadMapHeaderBytes(b)
		values = 2 * int(n)
	default:
		if rest, err = msgp.Skip(b); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		return rest, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if *elements -= values; *elements < 0 || values > len(b) || depth == maxDepth {
		return nil, fmt.Errorf("%w: %d elements announced in %d bytes", ErrMalformed, n, len(b))
	}
	for range values {
		if b, err = checkValue(b, elements, depth+1); err != nil {
			return nil, err
		}
	}
	return b, nil
}
