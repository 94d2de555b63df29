package entry

import (
	"net"
	"sync"
	"time"
)

// watchedListener hands out connections that can be watched for a caller that
// leaves. fasthttp reads a connection only between requests, so by itself it
// would notice a closed one at the next write, which may be a long prefill away.
type watchedListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: nc}, nil
}

// callerConn is a caller's connection. While a request runs, one byte is read
// ahead; it is kept for the server's next read.
type callerConn struct {
	net.Conn

	mu      sync.Mutex
	ahead   [1]byte
	hasByte bool
	failed  error
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
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

// aLongTimeAgo is a deadline that ends a pending read at once.
var aLongTimeAgo = time.Unix(1, 0)

// watch calls gone if the caller closes the connection before stop is called.
// stop waits until the watcher no longer touches the connection.
func (c *callerConn) watch(gone func()) (stop func()) {
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
