package fake

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const readHeaderTimeout = 5 * time.Second

// Server serves one stand-in over HTTP on a loopback port chosen by the system. It uses
// the server of the standard library, which cancels the request context when the client
// disconnects. The engine stand-in needs that to free the request's slot.
type Server struct {
	Addr    string // IP address and port
	handler http.Handler
	mu      sync.Mutex
	srv     *http.Server // nil while stopped
}

// Serve starts a server for h.
func Serve(h http.Handler) (*Server, error) {
	s := &Server{Addr: "127.0.0.1:0", handler: h}
	return s, s.Start()
}

// Start starts a stopped server on its previous port. It does nothing if the server is
// running.
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
	go func() { _ = srv.Serve(ln) }() // returns after Stop
	return nil
}

// Stop closes all connections and refuses new ones, like a crashed process.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.srv != nil {
		_ = s.srv.Close()
		s.srv = nil
	}
}

// Close stops the server.
func (s *Server) Close() { s.Stop() }
