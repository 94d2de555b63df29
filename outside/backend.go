package outside

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/internal/httphead"
	"github.com/heatherrail/heatherrail/internal/tcp"
)

// HTTPBackend is an HTTP/1.1 client for one address. It uses the message types of
// fasthttp, but manages connections itself. The client of fasthttp resends a request
// when an idle connection turns out to be closed, so an append to the log could take
// effect twice. The client of fasthttp also cannot be cancelled before the response
// header arrives, so a caller that has gone would keep its engine slot.
type HTTPBackend struct {
	// RequireDone makes an event stream complete only if its last event is
	// "data: [DONE]", as model engines send it. When the computing part of an engine
	// dies, its HTTP front may still end the body cleanly, and a partial response
	// would be taken for a complete one.
	RequireDone bool

	addr     string
	dial     func(ctx context.Context) (net.Conn, error)
	maxIdle  int
	mu       sync.Mutex
	idle     []*backendConn
	isClosed bool
}

const (
	dialTimeout         = 2 * time.Second
	maxIdleTime         = 5 * time.Second // shorter than the keep-alive timeout of common servers
	defaultMaxIdleConns = 256
	backendReadBuf      = 8 << 10
	backendWriteBuf     = 8 << 10
)

type backendConn struct {
	nc      net.Conn
	checked *httphead.Conn // nc, for the request and the response
	br      *bufio.Reader  // reads from checked
	idledAt time.Time
}

// NewHTTPBackend returns a backend for an IP address and port.
func NewHTTPBackend(addr string) *HTTPBackend {
	d := net.Dialer{Timeout: dialTimeout}
	return &HTTPBackend{
		addr:    addr,
		maxIdle: defaultMaxIdleConns,
		dial: func(ctx context.Context) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		},
	}
}

// Run implements Backend.
func (b *HTTPBackend) Run(ctx context.Context, call *Call) (*Reply, error) {
	if !isValidPath(call.Path) {
		return nil, &SendError{MayHaveRun: false, Err: fmt.Errorf("path %q can't stand in a request line", call.Path)}
	}
	bc, err := b.acquire(ctx)
	if err != nil {
		return nil, &SendError{MayHaveRun: false, Err: fmt.Errorf("connect to %s: %w", b.addr, err)}
	}
	// If the caller cancels, the connection is closed, and the backend frees the slot
	// when it notices.
	stop := context.AfterFunc(ctx, func() { _ = bc.nc.Close() })
	reply, err := b.roundTrip(bc, call, stop)
	if err != nil {
		stop()
		_ = bc.nc.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &SendError{MayHaveRun: true, Err: err}
	}
	return reply, nil
}

// isValidPath reports whether path cannot end the request line and start another
// request. fasthttp writes the path unescaped.
func isValidPath(path string) bool {
	return strings.HasPrefix(path, "/") && !strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

func (b *HTTPBackend) roundTrip(bc *backendConn, call *Call, stop func() bool) (*Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(call.Method)
	req.SetRequestURI(call.Path)
	req.Header.SetHost(b.addr)
	for _, h := range call.Headers {
		req.Header.Set(h[0], h[1])
	}
	req.SetBodyRaw(call.Body)
	if err := bc.send(req); err != nil {
		return nil, fmt.Errorf("write request: %w", err)
	}
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	resp.Header.SetNoDefaultContentType(true)
	resp.SkipBody = call.Method == fasthttp.MethodHead
	if err := resp.Read(bc.br); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return b.newReply(bc, resp, stop), nil
}

// requestWriters pools write buffers. A buffer is needed only while a request is
// written, not while its response streams.
var requestWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, backendWriteBuf) }}

