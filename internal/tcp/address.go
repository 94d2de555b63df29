package tcp

import (
	"net"
	"net/netip"
)

// RemoteIP returns the IP address of the peer of a connection; the zero value if it has none.
func RemoteIP(nc net.Conn) netip.Addr {
	if remote, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		return remote.AddrPort().Addr()
	}
	return netip.Addr{}
}
