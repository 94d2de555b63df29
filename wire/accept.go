package wire

import (
	"errors"
	"net"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/heatherrail/heatherrail/result"
)

// Default limits of an Acceptor, in connections.
const (
	DefaultMaxConns   = 4096
	DefaultMaxPending = 128 // connections whose hello exchange is pending
)

// Acceptor accepts connections from other processes on a listener. It limits the
// number of connections, and separately those whose hello exchange is pending.
// Unknown clients that connect and send nothing therefore occupy at most MaxPending
// of the MaxConns connections, each for at most Options.HelloTimeout.
type Acceptor struct {
	Listener   net.Listener
	Hello      Hello
	Handler    Handler
	Options    Options
	MaxConns   int // limit on open connections; zero: DefaultMaxConns
	MaxPending int // limit on connections whose hello exchange is pending; zero: DefaultMaxPending
	// Serve, if not nil, runs for each connection after the hello exchange. The
	// connection stays open after Serve returns.
	Serve func(c *Conn)
	// Refused, if not nil, is called for each refused connection with the reason.
	Refused func(remote net.Addr, err error)
}

// acceptBackoff is the pause after a transient accept error, for example when the
// process is out of file descriptors.
const acceptBackoff = 50 * time.Millisecond

// Run accepts connections until the listener is closed. It then closes the accepted
// connections and waits for them to end.
func (a *Acceptor) Run() {
	setDefault(&a.MaxConns, DefaultMaxConns)
	setDefault(&a.MaxPending, DefaultMaxPending)
	stop := make(chan struct{})
	connSlots := make(chan struct{}, a.MaxConns)
	handshakeSlots := make(chan struct{}, a.MaxPending)
	var conns conc.WaitGroup
	for {
		nc, err := a.Listener.Accept()
		if err != nil && isTransientAcceptError(err) {
			time.Sleep(acceptBackoff)
			continue
		}
		if err != nil {
			break // the listener was closed
		}
		if !tryAcquire(connSlots) {
			a.rejectConn(nc, "connections", a.MaxConns)
			continue
		}
		if !tryAcquire(handshakeSlots) {
			<-connSlots
			a.rejectConn(nc, "connections without a hello", a.MaxPending)
			continue
		}
		conns.Go(func() {
			defer func() { <-connSlots }()
			if c := a.handshake(nc, handshakeSlots); c != nil {
				a.serve(c, stop)
			}
		})
	}
	close(stop)
	conns.Wait()
}

func isTransientAcceptError(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && !errors.Is(err, net.ErrClosed)
}

func tryAcquire(slots chan<- struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (a *Acceptor) rejectConn(nc net.Conn, what string, limit int) {
	_ = nc.Close() // the peer reconnects
	a.reportRefused(nc, result.New(result.ConnsFull, "%d %s", limit, what))
}

func (a *Acceptor) reportRefused(nc net.Conn, err error) {
	if a.Refused != nil {
		a.Refused(nc.RemoteAddr(), err)
	}
}

func (a *Acceptor) handshake(nc net.Conn, handshakeSlots <-chan struct{}) *Conn {
	defer func() { <-handshakeSlots }()
	c, err := Server(nc, a.Hello, a.Handler, a.Options)
	if err != nil {
		a.reportRefused(nc, err)
		return nil
	}
	return c
}

// serve runs a connection until it ends or the acceptor stops.
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