func (bc *backendConn) send(req *fasthttp.Request) error {
	bw := requestWriters.Get().(*bufio.Writer)
	defer requestWriters.Put(bw)
	bw.Reset(bc.checked)
	defer bw.Reset(nil)
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// errUnframed is returned at the end of a response with neither a content length nor
// chunked encoding: its end looks the same as a broken connection.
var errUnframed = errors.New("answer has neither a length nor chunks, so its end can't be verified")

func (b *HTTPBackend) newReply(bc *backendConn, resp *fasthttp.Response, stop func() bool) *Reply {
	r := &Reply{Status: resp.StatusCode()}
	for k, v := range resp.Header.All() {
		r.Headers = append(r.Headers, [2]string{string(k), string(v)})
	}
	body := &backendBody{backend: b, conn: bc, resp: resp, stop: stop}
	body.unframed = resp.Header.ContentLength() == -2 && !resp.SkipBody
	body.reusable = !resp.ConnectionClose() && !body.unframed
	if s := resp.BodyStream(); s != nil {
		body.r = s
	} else {
		body.fixedBody = resp.Body()
	}
	r.Body = body
	if b.RequireDone && r.Status == fasthttp.StatusOK && bytes.HasPrefix(resp.Header.ContentType(), []byte("text/event-stream")) {
		r.Body = &eventBody{ReadCloser: body}
	}
	return r
}

type backendBody struct {
	backend   *HTTPBackend
	conn      *backendConn
	resp      *fasthttp.Response
	r         io.Reader // streamed body, or nil
	fixedBody []byte
	stop      func() bool
	unframed  bool
	reusable  bool
	atEOF     bool
}

// Read implements io.Reader.
func (b *backendBody) Read(p []byte) (int, error) {
	if b.r == nil {
		n := copy(p, b.fixedBody)
		b.fixedBody = b.fixedBody[n:]
		if len(b.fixedBody) > 0 {
			return n, nil
		}
		b.atEOF = true
		return n, io.EOF
	}
	n, err := b.r.Read(p)
	for err == nil && n < len(p) && b.conn.br.Buffered() >= minBufferedRead {
		var more int
		more, err = b.r.Read(p[n:])
		n += more
	}
	if err == io.EOF {
		if b.unframed {
			return n, errUnframed
		}
		b.atEOF = true
	}
	return n, err
}

// minBufferedRead is the least number of buffered bytes for which Read appends
// further data to the first piece. The header of a chunk is shorter, so the
// additional read does not block for the next token while earlier tokens could be
// forwarded.
const minBufferedRead = 64

// Close returns the connection to the idle pool if the body was read to its end, and
// closes it otherwise.
func (b *backendBody) Close() error {
	if b.conn == nil {
		return nil
	}
	conn := b.conn
	b.conn = nil
	notCancelled := b.stop()
	if !b.atEOF || !b.reusable || !notCancelled {
		return conn.nc.Close() // resp is left to the garbage collector, because its stream may still be read
	}
	err := b.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(b.resp)
	if err != nil {
		return conn.nc.Close()
	}
	b.backend.release(conn)
	return nil
}

// acquire returns an open connection. It checks an idle connection before it reuses
// it: a request sent on a connection that the backend has closed would count as
// possibly run.
func (b *HTTPBackend) acquire(ctx context.Context) (*backendConn, error) {
	for {
		bc := b.popIdle()
		if bc == nil {
			break
		}
		if time.Since(bc.idledAt) < maxIdleTime && bc.br.Buffered() == 0 && tcp.StillOpen(bc.nc) {
			return bc, nil
		}
		_ = bc.nc.Close()
	}
	nc, err := b.dial(ctx)
	if err != nil {
		return nil, err
	}
	checked := httphead.NewConn(nc)
	return &backendConn{nc: nc, checked: checked, br: bufio.NewReaderSize(checked, backendReadBuf)}, nil
}

func (b *HTTPBackend) popIdle() *backendConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.idle) == 0 {
		return nil
	}
	last := len(b.idle) - 1
	bc := b.idle[last]
	b.idle = b.idle[:last]
	return bc
}

func (b *HTTPBackend) release(bc *backendConn) {
	bc.idledAt = time.Now()
	b.mu.Lock()
	keep := !b.isClosed && len(b.idle) < b.maxIdle
	if keep {
		b.idle = append(b.idle, bc)
	}
	b.mu.Unlock()
	if !keep {
		_ = bc.nc.Close()
	}
}

// Close closes the idle connections. A connection in use is closed when its response
// body is closed.
func (b *HTTPBackend) Close() {
	b.mu.Lock()
	idle := b.idle
	b.idle = nil
	b.isClosed = true
	b.mu.Unlock()
	for _, bc := range idle {
		_ = bc.nc.Close()
	}
}
