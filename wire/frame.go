// Package wire carries typed messages between heatherrail processes. Messages are
// msgpack in length-prefixed frames, and one TCP connection multiplexes many
// streams.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/heatherrail/heatherrail/result"
)

// Kind is the type of a frame. The numbers are part of the protocol.
type Kind uint8

// Frame kinds. Frames of kind KindNote and above belong to no stream.
const (
	KindHello   Kind = 1 // Hello, the first frame in each direction
	KindPing    Kind = 2 // empty, keeps the connection alive
	KindOpen    Kind = 3 // method byte, then the method's request message
	KindMessage Kind = 4 // message kind byte, then a typed message on a stream
	KindData    Kind = 5 // chunk: array of its sequence number and its bytes
	KindEnd     Kind = 6 // End, closes one direction of a stream
	KindRefuse  Kind = 7 // Refusal, ends a stream
	KindCancel  Kind = 8 // empty; the sender abandons the stream
	KindCredit  Kind = 9 // Credit, allows the peer to send more chunk bytes on a stream
	KindNote    Kind = 16
)

// Sizes of a frame, in bytes.
const (
	headerSize = 4 + 1 + 8
	// DefaultMaxFrame limits the payload that one frame makes a receiver allocate.
	DefaultMaxFrame = 8 << 20
)

// Frame is one decoded frame. Payload is valid until the next frame is read.
type Frame struct {
	Kind    Kind
	Stream  uint64
	Payload []byte
}

// frameReader reads frames into one reused buffer.
type frameReader struct {
	r      io.Reader
	max    int
	buf    []byte
	header [headerSize]byte
}

// firstPayloadBytes is the memory that is taken for a payload before any of it has arrived.
const firstPayloadBytes = 64 << 10

// next returns the next frame. It checks the length of the frame against the limit, and takes
// memory as the payload arrives: otherwise the four bytes of a length would be enough to make
// this side allocate memory.
func (fr *frameReader) next() (Frame, error) {
	if _, err := io.ReadFull(fr.r, fr.header[:]); err != nil {
		return Frame{}, err
	}
	size := int(binary.BigEndian.Uint32(fr.header[:4]))
	if size > fr.max {
		return Frame{}, result.New(result.WireFrameTooLarge, "frame of %d bytes, limit %d", size, fr.max)
	}
	payload, err := fr.readPayload(size)
	if err != nil {
		return Frame{}, fmt.Errorf("truncated frame: %w", err)
	}
	f := Frame{
		Kind:    Kind(fr.header[4]),
		Stream:  binary.BigEndian.Uint64(fr.header[5:]),
		Payload: payload,
	}
	return f, nil
}

// readPayload reads into the buffer, which is doubled with what arrives.
func (fr *frameReader) readPayload(size int) ([]byte, error) {
	arrived := 0
	for {
		if next := min(max(2*arrived, firstPayloadBytes), size); cap(fr.buf) < next {
			grown := make([]byte, next)
			copy(grown, fr.buf[:arrived])
			fr.buf = grown
		}
		piece := fr.buf[arrived:min(cap(fr.buf), size)]
		if _, err := io.ReadFull(fr.r, piece); err != nil {
			return nil, err
		}
		if arrived += len(piece); arrived == size {
			return fr.buf[:size], nil
		}
	}
}

// beginFrame appends a frame header with an empty length to b.
func beginFrame(b []byte, kind Kind, stream uint64) []byte {
	b = append(b, 0, 0, 0, 0, byte(kind))
	return binary.BigEndian.AppendUint64(b, stream)
}

// endFrame sets the length of the frame that begins at start.
func endFrame(b []byte, start int) []byte {
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-headerSize))
	return b
}
