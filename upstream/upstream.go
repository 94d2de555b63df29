// Package upstream sends requests to one target over HTTP/1.1. It keeps a pool of connections,
// never repeats a request, and reports whether a failed request may have run.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/internal/httphead"
	"github.com/heatherrail/heatherrail/internal/tcp"
)

// Field is one header field.
type Field struct{ Name, Value string }

// Request is one request, sent unchanged.
type Request struct {
	Method            string
	URI               string // URI as sent by the caller
	Host              string
	Fields            []Field
	Body              [][]byte // in parts
	SendContentLength bool     // send Content-Length even if Body is empty
	// EchoHeader and EchoValue are the name and the value of the header field that identifies
	// the response to this request.
	EchoHeader string
	EchoValue  string
}

func (r *Request) bodyLength() (n int) {
	for _, part := range r.Body {
		n += len(part)
	}
	return n
}

// SendError is the failure of a request that has no usable response.
type SendError struct {
	MayHaveRun    bool // the target may have started to process the request
	NewConnection bool // the connection was opened for this request, or could not be opened
	Err           error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Limits of connections.
const (
	dialTimeout     = 600 * time.Millisecond // a few times the longest delay between data centres
	readBufferBytes = 4 << 10
	defaultIdleTime = 4 * time.Second        // idle time for targets that send no Keep-Alive timeout
	idleTimeMargin  = 500 * time.Millisecond // a connection counts as idle for too long this much before the timeout that the target announces
	maxIdleConns    = 64
)

// Limit bounds the open connections to all targets together. The zero value is no limit.
type Limit struct {
	Max      int64
	MakeRoom func() // closes idle connections

	open atomic.Int64
}

// isReached reports whether no more connections may be open.
func (l *Limit) isReached() bool { return l.Max > 0 && l.open.Load() >= l.Max }

// Pool holds the idle connections to one target.
type Pool struct {
	addr   string
	limit  *Limit
	mu     sync.Mutex
	idle   []*conn // idle connections, most recently used last
	closed bool
	dials  int64
}

// NewPool returns a pool for the target at an address.
func NewPool(addr string, limit *Limit) *Pool { return &Pool{addr: addr, limit: limit} }

type conn struct {
	nc      net.Conn
	br      *bufio.Reader
	stall   *tcp.StallWatch // a target may read a long body slowly
	expires time.Time
	limit   *Limit
	closed  atomic.Bool
}

func newConn(nc net.Conn, limit *Limit) *conn {
	limit.open.Add(1)
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes), stall: tcp.NewStallWatch(nc, nil), limit: limit}
}

func (c *conn) close() {
	_ = c.nc.Close() // an error at this point has no consequence
	c.recordClosed()
}

func (c *conn) recordClosed() {
	if !c.closed.Swap(true) {
		c.limit.open.Add(-1)
	}
}

// DialCount returns the number of connections that were opened or attempted.
func (p *Pool) DialCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// IdleCount returns the number of open connections that are idle.
func (p *Pool) IdleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Send sends a request and returns the head of its response. Cancelling ctx closes the
// connection, so that the target stops its work, and the response's body ends with an error. A
// failure is a *SendError.
func (p *Pool) Send(ctx context.Context, req *Request) (*Response, error) {
	c, opened, err := p.acquire(ctx)
	if err != nil {
		return nil, &SendError{NewConnection: true, Err: fmt.Errorf("connect to %s: %w", p.addr, err)}
	}
	if ctx.Err() != nil {
		p.release(c, defaultIdleTime)
		return nil, &SendError{Err: context.Cause(ctx)}
	}
	stopAbort := context.AfterFunc(ctx, c.abort)
	r, err := c.exchange(req)
	if err != nil {
		stopAbort()
		c.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &SendError{MayHaveRun: true, NewConnection: opened, Err: err}
	}
	r.pool, r.conn, r.stopAbort = p, c, stopAbort
	return r, nil
}

// abort resets the connection. The reset discards data that is still on its way to the target.
// After an ordinary close that data would arrive when a frozen or disconnected VM is back, and
// the target would process a request whose caller has long left.
func (c *conn) abort() {
	tcp.Abort(c.nc)
	c.recordClosed()
}

var headBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 2<<10); return &b }}

// separateBodyBytes is the size from which a body is written separately and not copied behind
// the head.
const separateBodyBytes = 16 << 10

