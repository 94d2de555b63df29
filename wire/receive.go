package wire

import (
	"context"

	"github.com/heatherrail/heatherrail/internal/msgcheck"
	"github.com/heatherrail/heatherrail/result"
)

// dispatch handles one frame. An error ends the connection: after a protocol
// violation no later frame of the peer can be trusted.
func (c *Conn) dispatch(f Frame) error {
	switch f.Kind {
	case KindPing:
		return nil
	case KindNote:
		if len(f.Payload) == 0 {
			return result.New(result.WireMalformed, "empty note")
		}
		if err := checkMessage(f.Payload[1:]); err != nil {
			return err
		}
		c.handler.ServeNote(c, Note(f.Payload[0]), f.Payload[1:])
		return nil
	case KindOpen:
		return c.accept(f)
	case KindMessage, KindData, KindEnd, KindRefuse, KindCancel, KindCredit:
		// A frame for a stream that this side has closed is late, not a violation.
		if s := c.stream(f.Stream); s != nil {
			return s.receive(f)
		}
		return nil
	default:
		return result.New(result.WireUnknownKind, "frame kind %d", f.Kind)
	}
}

// maxElements limits the elements of all arrays and maps of a message.
const maxElements = 2 << 20

// checkMessage returns an error for a message that announces more than it holds. An empty one is none.
func checkMessage(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if err := msgcheck.Check(b, maxElements); err != nil {
		return result.New(result.WireMalformed, "%w", err)
	}
	return nil
}

// accept starts a stream that the peer opens. MaxStreams limits the goroutines and
// payloads that a peer can make this side hold.
func (c *Conn) accept(f Frame) error {
	if len(f.Payload) == 0 {
		return result.New(result.WireMalformed, "empty open")
	}
	if f.Stream == 0 || f.Stream%idStep == c.idParity {
		// With an id of this side the peer could inject frames into a stream that
		// this side opens later.
		return result.New(result.WireMalformed, "stream id %d is zero or reserved for this side", f.Stream)
	}
	if err := checkMessage(f.Payload[1:]); err != nil {
		return err
	}
	s := newStream(c, f.Stream)
	c.mu.Lock()
	_, taken := c.streams[f.Stream]
	full := c.peerStreams >= c.opts.MaxStreams
	if !taken && !full {
		c.streams[f.Stream] = s
		c.peerStreams++
	}
	c.mu.Unlock()
	switch {
	case taken:
		return result.New(result.WireMalformed, "stream %d opened twice", f.Stream)
	case full:
		return c.refuseOpen(f.Stream)
	}
	payload := append([]byte(nil), f.Payload[1:]...)
	go c.serveStream(s, Method(f.Payload[0]), payload)
	return nil
}

func (c *Conn) serveStream(s *Stream, m Method, payload []byte) {
	defer c.releasePeerStream()
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	s.onCancel(cancel)
	c.handler.ServeStream(ctx, s, m, payload)
	s.Close()
}

func (c *Conn) releasePeerStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerStreams--
}

// refuseOpen refuses a stream beyond MaxStreams. The read loop must not block on a
// full send queue here: if the queues of both sides are full, their read loops would
// deadlock. A full queue ends the connection instead.
func (c *Conn) refuseOpen(id uint64) error {
	err := result.New(result.WireStreams, "%d streams are open", c.opts.MaxStreams)
	r := Refusal{Code: uint16(err.Code), Detail: err.Detail, RetryAfterMs: err.Wait().Milliseconds()}
	bp, encodeErr := c.encode(KindRefuse, id, nil, &r)
	if encodeErr != nil {
		return encodeErr
	}
	c.unwritten.Add(1)
	select {
	case c.sendQueue <- bp:
		return nil
	default:
		return err
	}
}

func (c *Conn) stream(id uint64) *Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id]
}

func (c *Conn) removeStream(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, id)
}
