package peers

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// Handler answers a question of one kind; the payload is its own to keep.
type Handler func(payload []byte) (msgp.Marshaler, error)

// Server answers peers.
type Server struct {
	ln       net.Listener
	handlers map[Kind]Handler
	failed   func(remote string, err error)

	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

// idleLimit ends connections of peers that have gone without a sign; each asks
// several times a second.
const idleLimit = 15 * time.Second

// Serve answers peers that connect to ln until Close; failed hears of
// connections that end otherwise than between two questions.
func Serve(ln net.Listener, handlers map[Kind]Handler, failed func(remote string, err error)) *Server {
	s := &Server{ln: ln, handlers: handlers, failed: failed, open: make(map[net.Conn]struct{})}
	go s.accept()
	return s
}

// Close stops listening and closes open connections: what a process that has ended would
// answer on them would make others believe that it lives.
func (s *Server) Close() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for nc := range s.open {
		_ = nc.Close()
	}
}

// enter keeps an open connection; false if the server is closed.
func (s *Server) enter(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.open[nc] = struct{}{}
	return true
}

func (s *Server) leave(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, nc)
}

// acceptPause is waited after a failed accept, as when descriptors run out.
const acceptPause = 50 * time.Millisecond

func (s *Server) accept() {
	for {
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.failed("", err)
			time.Sleep(acceptPause)
			continue
		}
		go s.serve(nc)
	}
}

func (s *Server) serve(nc net.Conn) {
	defer nc.Close()
	if !s.enter(nc) {
		return
	}
	defer s.leave(nc)
	br := bufio.NewReader(nc)
	var buf []byte
	for {
		if err := nc.SetReadDeadline(time.Now().Add(idleLimit)); err != nil {
			return
		}
		if _, err := br.Peek(1); err != nil {
			return // the peer is done with this connection
		}
		frame, err := s.answer(br, buf[:0])
		if err == nil {
			buf = frame
			_, err = nc.Write(frame)
		}
		if err != nil {
			s.failed(nc.RemoteAddr().String(), err)
			return
		}
	}
}

func (s *Server) answer(br *bufio.Reader, buf []byte) ([]byte, error) {
	kind, payload, err := readFrame(br)
	if err != nil {
		return nil, err
	}
	handler := s.handlers[kind]
	if handler == nil {
		return nil, ErrFrame
	}
	m, err := handler(payload)
	if err != nil {
		return nil, err
	}
	return appendFrame(buf, kind, m)
}