// exchange writes a request and reads the head of its response.
func (c *conn) exchange(req *Request) (*Response, error) {
	buf := headBuffers.Get().(*[]byte)
	head := appendHead((*buf)[:0], req)
	joined := req.bodyLength() <= separateBodyBytes
	if joined {
		for _, part := range req.Body {
			head = append(head, part...)
		}
	}
	c.stall.Arm()
	_, writeErr := c.nc.Write(head)
	*buf = head[:0]
	headBuffers.Put(buf)
	for i := 0; i < len(req.Body) && !joined && writeErr == nil; i++ {
		_, writeErr = c.nc.Write(req.Body[i])
	}
	// A target may reject a long request and close the connection before the whole body has
	// arrived. The rejection can then be read although the rest could not be written.
	r, err := c.readResponse(req)
	if err != nil && writeErr != nil {
		return nil, fmt.Errorf("write request: %w", writeErr)
	}
	if err == nil && writeErr != nil {
		r.reusable = false
		if !r.Framed {
			r.body = &cutBody{body: r.body, writeErr: writeErr}
		}
	}
	return r, err
}

func appendHead(b []byte, req *Request) []byte {
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	for _, f := range req.Fields {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	if length := req.bodyLength(); length > 0 || req.SendContentLength {
		b = append(b, "Content-Length: "...)
		b = fmt.Append(b, length)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// maxSkippedResponses limits how many responses to earlier requests are skipped before
// the response to the current one.
const maxSkippedResponses = 2

// maxInterimResponses limits the interim responses (status 1xx) before a response.
const maxInterimResponses = 8

var errInterimResponses = errors.New("too many interim responses")

var errOtherRequest = errors.New("response belongs to another request")

// readResponse reads the head of the response to this request. A faulty target may send a
// second response to an earlier request where the response to this one is expected. Such a
// response is recognised by its request ID and skipped.
func (c *conn) readResponse(req *Request) (*Response, error) {
	for range maxSkippedResponses + 1 {
		r, err := c.readResponseHead(req)
		if err != nil {
			return nil, err
		}
		echo := string(r.Header.Peek(req.EchoHeader))
		if echo == req.EchoValue || (echo == "" && r.Status/100 != 2) {
			return r, nil
		}
		if err := r.discardBody(c); err != nil {
			return nil, fmt.Errorf("%w: %w", errOtherRequest, err)
		}
	}
	return nil, errOtherRequest
}

func (c *conn) readResponseHead(req *Request) (*Response, error) {
	r := &Response{}
	r.Header.SetNoDefaultContentType(true)
	for range maxInterimResponses + 1 {
		if err := httphead.Peek(c.br); err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if err := r.Header.Read(c.br); err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		r.Status = r.Header.StatusCode()
		if r.Status >= 200 {
			r.setBody(c, req.Method == fasthttp.MethodHead)
			return r, nil
		}
	}
	return nil, errInterimResponses
}

// acquire returns a usable connection and whether it was opened just now. An idle connection is
// checked before use: on a connection that the target has closed, the request would seem to have
// been sent. On a connection with unrequested data from the target, the request would get a
// response that is not its own.
func (p *Pool) acquire(ctx context.Context) (c *conn, opened bool, err error) {
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.br.Buffered() == 0 && tcp.StillOpen(c.nc) {
			return c, false, nil
		}
		c.close()
	}
	if p.limit.isReached() && p.limit.MakeRoom != nil {
		p.limit.MakeRoom()
	}
	nc, err := p.dial(ctx, dialTimeout)
	if err != nil {
		return nil, true, err
	}
	return newConn(nc, p.limit), true, nil
}

func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

func (p *Pool) release(c *conn, idleTime time.Duration) {
	c.expires = time.Now().Add(idleTime)
	p.mu.Lock()
	pooled := !p.closed && len(p.idle) < maxIdleConns && !p.limit.isReached()
	if pooled {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !pooled {
		c.close()
	}
}

// CloseExpired closes idle connections that the target may close soon.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var valid []*conn
	var expired []*conn
	for _, c := range p.idle {
		if now.Before(c.expires) {
			valid = append(valid, c)
		} else {
			expired = append(expired, c)
		}
	}
	p.idle = valid
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// CloseOldestIdle closes the idle connection that has not been used for longest, and reports whether there was one.
func (p *Pool) CloseOldestIdle() bool {
	p.mu.Lock()
	if len(p.idle) == 0 {
		p.mu.Unlock()
		return false
	}
	oldest := p.idle[0]
	p.idle = p.idle[1:]
	p.mu.Unlock()
	oldest.close()
	return true
}

// Close closes the idle connections. Connections in use are closed after their response.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}
