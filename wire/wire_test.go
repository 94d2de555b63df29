package wire_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// serverFunc serves streams with a function and ignores notes.
type serverFunc func(ctx context.Context, s *wire.Stream, payload []byte)

func (f serverFunc) ServeStream(ctx context.Context, s *wire.Stream, _ wire.Method, payload []byte) {
	f(ctx, s, payload)
}
func (serverFunc) ServeNote(*wire.Conn, wire.Note, []byte) {}

// connect returns the dialling side of a connection whose other side runs serve.
func connect(t *testing.T, serve serverFunc) *wire.Conn {
	t.Helper()
	a, b := net.Pipe()
	accepted := make(chan *wire.Conn, 1)
	go func() {
		c, err := wire.Server(b, wire.Hello{Name: "server"}, serve, wire.Options{})
		if err == nil {
			accepted <- c
		}
	}()
	c, err := wire.Client(a, wire.Hello{Name: "client"}, serverFunc(nil), wire.Options{})
	if err != nil {
		t.Fatal(err)
	}
	server := <-accepted
	t.Cleanup(func() { c.Close(); server.Close() })
	return c
}

func open(t *testing.T, c *wire.Conn) *wire.Stream {
	t.Helper()
	s, err := c.Open(wire.MethodRequest, &wire.Request{ID: "r"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func recvAll(s *wire.Stream) ([]byte, error) {
	var all []byte
	for {
		ev, err := s.Recv(context.Background())
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		all = append(all, ev.Data...)
	}
}

func TestResponseLargerThanTheWindowArrivesComplete(t *testing.T) {
	g := NewWithT(t)
	want := bytes.Repeat([]byte("0123456789abcdef"), 64<<10)
	c := connect(t, func(ctx context.Context, s *wire.Stream, _ []byte) {
		_ = s.Send(ctx, want)
		_ = s.Finish()
	})
	got, err := recvAll(open(t, c))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(got, want)).To(BeTrue())
}

// The engine dies after the sender has sent a chunk. The receiver must get an error and
// not io.EOF, or it would take the partial response for a complete one.
func TestAbortedResponseDoesNotEndWithEOF(t *testing.T) {
	g := NewWithT(t)
	c := connect(t, func(ctx context.Context, s *wire.Stream, _ []byte) {
		_ = s.Send(ctx, []byte("half"))
		_ = s.Abort(result.New(result.EngineLost, "died"))
	})
	got, err := recvAll(open(t, c))
	g.Expect(string(got)).To(Equal("half"))
	g.Expect(result.From(err).Code).To(Equal(result.EngineLost))
}

// The receiver closes the stream before the end of the response. The sender, which waits for
// flow-control credit that will never arrive, must be cancelled.
func TestClosingAStreamCancelsTheBlockedSender(t *testing.T) {
	g := NewWithT(t)
	stopped := make(chan error, 1)
	c := connect(t, func(ctx context.Context, s *wire.Stream, _ []byte) {
		stopped <- s.Send(ctx, make([]byte, 10*wire.DefaultWindow))
	})
	s := open(t, c)
	_, err := s.Recv(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	s.Close()
	g.Expect(result.From(<-stopped).Code).To(Equal(result.CallerGone))
}
