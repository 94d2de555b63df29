package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

var validHeads = []string{
	"HTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.0 200 OK\r\n\r\n",
	"HTTP/1.1 200 \r\n\r\n",
	"HTTP/1.1 599 a\tb \x80\xff\r\n\r\n",
	"HTTP/1.1 204 No Content\r\nDate: x\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX:\r\nY: \t v \x80 \t\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked \r\n\r\n",
	"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: v\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\n",
}

var invalidHeads = map[string]string{
	"status 000":                 "HTTP/1.1 000 X\r\n\r\n",
	"status 099":                 "HTTP/1.1 099 X\r\n\r\n",
	"status 600":                 "HTTP/1.1 600 X\r\n\r\n",
	"status 999":                 "HTTP/1.1 999 X\r\n\r\n",
	"status of two digits":       "HTTP/1.1 20 OK\r\n\r\n",
	"status of four digits":      "HTTP/1.1 2000 OK\r\n\r\n",
	"status with a sign":         "HTTP/1.1 +20 OK\r\n\r\n",
	"switch of the protocol":     "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	"two blanks":                 "HTTP/1.1  200 OK\r\n\r\n",
	"tab before the status":      "HTTP/1.1\t200 OK\r\n\r\n",
	"no blank after the status":  "HTTP/1.1 200\r\n\r\n",
	"HTTP/2.0":                   "HTTP/2.0 200 OK\r\n\r\n",
	"HTTP/0.9":                   "HTTP/0.9 200 OK\r\n\r\n",
	"HTTP/1.x":                   "HTTP/1.x 200 OK\r\n\r\n",
	"HTTP/1.10":                  "HTTP/1.10 200 OK\r\n\r\n",
	"lower case":                 "http/1.1 200 OK\r\n\r\n",
	"empty line first":           "\r\nHTTP/1.1 200 OK\r\n\r\n",
	"blank first":                " HTTP/1.1 200 OK\r\n\r\n",
	"NUL in the reason":          "HTTP/1.1 200 O\x00K\r\n\r\n",
	"bell in the reason":         "HTTP/1.1 200 O\x07K\r\n\r\n",
	"DEL in the reason":          "HTTP/1.1 200 O\x7fK\r\n\r\n",
	"CR in the reason":           "HTTP/1.1 200 O\rK\r\n\r\n",
	"lines without CR":           "HTTP/1.1 200 OK\n\n",
	"field line without CR":      "HTTP/1.1 200 OK\r\nA: b\n\r\n",
	"end without CR":             "HTTP/1.1 200 OK\r\nA: b\r\n\n",
	"blank in a name":            "HTTP/1.1 200 OK\r\nContent Length: 15\r\n\r\n",
	"blank before the colon":     "HTTP/1.1 200 OK\r\nContent-Length : 15\r\n\r\n",
	"tab before the colon":       "HTTP/1.1 200 OK\r\nContent-Length\t: 15\r\n\r\n",
	"control byte in a name":     "HTTP/1.1 200 OK\r\nA\x01b: c\r\n\r\n",
	"NUL in a name":              "HTTP/1.1 200 OK\r\nA\x00: c\r\n\r\n",
	"byte over 127 in a name":    "HTTP/1.1 200 OK\r\nA\xe9: c\r\n\r\n",
	"slash in a name":            "HTTP/1.1 200 OK\r\nA/b: c\r\n\r\n",
	"empty name":                 "HTTP/1.1 200 OK\r\n: c\r\n\r\n",
	"line without a colon":       "HTTP/1.1 200 OK\r\nAbc\r\n\r\n",
	"folded line":                "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n",
	"line folded by a tab":       "HTTP/1.1 200 OK\r\nA: b\r\n\tc: d\r\n\r\n",
	"first field folded":         "HTTP/1.1 200 OK\r\n A: b\r\n\r\n",
	"NUL in a value":             "HTTP/1.1 200 OK\r\nA: \x00\r\n\r\n",
	"CR in a value":              "HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n",
	"control byte in a value":    "HTTP/1.1 200 OK\r\nA: \x1b\r\n\r\n",
	"two lengths":                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
	"the same length twice":      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\ncontent-length: 5\r\n\r\n",
	"list of lengths":            "HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\n",
	"empty length":               "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n",
	"signed length":              "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n",
	"negative length":            "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
	"hexadecimal length":         "HTTP/1.1 200 OK\r\nContent-Length: 0x5\r\n\r\n",
	"length with an underscore":  "HTTP/1.1 200 OK\r\nContent-Length: 1_5\r\n\r\n",
	"length over 63 bits":        "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n\r\n",
	"length over 64 bits":        "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551621\r\n\r\n",
	"length and chunks":          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
	"unknown coding":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
	"chunked twice":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
	"no coding":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\n",
	"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"no head at all":             "\x16\x03\x01\x02\x00\x01\n",
	"event stream without heads": "id: 1\r\ndata: x\r\n\r\n",
}

