// Package peers carries short questions and answers between heatherrail's own
// processes: msgpack messages in length-prefixed frames over TCP, one question
// at a time on a connection.
package peers

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/tinylib/msgp/msgp"
)

// maxFrame bounds what a peer may make a receiver allocate; a configuration of
// some thousand routes is the largest message.
const maxFrame = 8 << 20

const headerSize = 4 + 1 // length of the payload, kind

// ErrFrame: a frame can't be read.
var ErrFrame = errors.New("frame can't be read")

// appendFrame appends a frame with a message.
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

// readFrame reads one frame. The length is checked before anything is allocated.
func readFrame(r *bufio.Reader) (Kind, []byte, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(head[:4])
	if size > maxFrame {
		return 0, nil, fmt.Errorf("%w: %d bytes", ErrFrame, size)
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return 0, nil, fmt.Errorf("%w: cut short: %w", ErrFrame, err)
	}
	return Kind(head[4]), payload, nil
}
