package outcomes

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/outside"
)

// network connects processes in memory and breaks connections on demand.
type network struct {
	latency time.Duration // of each write

	mu        sync.Mutex
	listeners map[string]*listener
	links     map[*faultyConn]bool
	frozen    map[string]chan struct{} // by process; closed when it goes on
	slow      map[string]time.Duration // by process
	astray    map[string]string        // process and address -> the address that it reaches instead
}

var errRefused = errors.New("connection refused")

func newNetwork(latency time.Duration) *network {
	return &network{
		latency:   latency,
		listeners: make(map[string]*listener),
		links:     make(map[*faultyConn]bool),
		frozen:    make(map[string]chan struct{}),
		slow:      make(map[string]time.Duration),
		astray:    make(map[string]string),
	}
}

type listener struct {
	net     *network
	addr    string
	process string
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

type address string

func (address) Network() string  { return "memory" }
func (a address) String() string { return string(a) }

// listen opens an address for a process; the latest one to do so gets it.
func (n *network) listen(addr, process string) *listener {
	l := &listener{net: n, addr: addr, process: process, accept: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.addr) }

// dialer returns the Dial function of a process.
func (n *network) dialer(process string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		n.mu.Lock()
		if other, ok := n.astray[process+addr]; ok {
			addr = other
		}
		l := n.listeners[addr]
		n.mu.Unlock()
		if l == nil {
			return nil, errRefused
		}
		a, b := net.Pipe()
		near := n.wrap(a, process)
		far := n.wrap(b, l.process)
		near.peer, far.peer = far, near
		select {
		case l.accept <- far:
			return near, nil
		case <-l.done:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (n *network) wrap(c net.Conn, process string) *faultyConn {
	f := &faultyConn{Conn: c, net: n, process: process, cutAfter: -1}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[f] = true
	return f
}

// freeze stops all of a process's reading and writing until thaw.
func (n *network) freeze(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[process] == nil {
		n.frozen[process] = make(chan struct{})
	}
}

func (n *network) thaw(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.frozen[process]; ch != nil {
		close(ch)
		delete(n.frozen, process)
	}
}

// delay adds to each write of a process; zero ends it.
func (n *network) delay(process string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow[process] = d
}

// cut breaks each connection of a process after it has sent some more bytes.
func (n *network) cut(process string, bytes func() int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.links {
		if c.process == process {
			c.setCut(bytes())
		}
	}
}

// wait returns when the process may go on.
func (n *network) wait(process string) {
	n.mu.Lock()
	ch := n.frozen[process]
	n.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

func (n *network) delayOf(process string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latency + n.slow[process]
}

// processLog is the log as one process reaches it: not at all while it is paused.
type processLog struct {
	outside.Log
	net     *network
	process string
}

// Append implements outside.Log.
func (l *processLog) Append(ctx context.Context, records [][]byte) (uint64, error) {
	l.net.wait(l.process)
	return l.Log.Append(ctx, records)
}

// Read implements outside.Log.
func (l *processLog) Read(ctx context.Context, from uint64, max int, wait time.Duration) (outside.Page, error) {
	l.net.wait(l.process)
	page, err := l.Log.Read(ctx, from, max, wait)
	l.net.wait(l.process)
	return page, err
}

// faultyConn is one end of a connection.
type faultyConn struct {
	net.Conn
	net     *network
	process string
	peer    *faultyConn

	mu       sync.Mutex
	cutAfter int // bytes that may still be written; negative: no limit
}

func (c *faultyConn) setCut(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutAfter = n
}

// Read implements net.Conn.
func (c *faultyConn) Read(p []byte) (int, error) {
	c.net.wait(c.process)
	n, err := c.Conn.Read(p)
	c.net.wait(c.process)
	return n, err
}

// Write implements net.Conn.
func (c *faultyConn) Write(p []byte) (int, error) {
	time.Sleep(c.net.delayOf(c.process))
	c.net.wait(c.process)
	c.mu.Lock()
	left := c.cutAfter
	if left >= 0 {
		c.cutAfter = max(left-len(p), 0)
	}
	c.mu.Unlock()
	if left < 0 || left >= len(p) {
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:left]) // the cut is the error to report
	_ = c.Close()
	_ = c.peer.Close()
	return n, net.ErrClosed
}

// Close implements net.Conn.
func (c *faultyConn) Close() error {
	c.net.mu.Lock()
	delete(c.net.links, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}
