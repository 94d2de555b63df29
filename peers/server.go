package peers

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// Handler returns the response to a request of one kind. It may keep the payload.
type Handler func(payload []byte) (msgp.Marshaler, error)

// Server responds to requests of peers.
type Server struct {
	ln       net.Listener
	handlers map[Kind]Handler
	onError  func(remote string, err error)

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// idleTimeout is how long a peer may send nothing before its connection is closed. A live peer
// sends several requests a second.
const idleTimeout = 15 * time.Second

// Serve responds to peers that connect to ln until Close. onError is called for connections
// that end other than between two requests.
func Serve(ln net.Listener, handlers map[Kind]Handler, onError func(remote string, err error)) *Server {
	s := &Server{ln: ln, handlers: handlers, onError: onError, conns: make(map[net.Conn]struct{})}
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
func (s *Server) addConn(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[nc] = struct{}{}
	return true
}

func (s *Server) removeConn(nc net.Conn) {
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
		go s.serve(nc)
	}
}

func (s *Server) serve(nc net.Conn) {
	defer nc.Close()
	if !s.addConn(nc) {
		return
	}
	defer s.removeConn(nc)
	br := bufio.NewReader(nc)
	var buf []byte
	for {
		if err := nc.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}
		if _, err := br.Peek(1); err != nil {
			return // the peer has closed the connection, or was idle for too long
		}
		frame, err := s.respond(br, buf[:0])
		if err == nil {
			buf = frame
			_, err = nc.Write(frame)
		}
		if err != nil {
			s.onError(nc.RemoteAddr().String(), err)
			return
		}
	}
}

func (s *Server) respond(br *bufio.Reader, buf []byte) ([]byte, error) {
	kind, payload, err := readFrame(br)
	if err != nil {
		return nil, err
	}
	handler := s.handlers[kind]
	if handler == nil {
		return nil, ErrFrame
	}
	response, err := handler(payload)
	if err != nil {
		return nil, err
	}
	return appendFrame(buf, kind, response)
}
