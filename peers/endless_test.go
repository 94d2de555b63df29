package peers

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A peer that answers without end must not hold a request beyond its timeout, nor its connection.
func TestPeerThatAnswersWithoutEndIsDropped(t *testing.T) {
	for _, repeated := range []string{"garbage", "\x00\x00\x00\x00\x01", "\x7f\xff\xff\xff\x01", "\x00\x7f\xff\xff\x01"} {
		g := NewWithT(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		closed := make(chan struct{})
		go func() {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			defer nc.Close()
			for block := strings.Repeat(repeated, 4<<10); err == nil; {
				_, err = io.WriteString(nc, block)
			}
			close(closed)
		}()
		c := NewClient(ln.Addr().String())
		start := time.Now()
		var answer RankState
		g.Expect(c.Ask(context.Background(), KindCollect, &Collect{}, &answer, time.Second)).NotTo(Succeed())
		g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
		g.Eventually(closed, "5s").Should(BeClosed())
		_ = ln.Close()
	}
}

// A peer that sends requests without end must not make the server allocate or answer without end.
func TestServerDropsPeerThatSendsGarbage(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := Serve(ln, nil, func(string, error) {})
	defer s.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = nc.Close() }()
	g.Expect(nc.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	for err == nil {
		_, err = io.WriteString(nc, strings.Repeat("\x7f\xff\xff\xff\x01", 4<<10))
	}
	g.Expect(err).NotTo(MatchError(ContainSubstring("timeout")))
}
