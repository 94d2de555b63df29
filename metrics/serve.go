package metrics

import (
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits of the server: collectors ask little and seldom.
const (
	serveConns   = 64
	serveTimeout = 10 * time.Second
	serveHeaders = 4 << 10
)

// Server serves a set on an address of its own, for processes that have no
// callers.
type Server struct {
	ln  net.Listener
	srv *fasthttp.Server
}

// Serve starts to serve /metrics and /healthz.
func (s *Set) Serve(addr string) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	m := &Server{ln: ln, srv: &fasthttp.Server{
		Handler:               s.handle,
		Concurrency:           serveConns,
		ReadTimeout:           serveTimeout,
		WriteTimeout:          serveTimeout,
		IdleTimeout:           serveTimeout,
		ReadBufferSize:        serveHeaders,
		MaxRequestBodySize:    1,
		NoDefaultServerHeader: true,
	}}
	go func() { _ = m.srv.Serve(ln) }() // ends with Close
	return m, nil
}

func (s *Set) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/metrics":
		if err := s.Write(ctx); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		}
	default:
		ctx.Error("there are /metrics and /healthz", fasthttp.StatusNotFound)
	}
}

// Addr returns the address that is served.
func (m *Server) Addr() string { return m.ln.Addr().String() }

// Close stops the server.
func (m *Server) Close() { _ = m.ln.Close() }
