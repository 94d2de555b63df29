package outcomes

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/outside"
)

// network connects processes in memory and injects pauses, delays and broken
// connections.
type network struct {
	latency time.Duration // added to each write

	mu         sync.Mutex
	listeners  map[string]*listener
	conns      map[*faultyConn]bool
	paused     map[string]chan struct{} // by process; the channel is closed when the process resumes
	extraDelay map[string]time.Duration // additional delay of each write, by process
	redirects  map[string]string        // process and dialled address -> address that is reached instead
}

var errRefused = errors.New("connection refused")

func newNetwork(latency time.Duration) *network {
	return &network{
		latency:    latency,
		listeners:  make(map[string]*listener),
		conns:      make(map[*faultyConn]bool),
		paused:     make(map[string]chan struct{}),
		extraDelay: make(map[string]time.Duration),
		redirects:  make(map[string]string),
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

// listen opens an address for a process. It replaces an earlier listener on that
// address.
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
		if other, ok := n.redirects[process+addr]; ok {
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
	f := &faultyConn{Conn: c, net: n, process: process, bytesUntilCut: -1}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[f] = true
	return f
}

// pauseProcess blocks all reads and writes of a process until resumeProcess.
func (n *network) pauseProcess(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[process] == nil {
		n.paused[process] = make(chan struct{})
	}
}

func (n *network) resumeProcess(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.paused[process]; ch != nil {
		close(ch)
		delete(n.paused, process)
	}
}

// setDelay sets the additional delay of each write of a process.
func (n *network) setDelay(process string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.extraDelay[process] = d
}

// cutAfterBytes breaks each connection of a process after the process has sent a
// further number of bytes on it. A call of bytes returns that number for one
// connection.
func (n *network) cutAfterBytes(process string, bytes func() int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.process == process {
			c.setBytesUntilCut(bytes())
		}
	}
}

// waitWhilePaused blocks while the process is paused.
func (n *network) waitWhilePaused(process string) {
	n.mu.Lock()
	ch := n.paused[process]
	n.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

func (n *network) writeDelay(process string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latency + n.extraDelay[process]
}

// processLog is the log service as seen by one process: its calls block while the
// process is paused.
type processLog struct {
	outside.Log
	net     *network
	process string
}

// Append implements outside.Log.
func (l *processLog) Append(ctx context.Context, records [][]byte) (uint64, error) {
	l.net.waitWhilePaused(l.process)
	return l.Log.Append(ctx, records)
}

// Read implements outside.Log.
func (l *processLog) Read(ctx context.Context, from uint64, max int, wait time.Duration) (outside.Page, error) {
	l.net.waitWhilePaused(l.process)
	page, err := l.Log.Read(ctx, from, max, wait)
	l.net.waitWhilePaused(l.process)
	return page, err
}

// faultyConn is one end of a connection that can be paused, delayed and broken.
type faultyConn struct {
	net.Conn
	net     *network
	process string
	peer    *faultyConn

	mu            sync.Mutex
	bytesUntilCut int // bytes that may still be written; negative: no limit
}

func (c *faultyConn) setBytesUntilCut(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesUntilCut = n
}

// Read implements net.Conn.
func (c *faultyConn) Read(p []byte) (int, error) {
	c.net.waitWhilePaused(c.process)
	n, err := c.Conn.Read(p)
	c.net.waitWhilePaused(c.process)
	return n, err
}

// Write implements net.Conn.
func (c *faultyConn) Write(p []byte) (int, error) {
	time.Sleep(c.net.writeDelay(c.process))
	c.net.waitWhilePaused(c.process)
	c.mu.Lock()
	remaining := c.bytesUntilCut
	if remaining >= 0 {
		c.bytesUntilCut = max(remaining-len(p), 0)
	}
	c.mu.Unlock()
	if remaining < 0 || remaining >= len(p) {
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:remaining]) // the injected error is returned instead of a write error
	_ = c.Close()
	_ = c.peer.Close()
	return n, net.ErrClosed
}

// Close implements net.Conn.
func (c *faultyConn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}
