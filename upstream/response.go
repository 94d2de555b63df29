package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Response is an answer. Its body must be closed; closing it before its end
// closes the connection, so that the target stops its work.
type Response struct {
	Status int
	Header fasthttp.ResponseHeader

	body     io.Reader
	reusable bool
	keep     time.Duration
	ended    bool
	pool     *Pool
	conn     *conn
	stop     func() bool
}

// framing of HTTP, as the library numbers it.
const (
	lengthChunked = -1
	lengthNone    = -2
)

// frame finds out how the body ends.
func (r *Response) frame(c *conn, isHead bool) {
	n := r.Header.ContentLength()
	r.reusable = !r.Header.ConnectionClose()
	r.keep = keepFor(string(r.Header.Peek(fasthttp.HeaderKeepAlive)))
	switch {
	case isHead || r.Status == fasthttp.StatusNoContent || r.Status == fasthttp.StatusNotModified:
		r.body = bytes.NewReader(nil)
	case n == lengthChunked:
		r.body = &chunkedBody{chunks: httputil.NewChunkedReader(c.br), conn: c}
	case n == lengthNone:
		// The answer ends with its connection; a reset on the way is an error of
		// the read and shows that it is not whole.
		r.body, r.reusable = c.br, false
	default:
		r.body = &sizedBody{conn: c, left: n}
	}
}

// keepFor returns how long a connection may be kept after an answer.
func keepFor(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(s)*time.Second-idleMargin, 0)
		}
	}
	return idleDefault
}

type sizedBody struct {
	conn *conn
	left int
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.conn.br.Read(p[:min(len(p), b.left)])
	b.left -= n
	if err == io.EOF && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

type chunkedBody struct {
	chunks io.Reader
	conn   *conn
	ended  bool
}

// trailerMax bounds the lines after the last chunk.
const trailerMax = 64

var errTrailer = errors.New("trailer of a chunked answer does not end")

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	for range trailerMax {
		line, err := b.conn.br.ReadSlice('\n')
		if err != nil {
			return n, fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
		}
		if len(bytes.TrimSpace(line)) == 0 {
			b.ended = true
			return n, io.EOF
		}
	}
	return n, errTrailer
}

// Read implements io.Reader. It ends with io.EOF only if the answer was whole.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.ended = true
	}
	return n, err
}

// Close keeps the connection for another request if the answer was whole and
// nothing follows it.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	running := r.stop()
	if !r.ended {
		c.abort()
		return
	}
	if !running || !r.reusable || r.keep == 0 || c.br.Buffered() > 0 {
		_ = c.nc.Close()
		return
	}
	r.pool.give(c, r.keep)
}

// foreignMax bounds an answer to another request that is passed over.
const foreignMax = 1 << 20

func (r *Response) skip(c *conn) error {
	if !r.reusable {
		return errors.New("nothing can follow it")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r.body, foreignMax))
	if err != nil {
		return err
	}
	if n == foreignMax {
		return errors.New("it is too long to be passed over")
	}
	return nil
}
