package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy carries connections on loopback and does to them what networks do.
type proxy struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	faults proxyFaults
	conns  map[net.Conn]bool
}

// proxyFaults are what happens to connections from now on.
type proxyFaults struct {
	Delay  time.Duration // of each piece
	Refuse bool          // new connections are reset
	Silent bool          // nothing is carried, and connections stay open
	OneWay bool          // nothing is carried back
}

func startProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) set(f proxyFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *proxy) get() proxyFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for nc := range p.conns {
		_ = nc.(*net.TCPConn).SetLinger(0) // a connection that is gone already needs none
		_ = nc.Close()
	}
	clear(p.conns)
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		nc, err := p.ln.Accept()
		if err != nil {
			return
		}
		if p.get().Refuse {
			_ = nc.(*net.TCPConn).SetLinger(0)
			_ = nc.Close()
			continue
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = nc.Close()
			continue
		}
		p.mu.Lock()
		p.conns[nc], p.conns[out] = true, true
		p.mu.Unlock()
		go p.carry(out, nc, false)
		go p.carry(nc, out, true)
	}
}

const proxyBuffer = 16 << 10

func (p *proxy) carry(to, from net.Conn, back bool) {
	defer to.Close()
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		f := p.get()
		time.Sleep(f.Delay)
		if n > 0 && !f.Silent && !(f.OneWay && back) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
