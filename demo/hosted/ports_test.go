package hosted

import (
	"net"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// Other sockets hold random ports on some of the addresses. Guards against a start that fails because
// the port that the first address got is taken on another one.
func TestOnePortIsFoundBesideOtherListeners(t *testing.T) {
	g := NewWithT(t)
	addresses := []string{"127.0.0.81:1", "127.0.0.82:1", "127.0.0.83:1", "127.0.0.84:1"}
	var busy sync.WaitGroup
	stop := make(chan struct{})
	for _, ip := range []string{"127.0.0.82", "127.0.0.84"} {
		busy.Go(func() {
			var open []net.Listener
			for len(open) < 400 {
				ln, err := net.Listen("tcp", ip+":0")
				if err != nil {
					break
				}
				open = append(open, ln)
			}
			<-stop
			for _, ln := range open {
				_ = ln.Close()
			}
		})
	}
	for range 100 {
		listeners, err := listenOnOnePort(addresses)
		g.Expect(err).NotTo(HaveOccurred())
		_, port, _ := net.SplitHostPort(listeners[0].Addr().String())
		for i, ln := range listeners {
			ip, _, _ := net.SplitHostPort(addresses[i])
			g.Expect(ln.Addr().String()).To(Equal(net.JoinHostPort(ip, port)))
			g.Expect(ln.Close()).To(Succeed())
		}
	}
	close(stop)
	busy.Wait()
}
