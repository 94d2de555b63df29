package wire

import (
	"context"
	"io"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/result"
)

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
	return s.conn.write(bp)
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
	if s.failure == nil {
		s.failure = result.New(result.WireClosed, "stream closed by this side")
	}
	s.mu.Unlock()
	s.conn.forget(s.id)
	if tell {
		// Without a connection the peer cancels by itself.
		_ = s.conn.send(KindCancel, s.id, nil, nil)
	}
}
