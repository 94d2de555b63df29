// Package upstream sends requests to one target over HTTP/1.1, each once, on
// connections of its own, and tells what a failure says about execution.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/internal/tcp"
)

// Field is one header field.
type Field struct{ Name, Value string }

// Request is one request, sent as it stands.
type Request struct {
	Method            string
	URI               string // as the caller sent it
	Host              string
	Fields            []Field
	Body              []byte
	SendContentLength bool // Body is to be announced even if it is empty
	// EchoHeader and EchoValue name the field by which the answer to this request is
	// known, and its value.
	EchoHeader string
	EchoValue  string
}

// SendError is a request without a usable answer.
type SendError struct {
	MayHaveRun    bool // the target may have begun to work on it
	NewConnection bool // on a connection that was opened for it, or that could not be opened
	Err           error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Limits of connections.
const (
	dialTimeout = 600 * time.Millisecond // a few times the longest way between data centres
	readBuffer  = 4 << 10
	idleDefault = 4 * time.Second        // for targets that don't say how long they keep a connection
	idleMargin  = 500 * time.Millisecond // before the time that they say
	maxIdle     = 64
)

// Pool keeps connections to one target.
type Pool struct {
	addr   string
	mu     sync.Mutex
	idle   []*conn // the latest used last
	closed bool
	dialed int64
}

// NewPool returns a pool for the target at an address.
func NewPool(addr string) *Pool { return &Pool{addr: addr} }

type conn struct {
	nc      net.Conn
	br      *bufio.Reader
	expires time.Time
}

// DialCount returns how many connections were opened.
func (p *Pool) DialCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// IdleCount returns how many connections are open and wait for a request.
func (p *Pool) IdleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Send sends a request and returns the head of its answer. Cancelling ctx closes
// the connection, so that the target stops its work; the answer's body ends with
// an error then. A failure is a *SendError.
func (p *Pool) Send(ctx context.Context, req *Request) (*Response, error) {
	c, fresh, err := p.take(ctx)
	if err != nil {
		return nil, &SendError{NewConnection: true, Err: fmt.Errorf("connect to %s: %w", p.addr, err)}
	}
	if ctx.Err() != nil {
		p.give(c, idleDefault)
		return nil, &SendError{Err: context.Cause(ctx)}
	}
	stop := context.AfterFunc(ctx, c.abort)
	r, err := c.exchange(req)
	if err != nil {
		stop()
		c.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &SendError{MayHaveRun: true, NewConnection: fresh, Err: err}
	}
	r.pool, r.conn, r.stop = p, c, stop
	return r, nil
}

// abort resets the connection. What is still on its way to the target is thrown
// away by that: after a close it would arrive when a frozen or cut off VM is back,
// and the target would begin to work on a request whose caller has long left.
func (c *conn) abort() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // else it is a usual close
	}
	_ = c.nc.Close()
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 2<<10); return &b }}

// bodyAside is the size from which a body is written by itself and not copied.
const bodyAside = 16 << 10

// exchange writes a request and reads the head of its answer.
func (c *conn) exchange(req *Request) (*Response, error) {
	buf := buffers.Get().(*[]byte)
	head := appendHead((*buf)[:0], req)
	if len(req.Body) <= bodyAside {
		head = append(head, req.Body...)
	}
	_, writeErr := c.nc.Write(head)
	*buf = head[:0]
	buffers.Put(buf)
	if writeErr == nil && len(req.Body) > bodyAside {
		_, writeErr = c.nc.Write(req.Body)
	}
	// A target may refuse a long request before it is in, and close; the refusal
	// is then there to be read although the rest could not be written.
	r, err := c.readAnswer(req)
	if err != nil && writeErr != nil {
		return nil, fmt.Errorf("write request: %w", writeErr)
	}
	if err == nil && writeErr != nil {
		r.reusable = false
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
	if len(req.Body) > 0 || req.SendContentLength {
		b = append(b, "Content-Length: "...)
		b = fmt.Append(b, len(req.Body))
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// skipMax bounds the answers to other requests that are passed over.
const skipMax = 2

var errForeign = errors.New("the answer belongs to another request")

// readAnswer reads the head of the answer to this request. A target that spoils
// its answers may send a second one to an earlier request late, where this one's
// is due; it is known by its id and passed over.
func (c *conn) readAnswer(req *Request) (*Response, error) {
	for range skipMax + 1 {
		r, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		echo := string(r.Header.Peek(req.EchoHeader))
		if echo == req.EchoValue || (echo == "" && r.Status/100 != 2) {
			return r, nil
		}
		if err := r.skip(c); err != nil {
			return nil, fmt.Errorf("%w: %w", errForeign, err)
		}
	}
	return nil, errForeign
}

func (c *conn) readHead(req *Request) (*Response, error) {
	r := &Response{}
	for {
		if err := r.Header.Read(c.br); err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		r.Status = r.Header.StatusCode()
		if r.Status >= 200 {
			break
		}
	}
	r.frame(c, req.Method == fasthttp.MethodHead)
	return r, nil
}

// take returns a live connection. A kept one is looked at first: a target that
// has closed it meanwhile, or has sent something nobody asked for, would make
// the request look sent, or get another request's answer. fresh tells that it was opened
// just now.
func (p *Pool) take(ctx context.Context) (c *conn, fresh bool, err error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.br.Buffered() == 0 && tcp.StillOpen(c.nc) {
			return c, false, nil
		}
		_ = c.nc.Close()
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	nc, err := tcp.Dial(ctx, p.addr, dialTimeout)
	if err != nil {
		return nil, true, err
	}
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, readBuffer)}, true, nil
}

func (p *Pool) pop() *conn {
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

func (p *Pool) give(c *conn, keep time.Duration) {
	c.expires = time.Now().Add(keep)
	p.mu.Lock()
	kept := !p.closed && len(p.idle) < maxIdle
	if kept {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !kept {
		_ = c.nc.Close()
	}
}

// CloseExpired closes connections that the target may close soon.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var keep []*conn
	var old []*conn
	for _, c := range p.idle {
		if now.Before(c.expires) {
			keep = append(keep, c)
		} else {
			old = append(old, c)
		}
	}
	p.idle = keep
	p.mu.Unlock()
	for _, c := range old {
		_ = c.nc.Close()
	}
}

// Close closes the kept connections; those in use close after their answer.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.nc.Close()
	}
}
