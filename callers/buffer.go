package callers

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/shedding"
)

// Errors of a connection that reads for its caller.
var (
	ErrTooLarge = errors.New("body exceeds the limit")
	ErrNoMemory = errors.New("no memory left for what callers send")
)

// Sizes of the parts of a buffer. A buffer grows with what has arrived, never with what was announced.
const (
	firstSegmentBytes  = 4 << 10
	secondSegmentBytes = 16 << 10
	segmentBytes       = 64 << 10
)

// segmentPool keeps segments of segmentBytes for reuse, so that a crowd of bodies that come and go leaves no garbage.
type segmentPool struct {
	limit int

	mu   sync.Mutex
	free [][]byte
}

// firstSegments holds segments of firstSegmentBytes for reuse. They are part of the memory of any request.
var firstSegments = sync.Pool{New: func() any { return new([firstSegmentBytes]byte) }}

func (p *segmentPool) get(size int) []byte {
	switch {
	case size == firstSegmentBytes:
		return firstSegments.Get().(*[firstSegmentBytes]byte)[:0]
	case size < segmentBytes:
		return make([]byte, 0, size)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.free); n > 0 {
		s := p.free[n-1]
		p.free[n-1] = nil
		p.free = p.free[:n-1]
		return s
	}
	return make([]byte, 0, segmentBytes)
}

func (p *segmentPool) put(s []byte) {
	if cap(s) == firstSegmentBytes {
		firstSegments.Put((*[firstSegmentBytes]byte)(s[:firstSegmentBytes]))
	}
	if cap(s) != segmentBytes {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.free) < p.limit {
		p.free = append(p.free, s[:0])
	}
}

// Buffer holds a body in memory that the account of the connections has granted. It belongs to the request on the connection and
// is released when the response has been written.
type Buffer struct {
	conn     *Conn
	segments [][]byte
	length   int

	// The fields below are for responses.
	cancel   func() // ends a pending read
	givesWay bool   // the response is long, and may give way
}

// Len returns the length of the body.
func (b *Buffer) Len() int { return b.length }

// Segments returns the parts of the body. They are valid until the response has been written.
func (b *Buffer) Segments() [][]byte { return b.segments }

