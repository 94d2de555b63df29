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

// readFrame reads one frame. It checks the length before it allocates the payload.
func readFrame(r *bufio.Reader) (Kind, []byte, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(head[:4])
	if size > maxFrameBytes {
		return 0, nil, fmt.Errorf("%w: payload of %d bytes exceeds the limit", ErrFrame, size)
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return 0, nil, fmt.Errorf("%w: truncated payload: %w", ErrFrame, err)
	}
	return Kind(head[4]), payload, nil
}
