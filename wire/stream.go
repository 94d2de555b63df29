package wire

import (
	"context"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/result"
)

// MessageKind names a typed message inside a stream.
type MessageKind uint8

// Messages inside a stream.
const (
	MessageAnswer MessageKind = 1 // Answer
)

// Event is what a receiver gets from a stream: a message, or chunk bytes.
type Event struct {
	Message MessageKind // zero: Data holds chunk bytes
	Data    []byte      // owned by the receiver
}

// Stream is one exchange inside a Conn. One goroutine may send while another
// receives.
type Stream struct {
	conn *Conn
	id   uint64

	mu       sync.Mutex
	queue    []Event
	failure  error // io.EOF after a verified end
	wake     chan struct{}
	cancel   context.CancelCauseFunc
	credit   int // bytes this side may still send
	creditOK chan struct{}
	pending  int // chunk bytes received and not yet consumed
	unacked  int // chunk bytes consumed and not yet returned as credit
	messages int // typed messages received and not yet consumed
	msgBytes int // of those messages

	recvSeq    uint64
	recvDigest *xxhash.Digest
	sendSeq    uint64
	sendDigest *xxhash.Digest
	peerEnded  bool // the peer has sent its end or refusal
	closed     bool
	watcher    Watcher
}

// Watcher is told what happens on a stream, for books kept beside it. Its methods
// run in the connection's reader or in Close and must not block.
type Watcher interface {
	Arrived(chunk []byte) // bytes of the answer; chunk is valid during the call
	Ended()               // once: the stream ended or was left, whoever did it
}

func newStream(c *Conn, id uint64) *Stream {
	return &Stream{
		conn:       c,
		id:         id,
		wake:       make(chan struct{}, 1),
		creditOK:   make(chan struct{}, 1),
		credit:     int(c.peer.Window),
		recvDigest: xxhash.New(),
		sendDigest: xxhash.New(),
	}
}

// Conn returns the connection of the stream.
func (s *Stream) Conn() *Conn { return s.conn }

// onCancel sets what happens when the peer gives the stream up.
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
		s.watcher.Ended()
	}
	if cancel != nil && err != io.EOF {
		cancel(err)
	}
	signal(s.wake)
	signal(s.creditOK)
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// receive handles one frame of this stream. It copies what it keeps. Only the
// connection's reader calls it.
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
		return s.pushMessage(MessageKind(f.Payload[0]), f.Payload[1:])
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

// receiveCredit adds credit. A peer can return no more than it was sent, so more
// than its window is a fault of the peer, and an unbounded sum would wrap.
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
	signal(s.creditOK)
	return nil
}

// Limits on typed messages that wait in a stream; chunk bytes are bounded by the
// window. One message is always taken, so that MaxFrame alone bounds its size.
const (
	maxMessages     = 64
	maxMessageBytes = 1 << 20
)

func (s *Stream) pushMessage(k MessageKind, p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return nil
	}
	s.messages++
	s.msgBytes += len(p)
	if s.messages > maxMessages || (s.messages > 1 && s.msgBytes > maxMessageBytes) {
		return result.New(result.WireFlowControl, "stream %d: too many messages wait", s.id)
	}
	s.queue = append(s.queue, Event{Message: k, Data: append([]byte(nil), p...)})
	signal(s.wake)
	return nil
}

func (s *Stream) pushData(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return nil
	}
	s.pending += len(p)
	if s.pending > s.conn.opts.Window {
		return result.New(result.WireFlowControl, "stream %d exceeded its window", s.id)
	}
	s.queue = append(s.queue, Event{Data: copyChunk(p)})
	signal(s.wake)
	return nil
}

func (s *Stream) receiveData(p []byte) error {
	n, p, err := msgp.ReadArrayHeaderBytes(p)
	if err != nil || n != 2 {
		return result.New(result.WireMalformed, "chunk header")
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
		// Free of charge against the window, so a flood of them would be unbounded.
		return result.New(result.WireMalformed, "empty chunk")
	}
	if seq != s.recvSeq {
		s.fail(result.New(result.WireSequence, "chunk %d arrived, want %d", seq, s.recvSeq))
		return nil
	}
	s.recvSeq++
	_, _ = s.recvDigest.Write(data) // a Digest never fails
	if s.watcher != nil {
		s.watcher.Arrived(data)
	}
	return s.pushData(data)
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

// Recv returns the next event; io.EOF after a whole, verified stream; any other
// error if it can't be completed.
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
		case <-s.wake:
		case <-ctx.Done():
			return Event{}, context.Cause(ctx)
		}
	}
}

// Ready reports whether Recv would return without waiting.
func (s *Stream) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0 || s.failure != nil
}

// consume books an event as read and returns the credit that is due. It is
// returned in halves of the window, to save frames.
func (s *Stream) consume(e Event) int {
	n := len(e.Data)
	if e.Message != 0 {
		s.messages--
		s.msgBytes -= n
		return 0
	}
	s.pending -= n
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
	// A lost connection fails the stream itself; the credit is then moot.
	_ = s.conn.send(KindCredit, s.id, nil, &Credit{Bytes: uint32(n)})
}
