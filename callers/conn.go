// Package callers accepts callers' connections, reads and buffers what they send within an account of all connections, and detects
// callers that disconnect during a request.
package callers

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherrail/heatherrail/internal/tcp"
	"github.com/heatherrail/heatherrail/shedding"
)

// Conn is a caller's connection. While a request runs, one byte is read ahead to detect
// a disconnect, and is kept for the server's next read.
type Conn struct {
	net.Conn
	server    *Server
	holder    *shedding.Holder
	stall     *tcp.StallWatch
	gaveWay   atomic.Bool
	leaving   chan struct{} // closed when the connection gives way to others
	closed    chan struct{} // closed when the descriptor is
	closeOnce sync.Once
	readable  *tcp.Readable // nil: the connection is no socket

	mu           sync.Mutex
	state        shedding.State
	readAhead    [1]byte
	hasReadAhead bool
	readErr      error
	cancel       func() // ends the pending read of a response; nil: none is pending
	behind       int    // memory reserved for what the caller has sent behind a running request
	atOnce       bool   // the connection gives way to a new one and is closed without waiting for its caller

	// The fields below are used only by the goroutine that serves the connection.
	began           time.Time // when the wait for a request or for its head began
	readLimit       time.Time // time at which reads end; zero: never
	appliedLimit    time.Time // the limit that the connection knows
	betweenRequests bool
	endedIdle       bool // the library has released the connection between two requests
	bodyRead        bool
	arrived         bool // the next read does not wait
	request         Buffer
	response        Buffer
	reserved        int // memory granted by the account, without behind
	head            headSize
	headWhole       bool
	key             string // of the request

	// unchecked, corked and pending are used only by the goroutine that writes the response.
	unchecked int // bytes written since the caller was last known to have read all
	corked    bool
	pending   *[]byte // data that is not yet written; nil if there is none
}

// Began returns when the request on the connection began to arrive.
func (c *Conn) Began() time.Time { return c.began }

// maxPendingBytes limits the data that is collected for one system call.
const maxPendingBytes = 16 << 10

var pendingPool = sync.Pool{New: func() any { b := make([]byte, 0, maxPendingBytes); return &b }}

// Cork makes Write collect data until Flush. The HTTP library flushes after each piece
// of a body, and without Cork each flush would cost a system call although more data is
// already available.
func (c *Conn) Cork() { c.corked = true }

// Uncork stops collecting data and flushes.
func (c *Conn) Uncork() error {
	c.corked = false
	return c.Flush()
}

// Flush writes the collected data.
func (c *Conn) Flush() error {
	if c.pending == nil {
		return nil
	}
	pending := c.pending
	c.pending = nil
	_, err := c.writeNow(*pending)
	*pending = (*pending)[:0]
	pendingPool.Put(pending)
	return err
}

// writeTimeout limits how long a write may wait for a caller that does not read. Without it, a
// caller that stops reading would hold its connection and the memory of the response indefinitely.
const writeTimeout = 30 * time.Second

// lastWriteTimeout is writeTimeout for a connection that gives way to others. A refusal needs no more, unless the caller has not read
// earlier responses.
const lastWriteTimeout = 200 * time.Millisecond

// SetWriteDeadline implements net.Conn. Write has a limit of its own.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.corked || len(p) > maxPendingBytes {
		if err := c.Flush(); err != nil {
			return 0, err
		}
		return c.writeNow(p)
	}
	if c.pending != nil && len(*c.pending)+len(p) > maxPendingBytes {
		if err := c.Flush(); err != nil {
			return 0, err
		}
	}
	if c.pending == nil {
		c.pending = pendingPool.Get().(*[]byte)
	}
	*c.pending = append(*c.pending, p...)
	return len(p), nil
}

func (c *Conn) writeNow(p []byte) (written int, err error) {
	c.stall.Arm()
	for {
		if err := c.setWriteLimit(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		c.unchecked += n
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.gaveWay.Load() {
			return written, err
		}
	}
}

// setWriteLimit limits the next write, briefly if the connection gives way to others.
func (c *Conn) setWriteLimit() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := writeTimeout
	if c.gaveWay.Load() {
		limit = lastWriteTimeout
	}
	return c.Conn.SetWriteDeadline(time.Now().Add(limit))
}

// Limits of a lingering close.
const (
	lingerTime    = time.Second
	lingerBytes   = 64 << 20
	lingerRecheck = 200 * time.Millisecond
)

// Close implements net.Conn. A caller that is still sending when its request is rejected, for
// example for a body that is too large, would have its connection reset and lose the
// rejection. So Close reads and discards incoming data for up to lingerTime. A caller that has not
// read its response yet keeps its connection until it has, or for writeTimeout without reading.
//
// Between two requests the library closes the connection only to release its buffers.
func (c *Conn) Close() error {
	if c.endedIdle {
		return nil
	}
	c.closeOnce.Do(func() {
		conn, ok := c.Conn.(*net.TCPConn)
		c.endRequest(shedding.Closing)
		c.mu.Lock()
		atOnce := c.atOnce
		c.mu.Unlock()
		if !ok || atOnce || conn.CloseWrite() != nil {
			c.finish()
			return
		}
		go func() {
			defer c.finish()
			_ = conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed
			_, _ = io.CopyN(io.Discard, conn, lingerBytes)       // the result does not matter
			for c.stall.Undelivered() {
				time.Sleep(lingerRecheck)
			}
		}()
	})
	return nil
}

// aLongTimeAgo is a deadline that ends a pending read at once.
var aLongTimeAgo = time.Unix(1, 0)

// WatchDisconnect calls onDisconnect if the caller closes the connection before stop is
// called. stop returns once the watching goroutine no longer uses the connection.
func (c *Conn) WatchDisconnect(onDisconnect func()) (stop func()) {
	c.mu.Lock()
	sentMore, gone := c.hasReadAhead, c.readErr != nil
	c.mu.Unlock()
	if gone {
		onDisconnect()
	}
	if sentMore || gone {
		return func() {} // a second byte would replace the one that was read ahead
	}
	done := make(chan struct{})
	// A deadline left from reading the request must not end the watch.
	c.appliedLimit = time.Time{}
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		onDisconnect()
		return func() {}
	}
	var stopOnce sync.Once
	stopped := make(chan struct{})
	go func() {
		defer close(done)
		n, err := c.Conn.Read(c.readAhead[:])
		c.mu.Lock()
		c.hasReadAhead = n > 0
		c.mu.Unlock()
		select {
		case <-stopped:
			return
		default:
		}
		if n > 0 && !c.reserveBehind() {
			tcp.Abort(c.Conn)
			err = errBehind
		}
		if err != nil {
			c.mu.Lock()
			c.readErr = err
			c.mu.Unlock()
			onDisconnect()
		}
	}()
	return func() {
		stopOnce.Do(func() {
			close(stopped)
			_ = c.Conn.SetReadDeadline(aLongTimeAgo) // fails only if the connection is closed, and then no read is pending
			<-done
			_ = c.Conn.SetReadDeadline(time.Time{})
		})
	}
}

var errBehind = errors.New("no memory left for what the caller sends behind its request")

// reserveBehind reserves memory for what the kernel may hold of a caller that sends more before its response.
func (c *Conn) reserveBehind() bool {
	d := c.holder.Grow(tcp.ReceiveBufferBytes, time.Now())
	for _, h := range d.GiveWay {
		h.Owner.(*Conn).giveWay(false)
	}
	if !d.Granted {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behind += tcp.ReceiveBufferBytes
	return true
}
