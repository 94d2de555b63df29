package metrics

import (
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits of the server. Collectors send few and small requests.
const (
	serveMaxConns       = 64
	serveTimeout        = 10 * time.Second
	serveMaxHeaderBytes = 4 << 10
)

// Server serves a Set over HTTP on its own address, for processes whose other listeners
// don't serve metrics.
type Server struct {
	ln  net.Listener
	srv *fasthttp.Server
}

// Serve starts an HTTP server on addr for /metrics and /healthz.
func (s *Set) Serve(addr string) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	m := &Server{ln: ln, srv: &fasthttp.Server{
		Handler:               s.handle,
		Concurrency:           serveMaxConns,
		ReadTimeout:           serveTimeout,
		WriteTimeout:          serveTimeout,
		IdleTimeout:           serveTimeout,
		ReadBufferSize:        serveMaxHeaderBytes,
		MaxRequestBodySize:    1,
		NoDefaultServerHeader: true,
	}}
	go func() { _ = m.srv.Serve(ln) }() // returns after Close
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
		ctx.Error("not found, available: /metrics and /healthz", fasthttp.StatusNotFound)
	}
}

// Addr returns the IP address and port on which the server listens.
func (m *Server) Addr() string { return m.ln.Addr().String() }

// Close closes the listener of the server. Open connections are not closed.
func (m *Server) Close() { _ = m.ln.Close() }
