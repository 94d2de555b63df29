// Package callers holds the connections of callers, so that one who leaves is
// noticed while a request runs.
package callers

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Listener hands out connections that can be watched for a caller that
// leaves. fasthttp reads a connection only between requests, so by itself it
// would notice a closed one at the next write, which may be a long prefill away.
// It also bounds the connections of one address: a caller that opens them and
// stays silent must not take the places of all others.
type Listener struct {
	net.Listener
	perAddress int
	refused    func(remote net.Addr)

	mu    sync.Mutex
	count map[netip.Addr]int
}

// NewListener returns a listener that takes at most half of maxCallers connections
// from one address; refused hears of the others.
func NewListener(ln net.Listener, maxCallers int, refused func(net.Addr)) *Listener {
	return &Listener{
		Listener:   ln,
		perAddress: max(1, maxCallers/addressShare),
		refused:    refused,
		count:      make(map[netip.Addr]int),
	}
}

// addressShare: one address may hold half of all places. Many callers of a team
// can stand behind one address, so a smaller share would refuse honest ones.
const addressShare = 2

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		addr := remoteAddr(nc)
		if l.take(addr) {
			return &Conn{Conn: nc, release: func() { l.leave(addr) }}, nil
		}
		_ = nc.Close() // not worth a goroutine that might have to wait for it
		l.refused(nc.RemoteAddr())
	}
}

func remoteAddr(nc net.Conn) netip.Addr {
	if tcp, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.Addr{}
}

func (l *Listener) take(addr netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count[addr] >= l.perAddress {
		return false
	}
	l.count[addr]++
	return true
}

func (l *Listener) leave(addr netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count[addr]--; l.count[addr] == 0 {
		delete(l.count, addr)
	}
}

// Conn is a caller's connection. While a request runs, one byte is read
// ahead; it is kept for the server's next read.
type Conn struct {
	net.Conn
	release func()
	closing sync.Once

	mu      sync.Mutex
	ahead   [1]byte
	hasByte bool
	failed  error

	// Only the goroutine that answers uses these.
	corked bool
	out    *[]byte // what was gathered, nil if nothing
}

// gatherMax bounds what is gathered for one system call.
const gatherMax = 16 << 10

var gatherPool = sync.Pool{New: func() any { b := make([]byte, 0, gatherMax); return &b }}

// Cork makes Write gather until Flush. The HTTP library flushes after each piece
// of a body, which would cost a system call each while more is waiting already.
func (c *Conn) Cork() { c.corked = true }

// Uncork ends the gathering.
func (c *Conn) Uncork() error {
	c.corked = false
	return c.Flush()
}

// Flush writes what was gathered.
func (c *Conn) Flush() error {
	if c.out == nil {
		return nil
	}
	out := c.out
	c.out = nil
	_, err := c.writeNow(*out)
	*out = (*out)[:0]
	gatherPool.Put(out)
	return err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.hasByte && len(p) > 0 {
		p[0] = c.ahead[0]
		c.hasByte = false
		c.mu.Unlock()
		return 1, nil
	}
	failed := c.failed
	c.mu.Unlock()
	if failed != nil {
		return 0, failed
	}
	return c.Conn.Read(p)
}

// callerStall is how long a caller may not read at all. Without a bound, a
// caller that stops reading would keep its connection, and what the answer
// holds, for good.
const callerStall = 30 * time.Second

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.corked || len(p) > gatherMax {
		if err := c.Flush(); err != nil {
			return 0, err
		}
		return c.writeNow(p)
	}
	if c.out != nil && len(*c.out)+len(p) > gatherMax {
		if err := c.Flush(); err != nil {
			return 0, err
		}
	}
	if c.out == nil {
		c.out = gatherPool.Get().(*[]byte)
	}
	*c.out = append(*c.out, p...)
	return len(p), nil
}

func (c *Conn) writeNow(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(callerStall)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Bounds of a lingering close.
const (
	lingerTime  = time.Second
	lingerBytes = 64 << 20
)

// Close implements net.Conn. A caller that still sends when its request is
// refused, for example a body that is too large, would have its connection reset
// and lose the refusal; so what it sends is read for a moment and dropped.
func (c *Conn) Close() error {
	c.closing.Do(func() {
		tcp, ok := c.Conn.(*net.TCPConn)
		if !ok || tcp.CloseWrite() != nil {
			c.end()
			return
		}
		go func() {
			defer c.end()
			if tcp.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
				_, _ = io.CopyN(io.Discard, tcp, lingerBytes) // any end will do
			}
		}()
	})
	return nil
}

func (c *Conn) end() {
	_ = c.Conn.Close() // nothing is left to be said
	c.release()
}

// aLongTimeAgo is a deadline that ends a pending read at once.
var aLongTimeAgo = time.Unix(1, 0)

// WatchDisconnect calls gone if the caller closes the connection before stop is called.
// stop waits until the watcher no longer touches the connection.
func (c *Conn) WatchDisconnect(gone func()) (stop func()) {
	done := make(chan struct{})
	// A deadline left over from reading the request must not end the watch.
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		gone()
		return func() {}
	}
	var stopping sync.Once
	stopped := make(chan struct{})
	go func() {
		defer close(done)
		n, err := c.Conn.Read(c.ahead[:])
		c.mu.Lock()
		c.hasByte = n > 0
		c.mu.Unlock()
		select {
		case <-stopped:
			return
		default:
		}
		if err != nil {
			c.mu.Lock()
			c.failed = err
			c.mu.Unlock()
			gone()
		}
	}()
	return func() {
		stopping.Do(func() {
			close(stopped)
			_ = c.Conn.SetReadDeadline(aLongTimeAgo) // a closed connection has no pending read
			<-done
			_ = c.Conn.SetReadDeadline(time.Time{})
		})
	}
}
