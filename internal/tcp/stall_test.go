package tcp

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// smallWindowBytes is a receive buffer that the kernel rounds up to its least.
const smallWindowBytes = 1024

// connPair returns the two ends of a connection with the options of Listen and a small receive window
// of the peer.
func connPair(t *testing.T) (own, peer *net.TCPConn) {
	t.Helper()
	g := NewWithT(t)
	ln, err := Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallWindowBytes)
		})
		return errors.Join(err, setErr)
	}}
	nc, err := d.Dial("tcp4", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err := ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _, _ = nc.Close(), accepted.Close() })
	return accepted.(*net.TCPConn), nc.(*net.TCPConn)
}

// makeUnreachable lets the kernel drop all that arrives at a connection, so that it acknowledges nothing.
func makeUnreachable(g *WithT, nc *net.TCPConn) {
	raw, err := nc.SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	var setErr error
	g.Expect(raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	})).To(Succeed())
	g.Expect(setErr).NotTo(HaveOccurred())
}

// timeToEnd returns how long it takes until a read of the connection fails.
func timeToEnd(g *WithT, nc net.Conn) time.Duration {
	start := time.Now()
	g.Expect(nc.SetReadDeadline(start.Add(time.Minute))).To(Succeed())
	_, err := nc.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	return time.Since(start)
}

const responseBytes = 4800

// The user timeout cut off peers that read nothing for 2.5 s, although they acknowledged each probe.
func TestPeerThatPausesWhileItReadsKeepsItsConnection(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{3 * time.Second, 6 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			own, peer := connPair(t)
			w := NewStallWatch(own, nil)
			defer w.Stop()
			for range 2 { // the second time the timeout of the first must not be left
				w.Arm()
				_, err := own.Write(make([]byte, responseBytes))
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(pause)
				n, err := io.ReadFull(peer, make([]byte, responseBytes))
				g.Expect(err).NotTo(HaveOccurred(), "%d bytes", n)
				g.Eventually(w.Undelivered, "2s").Should(BeFalse())
			}
		})
	}
}

// A peer that acknowledges nothing must be noticed within the user timeout, whether or not data waits.
func TestUnreachablePeerIsNoticed(t *testing.T) {
	t.Parallel()
	// The kernel checks the user timeout when it sends again, which takes up to half of it longer.
	const limit = userTimeout + userTimeout/2
	for _, tc := range []struct {
		name   string
		before func(g *WithT, own, peer *net.TCPConn)
		limit  time.Duration
	}{
		{"idle", func(*WithT, *net.TCPConn, *net.TCPConn) {}, limit},
		{"data in flight", func(g *WithT, own, peer *net.TCPConn) {
			makeUnreachable(g, peer)
			_, err := own.Write(make([]byte, 100))
			g.Expect(err).NotTo(HaveOccurred())
		}, limit},
		{"data in flight after a pause of the reader", func(g *WithT, own, peer *net.TCPConn) {
			_, err := own.Write(make([]byte, responseBytes))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(4 * time.Second)
			_, err = io.ReadFull(peer, make([]byte, responseBytes))
			g.Expect(err).NotTo(HaveOccurred())
			makeUnreachable(g, peer)
			_, err = own.Write(make([]byte, 100))
			g.Expect(err).NotTo(HaveOccurred())
		}, limit},
		{"while the reader pauses", func(g *WithT, own, _ *net.TCPConn) {
			_, err := own.Write(make([]byte, responseBytes))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(4 * time.Second)
		}, probeTimeout + userTimeout/2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			own, peer := connPair(t)
			w := NewStallWatch(own, nil)
			defer w.Stop()
			w.Arm()
			tc.before(g, own, peer)
			makeUnreachable(g, peer)
			g.Expect(timeToEnd(g, own)).To(BeNumerically("<", tc.limit))
		})
	}
}

// The owner of a connection must be able to end a stall that costs too much.
func TestStallIsReportedAndEnded(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	own, _ := connPair(t)
	stalls := make(chan Stall, 16)
	w := NewStallWatch(own, func(s Stall) bool {
		stalls <- s
		return s.Since < userTimeout
	})
	w.Arm()
	_, err := own.Write(make([]byte, responseBytes))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Undelivered()).To(BeTrue())
	g.Expect(timeToEnd(g, own)).To(BeNumerically("<", 2*userTimeout))
	g.Expect((<-stalls).UnsentBytes).To(BeNumerically(">", 0))
	w.Stop()
	g.Expect(w.Undelivered()).To(BeFalse())
}

// A check between the start of the watch and the write ended the watch, and a pause of the reader the connection.
func TestWriteThatCrossesACheckIsWatched(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	own, peer := connPair(t)
	w := NewStallWatch(own, nil)
	defer w.Stop()
	w.Arm()
	w.Arm()
	w.check()
	_, err := own.Write(make([]byte, responseBytes))
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(4 * time.Second)
	_, err = io.ReadFull(peer, make([]byte, responseBytes))
	g.Expect(err).NotTo(HaveOccurred())
}
