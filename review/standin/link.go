package main

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// link is the network path of one VM. While it is cut, new connections are never established, and
// bytes of open ones are held up: they arrive later, unless their sender has reset the connection.
type link struct {
	mu     sync.Mutex
	healed chan struct{} // nil: not cut
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed == nil {
		l.healed = make(chan struct{})
	}
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed != nil {
		close(l.healed)
		l.healed = nil
	}
}

// outage returns a channel that is closed at the end of the current cut; nil: there is none.
func (l *link) outage() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed
}

func (l *link) wait() {
	if healed := l.outage(); healed != nil {
		<-healed
	}
}

// forward accepts connections at one address and passes their bytes on to another.
func (l *link) forward(from, to string) error {
	ln, err := net.Listen("tcp", from)
	if err != nil {
		return err
	}
	go func() { // runs until the process exits
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(client.(*net.TCPConn), to)
		}
	}()
	return nil
}

func (l *link) serve(client *net.TCPConn, to string) {
	if healed := l.outage(); healed != nil {
		<-healed
		reset(client)
		return
	}
	conn, err := net.DialTimeout("tcp", to, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	server := conn.(*net.TCPConn)
	go l.pump(server, client)
	l.pump(client, server)
}

// pump passes bytes on until the sender closes the connection or resets it.
func (l *link) pump(from, to *net.TCPConn) {
	var buf [16 << 10]byte
	for {
		n, err := from.Read(buf[:])
		l.wait()
		if errors.Is(err, syscall.ECONNRESET) {
			reset(to)
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite() // fails only if the other side has closed the connection
			return
		}
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
