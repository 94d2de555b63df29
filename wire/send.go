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

// Send sends p as one or more chunks. It blocks while the stream has no credit.
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
		case <-s.sendReady:
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

// Finish ends the stream after a complete response.
func (s *Stream) Finish() error {
	return s.end(result.OK, "")
}

// Abort ends the stream of a response that cannot be completed. The receiver gets the
// code of err instead of io.EOF.
func (s *Stream) Abort(err error) error {
	e := result.From(err)
	return s.end(e.Code, e.Detail)
}

func (s *Stream) end(code result.Code, detail string) error {
	e := End{Chunks: s.sendSeq, Digest: s.sendDigest.Sum64(), Code: uint16(code), Detail: detail}
	err := s.conn.send(KindEnd, s.id, nil, &e)
	s.markEnded()
	return err
}

// Refuse ends a stream without a response.
func (s *Stream) Refuse(err error) error {
	e := result.From(err)
	r := Refusal{Code: uint16(e.Code), Detail: e.Detail, RetryAfterMs: e.Wait().Milliseconds()}
	sendErr := s.conn.send(KindRefuse, s.id, nil, &r)
	s.markEnded()
	return sendErr
}

func (s *Stream) markEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// Close abandons the stream. If neither side has ended it, Close sends a cancel frame
// so that the peer stops working on it.
func (s *Stream) Close() {
	s.mu.Lock()
	notify := !s.closed && s.failure == nil
	s.closed = true
	if s.failure == nil {
		s.failure = result.New(result.WireClosed, "stream closed by this side")
	}
	s.mu.Unlock()
	s.conn.removeStream(s.id)
	if notify {
		// If the connection is lost, the peer cancels the stream itself.
		_ = s.conn.send(KindCancel, s.id, nil, nil)
	}
}
