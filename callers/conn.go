// Package callers accepts callers' connections, detects callers that disconnect during a
// request, and limits the connections of one address.
package callers

import (
	"cmp"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherrail/heatherrail/internal/tcp"
)

// Listener accepts connections on which a disconnect of the caller can be detected during a
// request. fasthttp reads a connection only between requests, so by itself it would notice a
// closed connection only at the next write, which may be a long prefill away. Listener also
// limits the connections of one address, so that a caller that opens idle connections cannot
// use up the connections of all others.
type Listener struct {
	net.Listener
	maxPerAddress  int
	maxUnreadBytes int
	onReject       func(remote net.Addr)

	mu          sync.Mutex
	connections map[netip.Addr]int
	open        map[*Conn]struct{}
	slow        slowReaders
}

// NewListener returns a listener that accepts at most half of maxCallers connections from one
// address; onReject is called for each rejected one. Callers that do not read may leave
// maxUnreadBytes unread in all; 0: DefaultUnreadBytes.
func NewListener(ln net.Listener, maxCallers, maxUnreadBytes int, onReject func(net.Addr)) *Listener {
	return &Listener{
		Listener:       ln,
		maxPerAddress:  max(1, maxCallers/addressShareDivisor),
		maxUnreadBytes: cmp.Or(maxUnreadBytes, DefaultUnreadBytes),
		onReject:       onReject,
		connections:    make(map[netip.Addr]int),
		open:           make(map[*Conn]struct{}),
		slow:           make(slowReaders),
	}
}

// addressShareDivisor limits one address to half of all connections. Many callers of a team
// can share one address, so a lower limit would reject legitimate callers.
const addressShareDivisor = 2

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		addr := remoteAddr(nc)
		if l.addConn(addr) {
			return l.newConn(nc, addr), nil
		}
		_ = nc.Close() // closed at once: a lingering close as in Conn.Close would need a goroutine
		l.onReject(nc.RemoteAddr())
	}
}

func (l *Listener) newConn(nc net.Conn, addr netip.Addr) *Conn {
	c := &Conn{Conn: nc}
	c.onClose = func() { l.removeConn(c, addr) }
	c.stall = tcp.NewStallWatch(nc, func(s tcp.Stall) bool { return l.recordStall(c, s) })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c
}

func remoteAddr(nc net.Conn) netip.Addr {
	if tcp, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.Addr{}
}

func (l *Listener) addConn(addr netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connections[addr] >= l.maxPerAddress {
		return false
	}
	l.connections[addr]++
	return true
}

func (l *Listener) removeConn(c *Conn, addr netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	if l.connections[addr]--; l.connections[addr] == 0 {
		delete(l.connections, addr)
	}
}

// Conn is a caller's connection. While a request runs, one byte is read ahead to detect
// a disconnect, and is kept for the server's next read.
type Conn struct {
	net.Conn
	onClose   func()
	closeOnce sync.Once

	mu           sync.Mutex
	readAhead    [1]byte
	hasReadAhead bool
	readErr      error

	stall   *tcp.StallWatch
	writing atomic.Int64 // bytes of the write that waits for the caller

	// corked and pending are used only by the goroutine that writes the response.
	corked  bool
	pending *[]byte // data that is not yet written; nil if there is none
}

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

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.hasReadAhead && len(p) > 0 {
		p[0] = c.readAhead[0]
		c.hasReadAhead = false
		c.mu.Unlock()
		return 1, nil
	}
	readErr := c.readErr
	c.mu.Unlock()
	if readErr != nil {
		return 0, readErr
	}
	return c.Conn.Read(p)
}

// writeTimeout limits how long a write may wait for a caller that does not read. Without it, a
// caller that stops reading would hold its connection and the memory of the response indefinitely.
const writeTimeout = 30 * time.Second

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
	defer c.writing.Store(0)
	for {
		c.writing.Store(int64(len(p) - written))
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
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
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		conn, ok := c.Conn.(*net.TCPConn)
		if !ok || conn.CloseWrite() != nil {
			c.closeNow()
			return
		}
		go func() {
			defer c.closeNow()
			if conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
				_, _ = io.CopyN(io.Discard, conn, lingerBytes) // the result does not matter
			}
			for c.stall.Undelivered() {
				time.Sleep(lingerRecheck)
			}
		}()
	})
	return nil
}

func (c *Conn) closeNow() {
	c.stall.Stop()
	_ = c.Conn.Close() // an error at this point has no consequence
	c.onClose()
}

// aLongTimeAgo is a deadline that ends a pending read at once.
var aLongTimeAgo = time.Unix(1, 0)

// WatchDisconnect calls onDisconnect if the caller closes the connection before stop is
// called. stop returns once the watching goroutine no longer uses the connection.
func (c *Conn) WatchDisconnect(onDisconnect func()) (stop func()) {
	done := make(chan struct{})
	// A deadline left from reading the request must not end the watch.
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
