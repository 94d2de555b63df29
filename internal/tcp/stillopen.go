package tcp

import (
	"errors"
	"net"
	"syscall"
)

// StillOpen reports whether an idle connection is still usable: the peer has neither
// closed the connection nor sent anything. StillOpen peeks without blocking, because a
// read with a short deadline would delay each request until the deadline.
func StillOpen(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true // not a socket, so there is no undetected close by a peer
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	isOpen := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isOpen = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && isOpen
}
