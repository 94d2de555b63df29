package wire

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/result"
)

// holder keeps streams open until the connection ends.
type holder struct{}

func (holder) ServeStream(ctx context.Context, s *Stream, _ Method, _ []byte) {
	<-ctx.Done()
}
func (holder) ServeNote(*Conn, Note, []byte) {}

// raw is a frame that no correct peer needs to be able to build.
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

// serveRaw starts the accepting side and plays bytes into it after a hello; it
// returns the connection once it has ended.
func serveRaw(t testing.TB, hello Hello, o Options, input []byte) (*Conn, error) {
	t.Helper()
	a, b := net.Pipe()
	defer func() { _ = a.Close() }()
	go func() { // the answers are of no interest, but must not block the writer
		buf := make([]byte, 4<<10)
		for {
			if _, err := a.Read(buf); err != nil {
				return
			}
		}
	}()
	go func() {
		hello.Schema = SchemaVersion
		_, _ = a.Write(append(encoded(KindHello, 0, &hello), input...)) // the reader may stop early
	}()
	c, err := Server(b, Hello{Name: "server"}, holder{}, o)
	if err != nil {
		return nil, err
	}
	<-c.Done()
	c.Close()
	return c, c.Err()
}

// A peer that breaks the protocol loses its connection with a numbered reason;
// nothing that it claims is allocated, and the process goes on.
func TestPeerThatBreaksTheProtocolLosesItsConnection(t *testing.T) {
	open := raw(KindOpen, 1, byte(MethodRequest))
	end := encoded(KindEnd, 1, &End{Digest: 0xef46db3751d8e999}) // of no bytes
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
		{"messages without end", join(open, times(maxMessages+1, raw(KindMessage, 1, 1))), result.WireFlowControl},
		{"large messages without end", join(open, times(3, raw(KindMessage, 1, make([]byte, maxMessageBytes/2)...))), result.WireFlowControl},
		{"chunk beyond the window", join(open, chunk(1, 0, DefaultWindow+1)), result.WireFlowControl},
		{"empty chunk", join(open, chunk(1, 0, 0)), result.WireMalformed},
		{"chunk that is no array", join(open, raw(KindData, 1, 0xc0)), result.WireMalformed},
		{"chunk cut short", join(open, raw(KindData, 1, 0x92, 0x00, 0xc6, 0xff, 0xff, 0xff, 0xff)), result.WireMalformed},
		{"credit never granted", join(open, encoded(KindCredit, 1, &Credit{Bytes: 1})), result.WireFlowControl},
		{"frame after the end", join(open, end, chunk(1, 0, 1)), result.WireMalformed},
		{"second end", join(open, end, end), result.WireMalformed},
		{"refusal that is no map", join(open, raw(KindRefuse, 1, 0xc1)), result.WireMalformed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := serveRaw(t, Hello{}, Options{}, tc.input)
			g.Expect(result.From(err).Code).To(Equal(tc.want), "%v", err)
		})
	}
}

func TestHelloIsBoundedAndChecked(t *testing.T) {
	g := NewWithT(t)
	_, err := serveRaw(t, Hello{Name: string(make([]byte, maxHello))}, Options{}, nil)
	g.Expect(result.From(err).Code).To(Equal(result.WireFrameTooLarge))
	_, err = serveRaw(t, Hello{Window: maxWindow + 1}, Options{}, nil)
	g.Expect(result.From(err).Code).To(Equal(result.WireMalformed))
	_, err = serveRaw(t, Hello{Oldest: SchemaVersion + 1}, Options{}, nil)
	g.Expect(result.From(err).Code).To(Equal(result.WireSchema))
}

// A peer opens streams without end. Those beyond the limit are refused as "not
// run"; those within it stay.
func TestStreamsBeyondTheLimitAreRefused(t *testing.T) {
	g := NewWithT(t)
	a, b := net.Pipe()
	servers := make(chan *Conn, 1)
	go func() {
		c, err := Server(b, Hello{}, holder{}, Options{MaxStreams: 2})
		if err == nil {
			servers <- c
		}
	}()
	c, err := Client(a, Hello{}, holder{}, Options{})
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
	g.Expect(server.accepted).To(Equal(2))
}
