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

// Frames between heatherrail processes start with a header: length (4 bytes), kind (1
// byte) and stream ID (8 bytes). A relay needs only the length.
const (
	frameHeaderBytes   = 4 + 1 + 8
	maxFrameBytes      = 64 << 20
	freezePollInterval = 5 * time.Millisecond
)

// RelayFaults defines the faults that a Relay simulates.
type RelayFaults struct {
	Delay     time.Duration // added to each frame; the order of frames is kept
	Freeze    bool          // no frame is forwarded; connections stay open
	Duplicate int           // number of further frames that are forwarded twice
}

// Relay forwards frames between two heatherrail processes and simulates network faults.
type Relay struct {
	Addr     string // IP address and port of the listener
	upstream string
	ln       net.Listener

	mu     sync.Mutex
	faults RelayFaults
	conns  map[net.Conn]bool
}

// NewRelay listens on a loopback port and forwards connections to upstream.
func NewRelay(upstream string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{Addr: ln.Addr().String(), upstream: upstream, ln: ln, conns: make(map[net.Conn]bool)}
	go r.accept()
	return r, nil
}

// SetFaults replaces the current faults.
func (r *Relay) SetFaults(f RelayFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Cut closes all open connections. New connections are still accepted.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close closes the listener and all connections.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.Cut()
}

func (r *Relay) accept() {
	for {
		client, err := r.ln.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.upstream)
		if err != nil {
			_ = client.Close()
			continue
		}
		r.track(client, server)
		go r.forward(client, server)
		go r.forward(server, client)
	}
}

// track records open connections, so that Cut can close them.
func (r *Relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
}

// forward copies frames in one direction until one of the connections ends.
func (r *Relay) forward(from, to net.Conn) {
	defer r.closeConns(from, to)
	br := bufio.NewReader(from)
	for {
		frame, err := readFrame(br)
		if err != nil {
			return
		}
		for range r.applyFaults() {
			if _, err := to.Write(frame); err != nil {
				return
			}
		}
	}
}

// closeConns closes connections and removes them from the open connections.
func (r *Relay) closeConns(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(r.conns, c)
	}
}

// applyFaults waits for the end of a freeze and for the delay. It returns how many times
// the frame is to be written.
func (r *Relay) applyFaults() int {
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
		time.Sleep(freezePollInterval)
	}
}

// readFrame reads one frame with its header.
func readFrame(br *bufio.Reader) ([]byte, error) {
	header, err := br.Peek(frameHeaderBytes)
	if err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header)
	if size > maxFrameBytes {
		return nil, fmt.Errorf("relay: frame of %d bytes exceeds the limit", size)
	}
	frame := make([]byte, frameHeaderBytes+int(size))
	if _, err := io.ReadFull(br, frame); err != nil {
		return nil, err
	}
	return frame, nil
}
