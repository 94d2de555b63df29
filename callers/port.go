package callers

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/shedding"
)

// Limits of a port for short requests.
const (
	portHeadBytes   = 8 << 10
	portHeadTimeout = 5 * time.Second
	portIdleTimeout = 30 * time.Second
)

// ServePort serves a port for short requests without bodies beside that for callers' requests, such as readiness checks, until the listener
// is closed.
func ServePort(ln net.Listener, maxConns int, handler fasthttp.RequestHandler, o Observer) {
	server := &fasthttp.Server{
		Handler:               handler,
		ReadBufferSize:        portHeadBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		Logger:                discardLogger{},
	}
	limits := shedding.Limits{Connections: maxConns, Bytes: maxConns * shedding.SmallBytes}
	timeouts := func() Timeouts { return Timeouts{Head: portHeadTimeout, Idle: portIdleTimeout} }
	s := NewServer(server, limits, timeouts, o)
	go func() { _ = s.Serve(ln) }() // ends when the listener is closed
}

// discardLogger discards the library's log lines about broken connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
