package callers

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// One address opens connections and sends nothing. It gets half of all places
// at most, callers from elsewhere are still served, and a place that it gives
// back can be taken again.
func TestOneAddressCannotTakeAllPlaces(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = inner.Close() }()
	refused := make(chan net.Addr, 16)
	ln := NewListener(inner, 8, func(a net.Addr) { refused <- a })
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
	var held []net.Conn
	for range 4 {
		dial("127.0.0.1")
		held = append(held, <-accepted)
	}
	greedy := dial("127.0.0.1")
	<-refused
	_, err = greedy.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
	dial("127.0.0.2")
	<-accepted
	held[0].(*Conn).end()
	dial("127.0.0.1")
	<-accepted
}
