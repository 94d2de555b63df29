package fake

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Frames between heatherrail processes begin with a length of 4 bytes, a kind
// and a stream id; a relay needs no more of the protocol than that.
const (
	relayHeader   = 4 + 1 + 8
	relayMaxFrame = 64 << 20
	relayTick     = 5 * time.Millisecond
)

// RelayFaults says how a relay misbehaves.
type RelayFaults struct {
	Delay     time.Duration // added to each frame, in order
	Freeze    bool          // nothing passes, and nobody is told
	Duplicate int           // this many frames pass twice
}

// Relay stands between two heatherrail processes and passes their frames on.
type Relay struct {
	Addr     string
	upstream string
	ln       net.Listener

	mu     sync.Mutex
	faults RelayFaults
	conns  map[net.Conn]bool
}

// NewRelay listens on loopback and passes connections on to upstream.
func NewRelay(upstream string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{Addr: ln.Addr().String(), upstream: upstream, ln: ln, conns: make(map[net.Conn]bool)}
	go r.accept()
	return r, nil
}

// SetFaults replaces the faults.
func (r *Relay) SetFaults(f RelayFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Cut closes all connections; new ones are taken.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.Cut()
}

func (r *Relay) accept() {
	for {
		down, err := r.ln.Accept()
		if err != nil {
			return
		}
		up, err := net.Dial("tcp", r.upstream)
		if err != nil {
			_ = down.Close()
			continue
		}
		r.keep(down, up)
		go r.pass(down, up)
		go r.pass(up, down)
	}
}

func (r *Relay) keep(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
}

// pass copies frames one way until either side ends.
func (r *Relay) pass(from, to net.Conn) {
	defer r.drop(from, to)
	br := bufio.NewReader(from)
	for {
		frame, err := readFrame(br)
		if err != nil {
			return
		}
		for range r.hold() {
			if _, err := to.Write(frame); err != nil {
				return
			}
		}
	}
}

func (r *Relay) drop(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(r.conns, c)
	}
}

// hold waits as the faults say and returns how often the frame passes.
func (r *Relay) hold() int {
	for {
		r.mu.Lock()
		f := r.faults
		if !f.Freeze {
			copies := 1
			if f.Duplicate > 0 {
				r.faults.Duplicate--
				copies++
			}
			r.mu.Unlock()
			time.Sleep(f.Delay)
			return copies
		}
		r.mu.Unlock()
		time.Sleep(relayTick)
	}
}

func readFrame(br *bufio.Reader) ([]byte, error) {
	header, err := br.Peek(relayHeader)
	if err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header)
	if size > relayMaxFrame {
		return nil, fmt.Errorf("relay: frame of %d bytes", size)
	}
	frame := make([]byte, relayHeader+int(size))
	if _, err := io.ReadFull(br, frame); err != nil {
		return nil, err
	}
	return frame, nil
}
