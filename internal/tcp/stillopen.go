package tcp

import (
	"errors"
	"net"
	"syscall"
)

// StillOpen reports whether the peer of a kept connection has neither closed it
// nor sent anything. It looks without waiting: a read with a short deadline
// would cost each request the time of a timer.
func StillOpen(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true // no socket, so no peer that could have left unseen
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
