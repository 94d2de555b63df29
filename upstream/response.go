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

	"github.com/heatherrail/heatherrail/internal/httphead"
)

// Response is a response whose head has been read. Its body must be closed. Closing it before
// the end of the body closes the connection, so that the target stops its work.
type Response struct {
	Status int
	Header fasthttp.ResponseHeader

	// Framed means that the header tells where the body ends. Otherwise the body ends with the
	// connection, and a target that crashes may end it early.
	Framed bool
	Length int // length of the body; negative: the header does not tell it

	body      io.Reader
	reusable  bool
	keepAlive time.Duration
	atEOF     bool
	pool      *Pool
	conn      *conn
	stopAbort func() bool
}

// Values of fasthttp's ContentLength for bodies without a length.
const (
	lengthChunked = -1
	lengthNone    = -2
)

// setBody chooses the reader for the body by the framing of the response.
func (r *Response) setBody(c *conn, isHead bool) {
	length := r.Header.ContentLength()
	r.reusable = !r.Header.ConnectionClose()
	r.keepAlive = keepAliveTime(string(r.Header.Peek(fasthttp.HeaderKeepAlive)))
	r.Framed, r.Length = length != lengthNone, length
	switch {
	case isHead || r.Status == fasthttp.StatusNoContent || r.Status == fasthttp.StatusNotModified:
		announced := r.Status == fasthttp.StatusNoContent && (length > 0 || length == lengthChunked)
		r.reusable = r.reusable && !announced // a body would be taken for the next response
		r.body, r.Length, r.Framed = bytes.NewReader(nil), 0, true
	case length == lengthChunked:
		r.body = &chunkedBody{chunks: httputil.NewChunkedReader(c.br), conn: c}
	case length == lengthNone:
		// The body ends when the connection is closed; a connection reset is a read error and
		// shows that the body is incomplete.
		r.body, r.reusable = c.br, false
	default:
		r.body = &fixedLengthBody{conn: c, remaining: length}
	}
}

// keepAliveTime returns how long a connection may stay idle after a response with this
// Keep-Alive header.
func keepAliveTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-idleTimeMargin, 0)
		}
	}
	return defaultIdleTime
}

// cutBody is a body that ends with its connection, on which the request could not be written completely.
// Its end is never that of a whole body.
type cutBody struct {
	body     io.Reader
	writeErr error
}

// Read implements io.Reader.
func (b *cutBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	return n, httphead.EndError(err, b.writeErr)
}

type fixedLengthBody struct {
	conn      *conn
	remaining int
}

// Read implements io.Reader.
func (b *fixedLengthBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.conn.br.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	if err == io.EOF && b.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

type chunkedBody struct {
	chunks io.Reader
	conn   *conn
	atEOF  bool
}

// maxTrailerLines limits the lines after the last chunk.
const maxTrailerLines = 64

var errTrailerTooLong = errors.New("trailer of a chunked response exceeds the limit of lines")

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.atEOF {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	for range maxTrailerLines {
		line, err := b.conn.br.ReadSlice('\n')
		if err != nil {
			return n, fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			b.atEOF = true
			return n, io.EOF
		}
		if err := httphead.CheckField(line); err != nil {
			return n, fmt.Errorf("trailer: %w", err)
		}
	}
	return n, errTrailerTooLong
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.atEOF = true
	}
	return n, err
}

// Close returns the connection to the pool if the response was read to its end and no
// further data follows. Otherwise it closes the connection.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	running := r.stopAbort()
	if !r.atEOF {
		c.abort()
		return
	}
	if !running || !r.reusable || r.keepAlive == 0 || c.br.Buffered() > 0 {
		c.close()
		return
	}
	r.pool.release(c, r.keepAlive)
}

// maxSkippedBytes limits the body of a skipped response to another request.
const maxSkippedBytes = 1 << 20

func (r *Response) discardBody(c *conn) error {
	if !r.reusable {
		return errors.New("connection is not reusable after it")
	}
	skipped, err := io.Copy(io.Discard, io.LimitReader(r.body, maxSkippedBytes))
	if err != nil {
		return err
	}
	if skipped == maxSkippedBytes {
		return errors.New("its body exceeds the limit for skipped responses")
	}
	return nil
}
