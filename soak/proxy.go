package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections on loopback and simulates network faults.
type proxy struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	faults proxyFaults
	conns  map[net.Conn]bool
}

// proxyFaults lists the faults that apply to all connections, open ones included.
type proxyFaults struct {
	Delay       time.Duration // added to each chunk of forwarded bytes
	Refuse      bool          // new connections are reset
	Blackhole   bool          // bytes of both directions are dropped; connections stay open
	DropReplies bool          // bytes towards the client are dropped
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

func (p *proxy) setFaults(f proxyFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *proxy) currentFaults() proxyFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// reset closes all open connections of the proxy with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0) // fails only if the connection is closed already
		_ = conn.Close()
	}
	clear(p.conns)
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		client, err := p.ln.Accept()
		if err != nil {
			return
		}
		if p.currentFaults().Refuse {
			_ = client.(*net.TCPConn).SetLinger(0)
			_ = client.Close()
			continue
		}
		upstream, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[upstream] = true, true
		p.mu.Unlock()
		go p.forward(upstream, client, false)
		go p.forward(client, upstream, true)
	}
}

const proxyBuffer = 16 << 10 // bytes

// forward copies bytes in one direction until either connection ends; isReply marks
// the direction towards the client.
func (p *proxy) forward(to, from net.Conn, isReply bool) {
	defer to.Close()
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		f := p.currentFaults()
		time.Sleep(f.Delay)
		if n > 0 && !f.Blackhole && !(f.DropReplies && isReply) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
