package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Idle connections to targets took the descriptors that requests to other targets needed.
func TestIdleConnectionsMakeRoomAtTheLimit(t *testing.T) {
	g := NewWithT(t)
	respond := func(nc net.Conn, br *bufio.Reader, _ int) bool {
		if !readRequest(br) {
			return false
		}
		_, err := io.WriteString(nc, okResponse("r", "x"))
		return err == nil
	}
	limit := &Limit{Max: 2}
	pools := []*Pool{NewPool(serve(t, respond).addr, limit), NewPool(serve(t, respond).addr, limit), NewPool(serve(t, respond).addr, limit)}
	limit.MakeRoom = func() {
		for _, p := range pools {
			if p.CloseOldestIdle() {
				return
			}
		}
	}
	idle := func() (n int) {
		for _, p := range pools {
			n += p.IdleCount()
		}
		return n
	}
	for range 3 {
		for _, p := range pools {
			g.Expect(send(p, "r")).To(Equal("x"))
			g.Expect(limit.open.Load()).To(BeNumerically("<=", 2))
			g.Expect(idle()).To(BeNumerically("<=", 2))
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r, err := pools[0].Send(ctx, &Request{Method: "GET", URI: "/", Host: "h", EchoHeader: "Id", EchoValue: "r"})
	g.Expect(err).NotTo(HaveOccurred())
	cancel()
	r.Close()
	for _, p := range pools {
		p.Close()
	}
	g.Expect(limit.open.Load()).To(BeZero(), "each connection is counted until it is closed")
}
