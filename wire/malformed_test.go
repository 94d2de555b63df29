package wire

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/result"
)

// blockingHandler keeps streams open until the connection ends.
type blockingHandler struct{}

func (blockingHandler) ServeStream(ctx context.Context, s *Stream, _ Method, _ []byte) {
	<-ctx.Done()
}
func (blockingHandler) ServeNote(*Conn, Note, []byte) {}

// raw returns a frame with any payload, valid or not.
func raw(kind Kind, stream uint64, payload ...byte) []byte {
	b := beginFrame(nil, kind, stream)
	return endFrame(append(b, payload...), 0)
}

func encoded(kind Kind, stream uint64, msg msgp.Marshaler) []byte {
	payload, err := msg.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	return raw(kind, stream, payload...)
}

func chunk(stream, seq uint64, size int) []byte {
	p := msgp.AppendArrayHeader(nil, 2)
	p = msgp.AppendUint64(p, seq)
	return raw(KindData, stream, msgp.AppendBytes(p, make([]byte, size))...)
}

func join(frames ...[]byte) []byte {
	var all []byte
	for _, f := range frames {
		all = append(all, f...)
	}
	return all
}

func times(n int, f []byte) []byte {
	var all []byte
	for range n {
		all = append(all, f...)
	}
	return all
}

// serveRaw starts the accepting side, sends it a hello and input, and returns the
// connection and its error once it has ended.
func serveRaw(t testing.TB, hello Hello, o Options, input []byte) (*Conn, error) {
	t.Helper()
	a, b := net.Pipe()
	defer func() { _ = a.Close() }()
	go func() { // discard the output, which must not block the write loop
		buf := make([]byte, 4<<10)
		for {
			if _, err := a.Read(buf); err != nil {
				return
			}
		}
	}()
	go func() {
		hello.Schema = SchemaVersion
		_, _ = a.Write(append(encoded(KindHello, 0, &hello), input...)) // the accepting side may close early
	}()
	c, err := Server(b, Hello{Name: "server"}, blockingHandler{}, o)
	if err != nil {
		return nil, err
	}
	<-c.Done()
	c.Close()
	return c, c.Err()
}

// A faulty or hostile peer sends malformed frames. Its connection must end with the
// matching result code, without a panic or a large allocation.
func TestProtocolViolationClosesTheConnection(t *testing.T) {
	open := raw(KindOpen, 1, byte(MethodRequest))
	end := encoded(KindEnd, 1, &End{Digest: 0xef46db3751d8e999}) // digest of no bytes
	cases := []struct {
		name  string
		input []byte
		want  result.Code
	}{
		{"frame longer than the limit", []byte{0xff, 0xff, 0xff, 0xff, byte(KindData), 0, 0, 0, 0, 0, 0, 0, 1}, result.WireFrameTooLarge},
		{"unknown kind", raw(200, 0), result.WireUnknownKind},
		{"second hello", encoded(KindHello, 0, &Hello{}), result.WireUnknownKind},
		{"empty note", raw(KindNote, 0), result.WireMalformed},
		{"empty open", raw(KindOpen, 1), result.WireMalformed},
		{"stream id of this side", raw(KindOpen, 2, byte(MethodRequest)), result.WireMalformed},
		{"stream id zero", raw(KindOpen, 0, byte(MethodRequest)), result.WireMalformed},
		{"stream opened twice", join(open, open), result.WireMalformed},
		{"empty message", join(open, raw(KindMessage, 1)), result.WireMalformed},
		{"too many messages", join(open, times(maxMessages+1, raw(KindMessage, 1, 1))), result.WireFlowControl},
		{"too many bytes of messages", join(open, times(3, raw(KindMessage, 1, make([]byte, maxMessageBytes/2)...))), result.WireFlowControl},
		{"chunk beyond the window", join(open, chunk(1, 0, DefaultWindow+1)), result.WireFlowControl},
		{"empty chunk", join(open, chunk(1, 0, 0)), result.WireMalformed},
		{"chunk that is not an array", join(open, raw(KindData, 1, 0xc0)), result.WireMalformed},
		{"truncated chunk", join(open, raw(KindData, 1, 0x92, 0x00, 0xc6, 0xff, 0xff, 0xff, 0xff)), result.WireMalformed},
		{"credit beyond the window", join(open, encoded(KindCredit, 1, &Credit{Bytes: 1})), result.WireFlowControl},
		{"frame after the end", join(open, end, chunk(1, 0, 1)), result.WireMalformed},
		{"second end", join(open, end, end), result.WireMalformed},
		{"refusal that is not a map", join(open, raw(KindRefuse, 1, 0xc1)), result.WireMalformed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := serveRaw(t, Hello{}, Options{}, tc.input)
			g.Expect(result.From(err).Code).To(Equal(tc.want), "%v", err)
		})
	}
}

func TestInvalidHelloIsRejected(t *testing.T) {
	g := NewWithT(t)
	_, err := serveRaw(t, Hello{Name: string(make([]byte, maxHello))}, Options{}, nil)
	g.Expect(result.From(err).Code).To(Equal(result.WireFrameTooLarge))
	_, err = serveRaw(t, Hello{Window: maxWindow + 1}, Options{}, nil)
	g.Expect(result.From(err).Code).To(Equal(result.WireMalformed))
	_, err = serveRaw(t, Hello{Oldest: SchemaVersion + 1}, Options{}, nil)
	g.Expect(result.From(err).Code).To(Equal(result.WireSchema))
}

// A peer opens more streams than MaxStreams. The excess stream must be refused as not run, and the
// others must stay open.
func TestStreamsBeyondTheLimitAreRefused(t *testing.T) {
	g := NewWithT(t)
	a, b := net.Pipe()
	servers := make(chan *Conn, 1)
	go func() {
		c, err := Server(b, Hello{}, blockingHandler{}, Options{MaxStreams: 2})
		if err == nil {
			servers <- c
		}
	}()
	c, err := Client(a, Hello{}, blockingHandler{}, Options{})
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	server := <-servers
	defer server.Close()
	var streams []*Stream
	for range 3 {
		s, err := c.Open(MethodRequest, &Request{})
		g.Expect(err).NotTo(HaveOccurred())
		streams = append(streams, s)
	}
	_, err = streams[2].Recv(context.Background())
	g.Expect(result.From(err).Code).To(Equal(result.WireStreams))
	g.Expect(result.From(err).Run()).To(Equal(result.RunNot))
	server.mu.Lock()
	defer server.mu.Unlock()
	g.Expect(server.peerStreams).To(Equal(2))
}