// readAll reads until EOF. size is the expected length, -1: not known.
func (b *Buffer) readAll(r io.Reader, size, limit int) error {
	for {
		last := len(b.segments) - 1
		if last < 0 || len(b.segments[last]) == cap(b.segments[last]) {
			if size == b.length {
				return expectEOF(r)
			}
			if err := b.grow(size); err != nil {
				return err
			}
			last++
		}
		s := b.segments[last]
		n, err := r.Read(s[len(s):cap(s)])
		b.segments[last] = s[:len(s)+n]
		b.length += n
		if n > 0 && len(b.segments) > 1 {
			b.conn.holder.Arrived(n, time.Now())
		}
		switch {
		case b.length > limit:
			return ErrTooLarge
		case err == io.EOF && b.length < size:
			return io.ErrUnexpectedEOF // the library takes the end of the connection for the end of the body
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// expectEOF reads the end of a body whose last byte has been read.
func expectEOF(r io.Reader) error {
	var extra [1]byte
	n, err := r.Read(extra[:])
	switch {
	case n > 0:
		return ErrTooLarge
	case err == io.EOF:
		return nil
	case err == nil:
		return io.ErrNoProgress
	}
	return err
}

// grow adds an empty segment.
func (b *Buffer) grow(size int) error {
	next := segmentBytes
	switch len(b.segments) {
	case 0:
		next = firstSegmentBytes
	case 1:
		next = secondSegmentBytes
	}
	if rest := size - b.length; size >= 0 && rest < next && next == secondSegmentBytes {
		next = max(rest, firstSegmentBytes+1)
	}
	if len(b.segments) == 1 {
		b.beginLong()
	}
	if n := reservedBytes(len(b.segments), next); n > 0 {
		if err := b.conn.reserve(n); err != nil {
			return err
		}
	}
	b.segments = append(b.segments, b.conn.server.segments.get(next))
	return nil
}

// Bytes returns the body in one piece of its own.
func (b *Buffer) Bytes() ([]byte, error) {
	if len(b.segments) == 0 {
		return nil, nil
	}
	if len(b.segments) > 1 {
		if err := b.conn.reserve(b.length); err != nil {
			return nil, err
		}
		joined := make([]byte, 0, b.length)
		for i, s := range b.segments {
			joined = append(joined, s...)
			b.conn.release(reservedBytes(i, cap(s)))
			b.conn.server.segments.put(s)
			b.segments[i] = nil
		}
		b.segments = b.segments[:0]
		return joined, nil
	}
	return slices.Clone(b.segments[0]), nil
}

// bufferReader reads a whole buffer.
type bufferReader struct {
	segments [][]byte
	offset   int
}

// Reader returns a reader of the body.
func (b *Buffer) Reader() io.Reader { return &bufferReader{segments: b.segments} }

// Read implements io.Reader.
func (r *bufferReader) Read(p []byte) (int, error) {
	for len(r.segments) > 0 && r.offset == len(r.segments[0]) {
		r.segments, r.offset = r.segments[1:], 0
	}
	if len(r.segments) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.segments[0][r.offset:])
	r.offset += n
	return n, nil
}

// beginLong prepares the connection for a body that takes more memory than that of any request.
func (b *Buffer) beginLong() {
	c := b.conn
	if b != &c.response {
		c.holder.SetKey(c.key)
		return
	}
	b.givesWay = true
	c.setCancel(b.cancel)
	c.setState(shedding.Response)
}

// free gives the segments back. Their memory is released with the request.
func (b *Buffer) free() {
	for i, s := range b.segments {
		b.conn.server.segments.put(s)
		b.segments[i] = nil
	}
	b.segments, b.length = b.segments[:0], 0
}

// reset empties the buffer and releases its memory.
func (b *Buffer) reset(c *Conn) {
	b.conn = c
	n := 0
	for i, s := range b.segments {
		n += reservedBytes(i, cap(s))
	}
	b.free()
	if n > 0 {
		c.release(n)
	}
}

// reservedBytes returns the memory reserved for a segment. That of the first one is part of the memory of any request.
func reservedBytes(segment, size int) int {
	if segment == 0 {
		return 0
	}
	return size
}

// unknownLength is the expected length of a body that does not tell it.
const unknownLength = -1

// hasBody reports whether a request has a body that must be read before the next request.
func hasBody(c *fasthttp.RequestCtx) bool {
	return c.Request.IsBodyStream() && c.Request.Header.ContentLength() != 0
}

// ReadBody reads the body of a request until a deadline; the zero time is none. It returns ErrTooLarge beyond the limit, ErrNoMemory if the
// connection has given way to others, and os.ErrDeadlineExceeded.
func ReadBody(ctx *fasthttp.RequestCtx, limit int, deadline time.Time) (*Buffer, error) {
	c, ok := ctx.Conn().(*Conn)
	if !ok {
		return nil, fmt.Errorf("connection %T has no account", ctx.Conn())
	}
	b := &c.request
	b.reset(c)
	if hasBody(ctx) {
		c.readLimit = deadline
		err := b.readAll(ctx.RequestBodyStream(), max(ctx.Request.Header.ContentLength(), unknownLength), limit)
		if err != nil {
			return nil, c.readError(err)
		}
		c.bodyRead = true
	}
	if err := c.run(); err != nil {
		return nil, err
	}
	return b, nil
}

// ReadResponse reads a body for the caller of a request from another source. cancel must end a pending read; it is called if the
// connection gives way to others. size is the expected length, -1: not known.
func (c *Conn) ReadResponse(r io.Reader, size, limit int, cancel func()) (*Buffer, error) {
	b := &c.response
	b.reset(c)
	b.cancel = cancel
	err := b.readAll(r, size, limit)
	if b.givesWay {
		b.givesWay = false
		c.setCancel(nil)
		c.setState(shedding.Running)
	}
	if err != nil {
		return nil, c.readError(err)
	}
	return b, nil
}

// ReceiveError returns the result of a request that did not arrive whole, for an error of ReadBody or of the library.
func ReceiveError(err error) *result.Error {
	e := result.New(result.BadRequest, "%w", err)
	var headTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, ErrTooLarge):
		e.Code = result.BodyTooLarge
	case errors.As(err, &headTooLarge):
		e.Code = result.HeadersTooLarge
	case errors.Is(err, ErrNoMemory):
		e.Code = result.CallersFull
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.Code = result.RequestTimeout
	}
	return e
}

// readError returns ErrNoMemory for an error of a connection that has given way to others.
func (c *Conn) readError(err error) error {
	if err != nil && c.gaveWay.Load() && !errors.Is(err, ErrTooLarge) {
		return fmt.Errorf("%w: %w", ErrNoMemory, err)
	}
	return err
}

func (c *Conn) release(n int) {
	c.mu.Lock()
	c.reserved -= n
	c.mu.Unlock()
	c.holder.Release(n)
}

// reserve reserves memory, and waits for it if others give way.
func (c *Conn) reserve(n int) error { return c.await(c.holder.Grow(n, time.Now()), n) }

// await waits until the account has granted memory or refused it.
func (c *Conn) await(d shedding.Decision, n int) error {
	for {
		for _, h := range d.GiveWay {
			h.Owner.(*Conn).giveWay(false)
		}
		switch {
		case d.Granted:
			c.mu.Lock()
			c.reserved += n
			c.mu.Unlock()
			return nil
		case d.Refused:
			return ErrNoMemory
		}
		select {
		case <-d.Released:
		case <-c.leaving:
			return ErrNoMemory
		}
		d = c.holder.Grow(n, time.Now())
	}
}
