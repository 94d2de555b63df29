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
	pending  int // bytes received and not yet consumed
	unacked  int // bytes consumed and not yet returned as credit

	recvSeq    uint64
	recvDigest *xxhash.Digest
	sendSeq    uint64
	sendDigest *xxhash.Digest
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
		credit:     c.opts.Window,
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

// receive handles one frame of this stream. It copies what it keeps.
func (s *Stream) receive(f Frame) error {
	switch f.Kind {
	case KindMessage:
		if len(f.Payload) == 0 {
			return result.New(result.WireMalformed, "empty message")
		}
		data := append([]byte(nil), f.Payload[1:]...)
		return s.push(Event{Message: MessageKind(f.Payload[0]), Data: data}, 0)
	case KindData:
		return s.receiveData(f.Payload)
	case KindEnd:
		return s.receiveEnd(f.Payload)
	case KindRefuse:
		var r Refusal
		if _, err := r.UnmarshalMsg(f.Payload); err != nil {
			return result.New(result.WireMalformed, "refusal: %w", err)
		}
		s.fail(r.Err())
		return nil
	case KindCancel:
		s.fail(result.New(result.CallerGone, "cancelled by %s", s.conn.peer.Name))
		return nil
	default:
		var c Credit
		if _, err := c.UnmarshalMsg(f.Payload); err != nil {
			return result.New(result.WireMalformed, "credit: %w", err)
		}
		s.mu.Lock()
		s.credit += int(c.Bytes)
		s.mu.Unlock()
		signal(s.creditOK)
		return nil
	}
}

// maxMessages bounds typed messages that wait in a stream; chunk bytes are
// bounded by the window.
const maxMessages = 64

func (s *Stream) push(e Event, size int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending += size
	if s.pending > s.conn.opts.Window || (size == 0 && len(s.queue) >= maxMessages && s.pending == 0) {
		return result.New(result.WireFlowControl, "stream %d exceeded its window", s.id)
	}
	if s.failure != nil {
		return nil
	}
	s.queue = append(s.queue, e)
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
	if seq != s.recvSeq {
		s.fail(result.New(result.WireSequence, "chunk %d arrived, want %d", seq, s.recvSeq))
		return nil
	}
	s.recvSeq++
	_, _ = s.recvDigest.Write(data) // a Digest never fails
	if s.watcher != nil {
		s.watcher.Arrived(data)
	}
	return s.push(Event{Data: append([]byte(nil), data...)}, len(data))
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
			grant := s.consume(len(e.Data), e.Message)
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

// consume books n chunk bytes as read and returns the credit that is due. It is
// returned in halves of the window, to save frames.
func (s *Stream) consume(n int, m MessageKind) int {
	if m != 0 {
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

// SendMessage sends a typed message.
func (s *Stream) SendMessage(k MessageKind, msg msgp.Marshaler) error {
	return s.conn.send(KindMessage, s.id, []byte{byte(k)}, msg)
}

// Send sends p as one or more chunks and waits for credit where needed.
func (s *Stream) Send(ctx context.Context, p []byte) error {
	for len(p) > 0 {
		n, err := s.takeCredit(ctx, len(p))
		if err != nil {
			return err
		}
		if err := s.sendChunk(p[:n]); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

func (s *Stream) takeCredit(ctx context.Context, want int) (int, error) {
	for {
		s.mu.Lock()
		failure := s.failure
		n := min(want, s.credit)
		if failure == nil || failure == io.EOF {
			s.credit -= n
		}
		s.mu.Unlock()
		if failure != nil && failure != io.EOF {
			return 0, failure
		}
		if n > 0 {
			return n, nil
		}
		select {
		case <-s.creditOK:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
}

func (s *Stream) sendChunk(p []byte) error {
	_, _ = s.sendDigest.Write(p)
	bp := framePool.Get().(*[]byte)
	b := beginFrame((*bp)[:0], KindData, s.id)
	b = msgp.AppendArrayHeader(b, 2)
	b = msgp.AppendUint64(b, s.sendSeq)
	b = msgp.AppendBytes(b, p)
	s.sendSeq++
	*bp = endFrame(b, 0)
	return s.conn.enqueue(bp)
}

// Finish ends a complete answer.
func (s *Stream) Finish() error {
	return s.end(result.OK, "")
}

// Abort ends an answer that can't be completed; the receiver gets the code in
// place of a clean end.
func (s *Stream) Abort(err error) error {
	e := result.From(err)
	return s.end(e.Code, e.Detail)
}

func (s *Stream) end(code result.Code, detail string) error {
	e := End{Chunks: s.sendSeq, Digest: s.sendDigest.Sum64(), Code: uint16(code), Detail: detail}
	err := s.conn.send(KindEnd, s.id, nil, &e)
	s.markClosed()
	return err
}

// Refuse ends a stream before its answer.
func (s *Stream) Refuse(err error) error {
	e := result.From(err)
	r := Refusal{Code: uint16(e.Code), Detail: e.Detail, RetryAfterMs: e.Wait().Milliseconds()}
	sendErr := s.conn.send(KindRefuse, s.id, nil, &r)
	s.markClosed()
	return sendErr
}

func (s *Stream) markClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// Close leaves the stream. If neither side has ended it, the peer is told to
// stop working on it.
func (s *Stream) Close() {
	s.mu.Lock()
	tell := !s.closed && s.failure == nil
	s.closed = true
	first := s.failure == nil
	if first {
		s.failure = result.New(result.WireClosed, "stream closed by this side")
	}
	s.mu.Unlock()
	if first && s.watcher != nil {
		s.watcher.Ended()
	}
	s.conn.forget(s.id)
	if tell {
		// Without a connection the peer cancels by itself.
		_ = s.conn.send(KindCancel, s.id, nil, nil)
	}
}
