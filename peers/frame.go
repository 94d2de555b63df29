// Package peers carries short requests and responses between heatherrail's own processes:
// msgpack messages in length-prefixed frames over TCP, with one request at a time on a
// connection.
package peers

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/internal/msgcheck"
)

// maxFrameBytes limits what a peer can make a receiver allocate. The largest message is a
// configuration of some thousand routes.
const maxFrameBytes = 8 << 20

const headerSize = 4 + 1 // bytes of the payload's length and of the message's kind

// ErrFrame is returned for a frame that cannot be decoded.
var ErrFrame = errors.New("invalid peer frame")

// appendFrame appends a frame that holds a message.
func appendFrame(b []byte, kind Kind, m msgp.Marshaler) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(kind))
	b, err := m.MarshalMsg(b)
	if err != nil {
		return nil, fmt.Errorf("encode message of kind %d: %w", kind, err)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-headerSize))
	return b, nil
}

// firstPayloadBytes is the memory that is taken for a payload before any of it has arrived. It is doubled with what arrives.
const firstPayloadBytes = 16 << 10

// readFrame reads one frame. The memory for its payload follows what arrives, not the length that the frame announces. reserve is
// called before memory is taken.
func readFrame(r *bufio.Reader, reserve func(bytes int) error) (Kind, []byte, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(head[:4]))
	if size > maxFrameBytes {
		return 0, nil, fmt.Errorf("%w: payload of %d bytes exceeds the limit", ErrFrame, size)
	}
	var payload []byte
	for len(payload) < size || payload == nil {
		next := min(max(2*len(payload), firstPayloadBytes), size)
		if err := reserve(next - len(payload)); err != nil {
			return 0, nil, err
		}
		grown := make([]byte, next)
		arrived := copy(grown, payload)
		if _, err := io.ReadFull(r, grown[arrived:]); err != nil {
			return 0, nil, fmt.Errorf("%w: truncated payload: %w", ErrFrame, err)
		}
		payload = grown
	}
	return Kind(head[4]), payload, checkMessage(payload)
}

// maxElements limits the elements of all arrays and maps of a message.
const maxElements = 256 << 10

func checkMessage(b []byte) error {
	if err := msgcheck.Check(b, maxElements); err != nil {
		return fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return nil
}

// reserveNothing is for frames of peers that this process has asked.
func reserveNothing(int) error { return nil }
