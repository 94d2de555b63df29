package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// After a broken connection the check must tell a process that has ended from one that runs, also behind a
// proxy that accepts connections and closes them.
func TestCheckProcessTellsAGoneProcessFromARunningOne(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	closesAtOnce := make(chan bool, 2)
	closesAtOnce <- false
	closesAtOnce <- true
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if <-closesAtOnce {
				_ = nc.Close()
			}
		}
	}()
	p := NewPool(ln.Addr().String(), new(Limit))
	g.Expect(p.CheckProcess(context.Background())).To(Equal(ProcessRunning))
	g.Expect(p.IdleCount()).To(Equal(1), "the connection is kept for requests")
	g.Expect(p.CheckProcess(context.Background())).To(Equal(ProcessGone))
	g.Expect(ln.Close()).To(Succeed())
	g.Expect(p.CheckProcess(context.Background())).To(Equal(ProcessGone))
	ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	g.Expect(p.CheckProcess(ctx)).To(Equal(ProcessUnknown))
}
