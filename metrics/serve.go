package metrics

import (
	"fmt"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/callers"
	"github.com/heatherrail/heatherrail/internal/tcp"
)

// DefaultMaxConns is the limit on the connections of a Server if there is no other.
const DefaultMaxConns = 64

// Server serves a Set over HTTP on its own address, for processes whose other listeners
// don't serve metrics.
type Server struct {
	ln net.Listener
}

// Serve starts an HTTP server on addr for /metrics and /healthz, with a limit on its connections.
func (s *Set) Serve(addr string, maxConns int) (*Server, error) {
	ln, err := tcp.ListenAny(addr)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	callers.ServePort(ln, maxConns, s.handle, s.Observer())
	return &Server{ln: ln}, nil
}

// Observer counts the connections to a port that were not served.
func (s *Set) Observer() callers.Observer {
	return callers.Observer{
		Refused:      func(net.Addr) { s.Count("connections_refused", 1) },
		GaveWay:      func(net.Addr) { s.Count("connections_gave_way", 1) },
		AcceptFailed: func(error) { s.Count("accept_failures", 1) },
	}
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
