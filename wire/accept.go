package wire

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/heatherrail/heatherrail/internal/tcp"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/shedding"
)

// Default limits of an Acceptor, in connections.
const (
	DefaultMaxConns   = 4096
	DefaultMaxPending = 128 // connections whose hello exchange is pending
)

// Acceptor accepts connections from other processes on a listener. It limits the
// number of connections, and separately those whose hello exchange is pending.
// Unknown clients that connect and send nothing therefore occupy at most MaxPending
// of the MaxConns connections, each for at most Options.HelloTimeout, and give way to later ones.
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

// helloGrace is how long the hello of a connection may be on its way before the connection gives way to others.
const helloGrace = 100 * time.Millisecond

// Run accepts connections until the listener is closed. It then closes the accepted
// connections and waits for them to end.
func (a *Acceptor) Run() {
	setDefault(&a.MaxConns, DefaultMaxConns)
	setDefault(&a.MaxPending, DefaultMaxPending)
	stop := make(chan struct{})
	connSlots := make(chan struct{}, a.MaxConns)
	pending := shedding.NewAccount(shedding.Limits{Connections: a.MaxPending, MinSilence: helloGrace})
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
		holder, givesWay := pending.Open(tcp.RemoteIP(nc), time.Now())
		if givesWay != nil {
			givesWay.Owner.(*pendingConn).giveWay()
			givesWay.Close()
		}
		if holder == nil {
			<-connSlots
			a.rejectConn(nc, "connections without a hello", a.MaxPending)
			continue
		}
		p := &pendingConn{Conn: nc, holder: holder}
		holder.Owner = p
		conns.Go(func() {
			defer func() { <-connSlots }()
			if c := a.handshake(p); c != nil {
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

// pendingConn is a connection whose hello exchange is pending.
type pendingConn struct {
	net.Conn
	holder  *shedding.Holder
	gaveWay atomic.Bool
}

// giveWay ends the handshake in favour of a later connection.
func (p *pendingConn) giveWay() {
	p.gaveWay.Store(true)
	_ = p.Close() // the handshake fails
}

func (a *Acceptor) handshake(p *pendingConn) *Conn {
	c, err := Server(p.Conn, a.Hello, a.Handler, a.Options)
	p.holder.Close() // before anyone is told that the exchange is over
	if err != nil && p.gaveWay.Load() {
		err = result.New(result.ConnsFull, "%d connections without a hello, this one for longest", a.MaxPending)
	}
	if err != nil {
		a.reportRefused(p, err)
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