// Heads that the grammar does not allow were taken for responses.
func TestHeadsAreCheckedByTheGrammar(t *testing.T) {
	for _, head := range validHeads {
		g := NewWithT(t)
		length, _, err := Check([]byte(head + "rest"))
		g.Expect(err).NotTo(HaveOccurred(), "%q", head)
		g.Expect(length).To(Equal(len(head)), "%q", head)
		for n := range head {
			length, _, err := Check([]byte(head[:n]))
			g.Expect(err).NotTo(HaveOccurred(), "%q", head[:n])
			g.Expect(length).To(BeZero(), "%q", head[:n])
		}
		br := bufio.NewReader(iotest.OneByteReader(strings.NewReader(head + "rest")))
		g.Expect(Peek(br)).To(Succeed(), "%q", head)
		whole, _ := io.ReadAll(br)
		g.Expect(string(whole)).To(Equal(head+"rest"), "nothing is consumed")
	}
	for name, head := range invalidHeads {
		g := NewWithT(t)
		_, _, err := Check([]byte(head))
		g.Expect(err).To(MatchError(ErrInvalid), name)
		g.Expect(Peek(bufio.NewReader(strings.NewReader(head)))).To(MatchError(ErrInvalid), name)
		_, err = NewConn(pipeOf(head)).Read(make([]byte, 100))
		g.Expect(err).To(MatchError(ErrInvalid), name)
	}
}

// A head without an end must be given up at the size of the buffer, and one that is cut off is an error.
func TestHeadsAreBounded(t *testing.T) {
	g := NewWithT(t)
	endless := "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 4000)
	g.Expect(Peek(bufio.NewReaderSize(strings.NewReader(endless), 4096))).To(MatchError(ErrInvalid))
	_, err := NewConn(pipeOf(endless)).Read(make([]byte, 100))
	g.Expect(err).To(MatchError(ErrInvalid))
	g.Expect(Peek(bufio.NewReader(strings.NewReader("HTTP/1.1 200")))).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(Peek(bufio.NewReader(strings.NewReader("")))).To(MatchError(io.EOF))
	_, err = NewConn(pipeOf("HTTP/1.1 200")).Read(make([]byte, 100))
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
}

// fakeConn is a connection that reads from r and whose writes fail with writeErr.
type fakeConn struct {
	net.Conn
	r        io.Reader
	writeErr error
}

func (c *fakeConn) Read(p []byte) (int, error) { return c.r.Read(p) }

func (c *fakeConn) Write(p []byte) (int, error) {
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	return len(p), nil
}

func pipeOf(text string) *fakeConn { return &fakeConn{r: strings.NewReader(text)} }

// A Conn must change nothing that is valid: interim responses, bodies, and the next response.
func TestConnPassesResponsesUnchanged(t *testing.T) {
	g := NewWithT(t)
	first := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nbody\x00\n\r\n\r\nxy"
	nc := &fakeConn{r: iotest.HalfReader(strings.NewReader(first))}
	c := NewConn(nc)
	got, err := io.ReadAll(iotest.OneByteReader(c))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal(first))

	second := "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
	nc.r = strings.NewReader(second)
	_, _ = c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	got, err = io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal(second))

	nc.r = strings.NewReader("HTTP/1.1 000 No\r\n\r\n")
	_, _ = c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	_, err = io.ReadAll(c)
	g.Expect(err).To(MatchError(ErrInvalid), "each head is checked")
}

var errReset = errors.New("connection reset by peer")

// The failed write of an upload took the report of a reset, and the read after it saw an ordinary end.
func TestFailedWriteMakesTheEndABreak(t *testing.T) {
	g := NewWithT(t)
	nc := &fakeConn{r: bytes.NewReader([]byte("HTTP/1.1 200 OK\r\n\r\npart")), writeErr: errReset}
	c := NewConn(nc)
	_, err := c.Write([]byte("request"))
	g.Expect(err).To(MatchError(errReset))
	got, err := io.ReadAll(c)
	g.Expect(string(got)).To(HaveSuffix("part"))
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(err).To(MatchError(errReset))
}
