package wire

import (
	"context"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/result"
)

// MessageKind is the type of a message inside a stream.
type MessageKind uint8

// Messages on a stream that carries a request of a caller.
const (
	MessageAnswer MessageKind = 1 // Answer, the status and headers of a response
)

// Event is one item received from a stream: a message or the bytes of a chunk.
type Event struct {
	Message MessageKind // zero: Data holds chunk bytes
	Data    []byte      // owned by the receiver
}

// Stream is one request-response exchange inside a Conn. One goroutine may send while
// another receives.
type Stream struct {
	conn *Conn
	id   uint64

	mu             sync.Mutex
	queue          []Event
	failure        error // why the stream ended; io.EOF after a verified end
	recvReady      chan struct{}
	cancel         context.CancelCauseFunc
	credit         int // chunk bytes that this side may still send
	sendReady      chan struct{}
	unread         int // chunk bytes received and not yet consumed
	unacked        int // chunk bytes consumed and not yet returned as credit
	unreadMessages int // typed messages received and not yet consumed
	unreadMsgBytes int // size in bytes of the typed messages received and not yet consumed

	recvSeq    uint64
	recvDigest *xxhash.Digest
	sendSeq    uint64
	sendDigest *xxhash.Digest
	peerEnded  bool // the peer has sent its end or refusal
	closed     bool
	watcher    Watcher
}

// Watcher observes a stream, for load tracking. Its methods run in the read loop or in the
// goroutine that closes the connection, and must not block.
type Watcher interface {
	ChunkReceived(chunk []byte) // called for each chunk; chunk is valid during the call
	StreamEnded()               // called once when the stream ends or fails, but not after Stream.Close
}

func newStream(c *Conn, id uint64) *Stream {
	return &Stream{
		conn:       c,
		id:         id,
		recvReady:  make(chan struct{}, 1),
		sendReady:  make(chan struct{}, 1),
		credit:     int(c.peer.Window),
		recvDigest: xxhash.New(),
		sendDigest: xxhash.New(),
	}
}

// Conn returns the connection of the stream.
func (s *Stream) Conn() *Conn { return s.conn }

// onCancel sets the function that is called when the peer cancels the stream or the
// connection ends.
func (s *Stream) onCancel(cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = cancel
	if s.failure != nil && s.failure != io.EOF {
		cancel(s.failure)
	}
}

func (s *Stream) fail(err error) {
	s.mu.Lock()
	first := s.failure == nil
	if first {
		s.failure = err
	}
	cancel := s.cancel
	s.mu.Unlock()
	if first && s.watcher != nil {
		s.watcher.StreamEnded()
	}
	if cancel != nil && err != io.EOF {
		cancel(err)
	}
	signal(s.recvReady)
	signal(s.sendReady)
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// receive handles one frame of this stream. It retains no part of the frame. Only the
// read loop of the connection calls it.
func (s *Stream) receive(f Frame) error {
	switch f.Kind {
	case KindCancel:
		s.fail(result.New(result.CallerGone, "cancelled by %s", s.conn.peer.Name))
		return nil
	case KindCredit:
		return s.receiveCredit(f.Payload)
	}
	if s.peerEnded {
		return result.New(result.WireMalformed, "stream %d: frame kind %d after its end", s.id, f.Kind)
	}
	switch f.Kind {
	case KindMessage:
		if len(f.Payload) == 0 {
			return result.New(result.WireMalformed, "empty message")
		}
		return s.queueMessage(MessageKind(f.Payload[0]), f.Payload[1:])
	case KindData:
		return s.receiveData(f.Payload)
	case KindEnd:
		s.peerEnded = true
		return s.receiveEnd(f.Payload)
	default:
		s.peerEnded = true
		return s.receiveRefusal(f.Payload)
	}
}

func (s *Stream) receiveRefusal(p []byte) error {
	var r Refusal
	if _, err := r.UnmarshalMsg(p); err != nil {
		return result.New(result.WireMalformed, "refusal: %w", err)
	}
	s.fail(r.Err())
	return nil
}

// receiveCredit adds credit from the peer. A peer may return credit only for bytes that
// it was sent, so a sum above its window is a protocol violation. An unchecked sum could
// overflow.
func (s *Stream) receiveCredit(p []byte) error {
	var c Credit
	if _, err := c.UnmarshalMsg(p); err != nil {
		return result.New(result.WireMalformed, "credit: %w", err)
	}
	s.mu.Lock()
	s.credit += int(c.Bytes)
	excess := s.credit > int(s.conn.peer.Window)
	s.mu.Unlock()
	if excess {
		return result.New(result.WireFlowControl, "stream %d: credit beyond the window", s.id)
	}
	signal(s.sendReady)
	return nil
}

// Limits on unread typed messages of a stream. Chunk bytes are limited by the window.
// A single message is always accepted, so only MaxFrame limits its size.
const (
	maxMessages     = 64
	maxMessageBytes = 1 << 20
)

func (s *Stream) queueMessage(k MessageKind, p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return nil
	}
	s.unreadMessages++
	s.unreadMsgBytes += len(p)
	if s.unreadMessages > maxMessages || (s.unreadMessages > 1 && s.unreadMsgBytes > maxMessageBytes) {
		return result.New(result.WireFlowControl, "stream %d: too many messages wait", s.id)
	}
	s.queue = append(s.queue, Event{Message: k, Data: append([]byte(nil), p...)})
	signal(s.recvReady)
	return nil
}

