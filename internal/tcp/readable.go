package tcp

import (
	"net"
	"syscall"
)

// Readable waits until something can be read from a connection, without reading it: a connection on which nothing happens needs no
// buffer.
type Readable struct {
	raw   syscall.RawConn
	asked bool
}

// NewReadable returns a Readable of a connection; nil if it is no socket.
func NewReadable(nc net.Conn) *Readable {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return &Readable{raw: raw}
}

// Wait returns when there is something to read, the end of the connection or an error among it. It fails at the read deadline, and
// when the connection is closed on this side.
func (r *Readable) Wait() error {
	r.asked = false
	return r.raw.Read(r.isReadable)
}

// isReadable is asked before the wait and again after it, when the poller has seen that the connection is readable.
func (r *Readable) isReadable(fd uintptr) bool {
	if r.asked {
		return true
	}
	r.asked = true
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err != syscall.EAGAIN && err != syscall.EINTR
}
