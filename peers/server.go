package peers

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/internal/tcp"
	"github.com/heatherrail/heatherrail/shedding"
)

// Handler returns the response to a request of one kind. It may keep the payload.
type Handler func(payload []byte) (msgp.Marshaler, error)

// Server responds to requests of peers. What their connections make the process hold is bounded by an account: anyone who reaches
// the port may connect.
type Server struct {
	ln       net.Listener
	handlers map[Kind]Handler
	onError  func(remote string, err error)
	account  *shedding.Account

	mu     sync.Mutex
	conns  map[*serverConn]struct{}
	closed bool
}

// serverConn is a connection of a peer.
type serverConn struct {
	net.Conn
	holder   *shedding.Holder
	reserved int           // memory for the current request and its response
	done     chan struct{} // closed when the connection is
}

// Limits returns the limits of a server in a process with a limit on its memory.
func Limits(conns int, memory int64) shedding.Limits {
	return shedding.Limits{Connections: conns, Bytes: int(max(memory/memoryDivisor, minMemoryFrames*maxFrameBytes))}
}

// Memory of a server.
const (
	memoryDivisor   = 8 // the memory of the process divided by that of the server
	minMemoryFrames = 3 // least memory in frames of the maximum length; half of it is for one connection
)

// idleTimeout is how long a peer may send nothing before its connection is closed. A live peer
// sends several requests a second.
const idleTimeout = 15 * time.Second

// frameTimeout is how long a request may take to arrive after its first byte, and a response to be taken.
const frameTimeout = 3 * time.Second

// defaultLimits are the limits of a server if there are no others.
var defaultLimits = shedding.Limits{Connections: 1024, Bytes: 64 << 20}

// Serve responds to peers that connect to ln until Close. Zero limits are defaultLimits. onError is called for connections
// that end other than between two requests.
func Serve(ln net.Listener, limits shedding.Limits, handlers map[Kind]Handler, onError func(remote string, err error)) *Server {
	if limits == (shedding.Limits{}) {
		limits = defaultLimits
	}
	s := &Server{ln: ln, handlers: handlers, onError: onError, account: shedding.NewAccount(limits), conns: make(map[*serverConn]struct{})}
	go s.accept()
	return s
}

// Close stops listening and closes the open connections. A response on one of them would make
// a peer believe that the process is still alive.
func (s *Server) Close() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for nc := range s.conns {
		_ = nc.Close()
	}
}

// addConn registers an open connection; it returns false if the server is closed.
func (s *Server) addConn(nc *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[nc] = struct{}{}
	return true
}

func (s *Server) removeConn(nc *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, nc)
}

// acceptRetryDelay is the delay after a failed accept, for example when file descriptors run
// out.
const acceptRetryDelay = 50 * time.Millisecond

func (s *Server) accept() {
	for {
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.onError("", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.admit(nc)
	}
}

// giveWayWait is the longest wait for the descriptor of a connection that gives way to a new one.
const giveWayWait = time.Second

var errConnsFull = errors.New("too many connections, and all are in use")

// admit serves a new connection if the account has room for it.
func (s *Server) admit(nc net.Conn) {
	holder, givesWay := s.account.Open(tcp.RemoteIP(nc), time.Now())
	if holder == nil {
		_ = nc.Close()
		s.onError(nc.RemoteAddr().String(), errConnsFull)
		return
	}
	if givesWay != nil {
		c := givesWay.Owner.(*serverConn)
		_ = c.Close() // its goroutine does the rest
		select {
		case <-c.done:
		case <-time.After(giveWayWait):
		}
	}
	c := &serverConn{Conn: nc, holder: holder, done: make(chan struct{})}
	holder.Owner = c
	go s.serve(c)
}

func (s *Server) serve(c *serverConn) {
	defer close(c.done)
	defer c.holder.Close()
	defer c.Close()
	if !s.addConn(c) {
		return
	}
	defer s.removeConn(c)
	br := bufio.NewReader(c)
	var buf []byte
	for {
		if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}
		if _, err := br.Peek(1); err != nil {
			return // the peer has closed the connection, or was idle for too long
		}
		frame, err := s.respond(c, br, buf[:0])
		if err == nil {
			_, err = c.Write(frame)
		}
		if err != nil {
			s.onError(c.RemoteAddr().String(), err)
			return
		}
		if buf = frame; cap(buf) > maxKeptBytes {
			buf = nil
		}
		c.release()
		c.holder.SetState(shedding.Idle, time.Now())
	}
}

// maxKeptBytes is the largest buffer that a connection keeps between two requests.
const maxKeptBytes = 64 << 10

func (s *Server) respond(c *serverConn, br *bufio.Reader, buf []byte) ([]byte, error) {
	c.holder.SetState(shedding.Body, time.Now())
	if err := c.SetDeadline(time.Now().Add(frameTimeout)); err != nil {
		return nil, err
	}
	kind, payload, err := readFrame(br, c.reserve)
	if err != nil {
		return nil, err
	}
	handler := s.handlers[kind]
	if handler == nil {
		return nil, ErrFrame
	}
	if !c.holder.Run("", time.Now()) {
		return nil, errNoMemory
	}
	response, err := handler(payload)
	if err != nil {
		return nil, err
	}
	frame, err := appendFrame(buf, kind, response)
	if err != nil {
		return nil, err
	}
	if err := c.SetWriteDeadline(time.Now().Add(frameTimeout)); err != nil {
		return nil, err
	}
	return frame, c.reserve(len(frame))
}

var errNoMemory = errors.New("no memory left for what peers send")

// reserve reserves memory for the current request and its response.
func (c *serverConn) reserve(n int) error {
	for {
		d := c.holder.Grow(n, time.Now())
		for _, h := range d.GiveWay {
			_ = h.Owner.(*serverConn).Close() // its goroutine does the rest
		}
		switch {
		case d.Granted:
			c.reserved += n
			return nil
		case d.Refused:
			return errNoMemory
		}
		select {
		case <-d.Released:
		case <-time.After(frameTimeout):
			return errNoMemory
		}
	}
}

func (c *serverConn) release() {
	c.holder.Release(c.reserved)
	c.reserved = 0
}
