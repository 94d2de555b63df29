package callers

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/internal/tcp"
	"github.com/heatherrail/heatherrail/shedding"
)

// Timeouts limit how long a caller may take.
type Timeouts struct {
	Head time.Duration // for the head of a request; for the first one it includes the time before its first byte
	Idle time.Duration // between two requests
}

// Server accepts callers' connections. It hands a connection to the HTTP library only while a request is on it: between requests it
// holds no buffers. What all connections hold together is bounded by an account.
type Server struct {
	http      *fasthttp.Server
	account   *shedding.Account
	timeouts  func() Timeouts
	observer  Observer
	connState func(net.Conn, fasthttp.ConnState) // the owner's own

	acceptFailedAt atomic.Int64 // time of the latest accept that failed, in nanoseconds; 0: one has succeeded since
	segments       segmentPool

	mu   sync.Mutex
	open map[*Conn]struct{}
}

// Observer is told of connections that were not served. Its functions may be nil.
type Observer struct {
	Refused      func(remote net.Addr) // closed before any of a request was read, as there is no room and none gives way
	GaveWay      func(remote net.Addr) // closed or refused in favour of others
	AcceptFailed func(error)
}

// NewServer returns a server that runs an HTTP server of the library, of which it sets what concerns connections and bodies. The
// handler reads bodies with ReadBody.
func NewServer(http *fasthttp.Server, limits shedding.Limits, timeouts func() Timeouts, o Observer) *Server {
	s := &Server{
		http: http, account: shedding.NewAccount(limits), timeouts: timeouts, observer: o, connState: http.ConnState,
		open: make(map[*Conn]struct{}),
	}
	s.segments.limit = limits.Bytes / segmentBytes
	s.wrapHandlers()
	http.ConnState = s.connStateChanged
	http.StreamRequestBody = true
	http.MaxRequestBodySize = 1    // what the library reads ahead of the handler
	http.ReduceMemoryUsage = false // it reads the first byte of a request by itself; the memory is released between requests anyway
	http.ReadTimeout, http.IdleTimeout = 0, 0
	http.SecureErrorLogMessage = true // an error would quote the head, each byte as up to four
	// Without this the body of a form is parsed, and encoded anew from maps.
	http.DisablePreParseMultipartForm = true
	return s
}

// wrapHandlers adds to the handlers of the HTTP server what concerns connections.
func (s *Server) wrapHandlers() {
	handler, errorHandler, expectHandler := s.http.Handler, s.http.ErrorHandler, s.http.ExpectHandler
	s.http.Handler = func(c *fasthttp.RequestCtx) {
		handler(c)
		if conn, ok := c.Conn().(*Conn); ok && hasBody(c) && !conn.bodyRead {
			c.SetConnectionClose() // the library would wait for the rest of the body
		}
		// The library then writes the response before it looks at the next request.
		_ = c.SetWriteDeadline(time.Time{}) // Conn sets its own
		dropLargeHead(c)
	}
	if errorHandler != nil {
		s.http.ErrorHandler = func(c *fasthttp.RequestCtx, err error) {
			errorHandler(c, err)
			dropLargeHead(c)
		}
	}
	if expectHandler != nil {
		s.http.ExpectHandler = func(c *fasthttp.RequestCtx) int {
			status := expectHandler(c)
			if status != fasthttp.StatusContinue {
				dropLargeHead(c)
			}
			return status
		}
	}
}

// MinSilence is how long a request may be on its way on a new connection, or on an idle one, before the connection gives way to those of
// other callers. It is for servers whose requests may run for long: others do not need it, as their connections soon become idle.
const MinSilence = 200 * time.Millisecond

// Times of failed accepts.
const (
	acceptRetryDelay = 50 * time.Millisecond
	notAcceptingTime = 4 * acceptRetryDelay
	giveWayWait      = time.Second // longest wait for the descriptor of a connection that gives way
)

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// For example out of descriptors. Those of other connections become free.
			s.acceptFailedAt.Store(time.Now().UnixNano())
			if s.observer.AcceptFailed != nil {
				s.observer.AcceptFailed(err)
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.acceptFailedAt.Store(0)
		s.accept(nc)
	}
}

// Accepting reports whether connections can be accepted. While none come, it is not known; an accept that fails is soon repeated.
func (s *Server) Accepting() bool {
	failedAt := s.acceptFailedAt.Load()
	return failedAt == 0 || time.Now().UnixNano()-failedAt > int64(notAcceptingTime)
}

// MaxBodyBytes returns the longest body that a request can have, since one connection may not take all of the memory.
func (s *Server) MaxBodyBytes() int { return s.account.Limits().MaxBytesOfOne() - shedding.ActiveBytes }

func (s *Server) accept(nc net.Conn) {
	holder, givesWay := s.account.Open(tcp.RemoteIP(nc), time.Now())
	if holder == nil {
		_ = nc.Close() // closed at once: a lingering close as in Conn.Close would need a goroutine
		s.reportRefused(nc)
		return
	}
	if givesWay != nil {
		conn := givesWay.Owner.(*Conn)
		conn.giveWay(true)
		select {
		case <-conn.closed:
		case <-time.After(giveWayWait):
		}
	}
	go s.serve(s.newConn(nc, holder))
}

func (s *Server) reportRefused(nc net.Conn) {
	if s.observer.Refused != nil {
		s.observer.Refused(nc.RemoteAddr())
	}
}

func (s *Server) newConn(nc net.Conn, holder *shedding.Holder) *Conn {
	c := &Conn{Conn: nc, server: s, holder: holder, leaving: make(chan struct{}), closed: make(chan struct{}), began: time.Now()}
	c.readable = tcp.NewReadable(nc)
	holder.Owner = c
	c.stall = tcp.NewStallWatch(nc, c.recordStall)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return c
}

func (s *Server) serve(c *Conn) {
	for c.awaitRequest() {
		_ = s.http.ServeConn(c) // an error concerns this connection only, and its caller has got the answer to it
		if !c.endedIdle {
			return // the library has closed the connection
		}
	}
	c.closeNow()
}

// connStateChanged follows the requests of a connection.
func (s *Server) connStateChanged(nc net.Conn, state fasthttp.ConnState) {
	c := nc.(*Conn)
	switch state {
	case fasthttp.StateActive:
		c.beginRequest()
	case fasthttp.StateIdle:
		c.endRequest(shedding.Idle)
	}
	if s.connState != nil && !(state == fasthttp.StateClosed && c.endedIdle) {
		s.connState(nc, state)
	}
}

func (s *Server) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *Server) conns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conns []*Conn
	for c := range s.open {
		conns = append(conns, c)
	}
	return conns
}

// Unread returns the number of connections whose callers have not read all that was written.
func (s *Server) Unread() (n int) {
	for _, c := range s.conns() {
		if c.stall.Undelivered() {
			n++
		}
	}
	return n
}

// RefuseUnfinished makes ReadBody fail with ErrNoMemory for requests whose bodies have not arrived whole.
func (s *Server) RefuseUnfinished() {
	for _, c := range s.conns() {
		c.refuseBody()
	}
}

// shutdownPollInterval is the interval at which Shutdown looks at the connections.
const shutdownPollInterval = 50 * time.Millisecond

// Shutdown closes connections between two requests until all are closed or ctx ends. The listener must be closed.
func (s *Server) Shutdown(ctx context.Context) error {
	for {
		conns := s.conns()
		if len(conns) == 0 {
			return nil
		}
		for _, c := range conns {
			if c.isIdle() {
				_ = c.Conn.Close() // its goroutine does the rest
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPollInterval):
		}
	}
}
