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

	"github.com/heatherrail/heatherrail/internal/tcp"
)

// HTTPBackend speaks HTTP/1.1 to one address. It uses fasthttp's messages on
// connections of its own: fasthttp's client sends a request again by itself when
// a kept connection turns out dead, and can't be cancelled before the header of
// the answer, so a log entry could run twice and a caller that left would keep
// its engine slot.
type HTTPBackend struct {
	// WholeEvents makes an event stream count as whole only if its last event is
	// "data: [DONE]", as model engines end theirs. An engine that dies may still
	// end its body cleanly, when a layer of it outlives the one that computes, and half an answer would
	// pass for a whole one.
	WholeEvents bool

	addr     string
	dial     func(ctx context.Context) (net.Conn, error)
	maxIdle  int
	mu       sync.Mutex
	idle     []*backendConn
	isClosed bool
}

const (
	dialTimeout     = 2 * time.Second
	idleKept        = 5 * time.Second // shorter than the keep-alive of usual servers
	defaultMaxIdle  = 256
	backendReadBuf  = 8 << 10
	backendWriteBuf = 8 << 10
)

type backendConn struct {
	nc      net.Conn
	br      *bufio.Reader
	idledAt time.Time
}

// NewHTTPBackend returns a backend for an IP number and port.
func NewHTTPBackend(addr string) *HTTPBackend {
	d := net.Dialer{Timeout: dialTimeout}
	return &HTTPBackend{
		addr:    addr,
		maxIdle: defaultMaxIdle,
		dial: func(ctx context.Context) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		},
	}
}

// Run implements Backend.
func (b *HTTPBackend) Run(ctx context.Context, call *Call) (*Reply, error) {
	if !plainTarget(call.Path) {
		return nil, &SendError{MayHaveRun: false, Err: fmt.Errorf("path %q can't stand in a request line", call.Path)}
	}
	bc, err := b.take(ctx)
	if err != nil {
		return nil, &SendError{MayHaveRun: false, Err: fmt.Errorf("connect to %s: %w", b.addr, err)}
	}
	// The watcher closes the connection when the caller gives up; the backend sees
	// the close and frees the slot.
	stop := context.AfterFunc(ctx, func() { _ = bc.nc.Close() })
	reply, err := b.exchange(bc, call, stop)
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

// plainTarget refuses what would end a request line and begin another request:
// fasthttp writes the path as it is given.
func plainTarget(path string) bool {
	return strings.HasPrefix(path, "/") && !strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

func (b *HTTPBackend) exchange(bc *backendConn, call *Call, stop func() bool) (*Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
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
	resp.SkipBody = call.Method == fasthttp.MethodHead
	if err := resp.Read(bc.br); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return b.reply(bc, resp, stop), nil
}

// requestWriters are needed for the moment of a request only, not for as long as
// its answer streams.
var requestWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, backendWriteBuf) }}

func (bc *backendConn) send(req *fasthttp.Request) error {
	bw := requestWriters.Get().(*bufio.Writer)
	defer requestWriters.Put(bw)
	bw.Reset(bc.nc)
	defer bw.Reset(nil)
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// errUnframed marks an answer whose end can't be told from a cut connection.
var errUnframed = errors.New("answer has neither a length nor chunks, so its end can't be verified")

func (b *HTTPBackend) reply(bc *backendConn, resp *fasthttp.Response, stop func() bool) *Reply {
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
		body.fixed = resp.Body()
	}
	r.Body = body
	if b.WholeEvents && r.Status == fasthttp.StatusOK && bytes.HasPrefix(resp.Header.ContentType(), []byte("text/event-stream")) {
		r.Body = &eventBody{ReadCloser: body}
	}
	return r
}

type backendBody struct {
	backend  *HTTPBackend
	conn     *backendConn
	resp     *fasthttp.Response
	r        io.Reader // streamed body, or nil
	fixed    []byte
	stop     func() bool
	unframed bool
	reusable bool
	ended    bool
}

// Read implements io.Reader.
func (b *backendBody) Read(p []byte) (int, error) {
	if b.r == nil {
		n := copy(p, b.fixed)
		b.fixed = b.fixed[n:]
		if len(b.fixed) > 0 {
			return n, nil
		}
		b.ended = true
		return n, io.EOF
	}
	n, err := b.r.Read(p)
	for err == nil && n < len(p) && b.conn.br.Buffered() >= gatherMin {
		var more int
		more, err = b.r.Read(p[n:])
		n += more
	}
	if err == io.EOF {
		if b.unframed {
			return n, errUnframed
		}
		b.ended = true
	}
	return n, err
}

// gatherMin is how much must have arrived for another piece of the body to be
// read along with the first: the head of a chunk is shorter, so the read does
// not wait for a token while others could go out.
const gatherMin = 64

// Close keeps the connection if the body was read to its end, else closes it.
func (b *backendBody) Close() error {
	if b.conn == nil {
		return nil
	}
	conn := b.conn
	b.conn = nil
	inTime := b.stop()
	if !b.ended || !b.reusable || !inTime {
		return conn.nc.Close() // the response goes to the collector: its stream may still read
	}
	err := b.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(b.resp)
	if err != nil {
		return conn.nc.Close()
	}
	b.backend.give(conn)
	return nil
}

// take returns a live connection. A kept one is peeked at first: a backend that
// has closed it meanwhile would make the request look sent.
func (b *HTTPBackend) take(ctx context.Context) (*backendConn, error) {
	for {
		bc := b.pop()
		if bc == nil {
			break
		}
		if time.Since(bc.idledAt) < idleKept && bc.br.Buffered() == 0 && tcp.StillOpen(bc.nc) {
			return bc, nil
		}
		_ = bc.nc.Close()
	}
	nc, err := b.dial(ctx)
	if err != nil {
		return nil, err
	}
	return &backendConn{
		nc: nc,
		br: bufio.NewReaderSize(nc, backendReadBuf),
	}, nil
}

func (b *HTTPBackend) pop() *backendConn {
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

func (b *HTTPBackend) give(bc *backendConn) {
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

// Close closes the kept connections.
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
