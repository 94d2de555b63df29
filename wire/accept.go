package wire

import (
	"errors"
	"net"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/heatherrail/heatherrail/result"
)

// Limits on a listener when an Acceptor names none.
const (
	DefaultMaxConns   = 4096
	DefaultMaxPending = 128
)

// Acceptor serves a listener for other processes. It bounds the connections, and
// apart from them those that have not said hello yet: strangers that connect
// and stay silent then can't take the places of known peers for longer than the
// hello's timeout.
type Acceptor struct {
	Listener   net.Listener
	Hello      Hello
	Handler    Handler
	Options    Options
	MaxConns   int // zero: DefaultMaxConns
	MaxPending int // zero: DefaultMaxPending
	// Serve runs for each connection after the hello; the connection stays until
	// it ends by itself. May be nil.
	Serve func(c *Conn)
	// Refused hears of connections that were not taken; may be nil.
	Refused func(remote net.Addr, err error)
}

// acceptBackoff is the pause after a failed accept, for example when the process
// has no file descriptor left.
const acceptBackoff = 50 * time.Millisecond

// Run accepts until the listener is closed, then ends the connections that it
// made and waits for them.
func (a *Acceptor) Run() {
	setDefault(&a.MaxConns, DefaultMaxConns)
	setDefault(&a.MaxPending, DefaultMaxPending)
	stop := make(chan struct{})
	places := make(chan struct{}, a.MaxConns)
	pending := make(chan struct{}, a.MaxPending)
	var conns conc.WaitGroup
	for {
		nc, err := a.Listener.Accept()
		if err != nil && mayAcceptAgain(err) {
			time.Sleep(acceptBackoff)
			continue
		}
		if err != nil {
			break // the listener was closed
		}
		if !take(places) {
			a.turnAway(nc, "connections", a.MaxConns)
			continue
		}
		if !take(pending) {
			<-places
			a.turnAway(nc, "connections without a hello", a.MaxPending)
			continue
		}
		conns.Go(func() {
			defer func() { <-places }()
			if c := a.greet(nc, pending); c != nil {
				a.serve(c, stop)
			}
		})
	}
	close(stop)
	conns.Wait()
}

func mayAcceptAgain(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && !errors.Is(err, net.ErrClosed)
}

func take(places chan<- struct{}) bool {
	select {
	case places <- struct{}{}:
		return true
	default:
		return false
	}
}

func (a *Acceptor) turnAway(nc net.Conn, what string, limit int) {
	_ = nc.Close() // the peer tries again
	a.refused(nc, result.New(result.ConnsFull, "%d %s", limit, what))
}

func (a *Acceptor) refused(nc net.Conn, err error) {
	if a.Refused != nil {
		a.Refused(nc.RemoteAddr(), err)
	}
}

func (a *Acceptor) greet(nc net.Conn, pending <-chan struct{}) *Conn {
	defer func() { <-pending }()
	c, err := Server(nc, a.Hello, a.Handler, a.Options)
	if err != nil {
		a.refused(nc, err)
		return nil
	}
	return c
}

// serve runs a connection until it is done, or until the acceptor stops.
func (a *Acceptor) serve(c *Conn, stop <-chan struct{}) {
	ended := make(chan struct{})
	go func() {
		select {
		case <-stop:
			c.Close()
		case <-ended:
		}
	}()
	if a.Serve != nil {
		a.Serve(c)
	}
	<-c.Done()
	close(ended)
	c.Close()
}
