package callers

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// One address opens many idle connections. It must get at most half of all connections, other
// addresses must still be served, and a connection that it closes may be replaced.
func TestOneAddressCannotUseAllConnections(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = inner.Close() }()
	rejected := make(chan net.Addr, 16)
	ln := NewListener(inner, 8, 0, func(a net.Addr) { rejected <- a })
	accepted := make(chan net.Conn, 16)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- nc
		}
	}()
	dial := func(from string) net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		nc, err := d.Dial("tcp", inner.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = nc.Close() })
		return nc
	}
	var open []net.Conn
	for range 4 {
		dial("127.0.0.1")
		open = append(open, <-accepted)
	}
	excess := dial("127.0.0.1")
	<-rejected
	_, err = excess.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
	dial("127.0.0.2")
	<-accepted
	open[0].(*Conn).closeNow()
	dial("127.0.0.1")
	<-accepted
}