func (s *Stream) queueData(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return nil
	}
	s.unread += len(p)
	if s.unread > s.conn.opts.Window {
		return result.New(result.WireFlowControl, "stream %d exceeded its window", s.id)
	}
	s.queue = append(s.queue, Event{Data: copyChunk(p)})
	signal(s.recvReady)
	return nil
}

func (s *Stream) receiveData(p []byte) error {
	n, p, err := msgp.ReadArrayHeaderBytes(p)
	if err != nil || n != 2 {
		return result.New(result.WireMalformed, "invalid chunk header")
	}
	seq, p, err := msgp.ReadUint64Bytes(p)
	if err != nil {
		return result.New(result.WireMalformed, "chunk sequence: %w", err)
	}
	data, _, err := msgp.ReadBytesZC(p)
	if err != nil {
		return result.New(result.WireMalformed, "chunk bytes: %w", err)
	}
	if len(data) == 0 {
		// Empty chunks use no credit, so the peer could send any number of them.
		return result.New(result.WireMalformed, "empty chunk")
	}
	if seq != s.recvSeq {
		s.fail(result.New(result.WireSequence, "chunk %d arrived, want %d", seq, s.recvSeq))
		return nil
	}
	s.recvSeq++
	_, _ = s.recvDigest.Write(data) // writing to a digest never fails
	if s.watcher != nil {
		s.watcher.ChunkReceived(data)
	}
	return s.queueData(data)
}

func (s *Stream) receiveEnd(p []byte) error {
	var e End
	if _, err := e.UnmarshalMsg(p); err != nil {
		return result.New(result.WireMalformed, "end: %w", err)
	}
	switch {
	case e.Code != 0:
		s.fail(result.New(result.Code(e.Code), "%s", e.Detail))
	case e.Chunks != s.recvSeq:
		s.fail(result.New(result.WireSequence, "%d chunks arrived, %d were sent", s.recvSeq, e.Chunks))
	case e.Digest != s.recvDigest.Sum64():
		s.fail(result.New(result.WireDigest, "digest differs after %d chunks", e.Chunks))
	default:
		s.fail(io.EOF)
	}
	return nil
}

// Recv returns the next event. It returns io.EOF after a complete stream whose count
// and digest match, and any other error if the stream failed or ctx ended.
func (s *Stream) Recv(ctx context.Context) (Event, error) {
	for {
		s.mu.Lock()
		if len(s.queue) > 0 {
			e := s.queue[0]
			s.queue[0] = Event{}
			s.queue = s.queue[1:]
			grant := s.consume(e)
			s.mu.Unlock()
			s.returnCredit(grant)
			return e, nil
		}
		failure := s.failure
		s.mu.Unlock()
		if failure != nil {
			return Event{}, failure
		}
		select {
		case <-s.recvReady:
		case <-ctx.Done():
			return Event{}, context.Cause(ctx)
		}
	}
}

// Ready reports whether Recv would return without blocking.
func (s *Stream) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0 || s.failure != nil
}

// consume records that an event was read, and returns the credit to grant to the peer.
// To save frames, it grants credit only once half a window has been read.
func (s *Stream) consume(e Event) int {
	n := len(e.Data)
	if e.Message != 0 {
		s.unreadMessages--
		s.unreadMsgBytes -= n
		return 0
	}
	s.unread -= n
	s.unacked += n
	if s.unacked < s.conn.opts.Window/2 {
		return 0
	}
	due := s.unacked
	s.unacked = 0
	return due
}

func (s *Stream) returnCredit(n int) {
	if n == 0 {
		return
	}
	// If the connection is lost, the stream fails anyway.
	_ = s.conn.send(KindCredit, s.id, nil, &Credit{Bytes: uint32(n)})
}
