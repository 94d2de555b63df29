package fake

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const readHeaderTimeout = 5 * time.Second

// Server serves one stand-in on a loopback port chosen by the system. It uses
// the standard library's server, which tells a handler when its client leaves;
// the engine stand-in must free the slot then.
type Server struct {
	Addr    string
	handler http.Handler
	mu      sync.Mutex
	srv     *http.Server // nil while stopped
}

// Serve starts a server.
func Serve(h http.Handler) (*Server, error) {
	s := &Server{Addr: "127.0.0.1:0", handler: h}
	return s, s.Start()
}

// Start listens again after Stop, on the same port.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.srv != nil {
		return nil
	}
	ln, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	s.Addr = ln.Addr().String()
	srv := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
	s.srv = srv
	go func() { _ = srv.Serve(ln) }() // ends with Stop
	return nil
}

// Stop cuts all connections and refuses new ones, like a process that died.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.srv != nil {
		_ = s.srv.Close()
		s.srv = nil
	}
}

// Close stops the server for good.
func (s *Server) Close() { s.Stop() }
