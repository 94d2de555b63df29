package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/heatherrail/heatherrail/internal/tcp"
	"github.com/heatherrail/heatherrail/serving"
)

// startListeningEntry starts an entry whose callers connect through tcp.Listen, as in production.
func startListeningEntry(t *testing.T, grace time.Duration, target *testTarget) *testEntry {
	t.Helper()
	g := NewWithT(t)
	store := new(memStore)
	store.put(serving.TopicConfig, "config", testConfig())
	store.put(serving.TopicTargets, target.id, serving.Target{Service: "plain", Address: target.addr, DataCentre: "a"})
	callersLn, err := tcp.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	o := testOptions("gw", store)
	o.CallerAddr, o.ShutdownGrace = callersLn.Addr().String(), grace
	e := &testEntry{t: t, store: store, addr: o.CallerAddr, gw: Start(o, callersLn, listen(t))}
	t.Cleanup(func() {
		e.gw.cancel()
		e.gw.peerServer.Close()
		_ = callersLn.Close()
	})
	g.Eventually(func() bool { v := e.gw.state.snapshot(); return v != nil && len(v.targets["plain"]) == 1 }, "5s", "5ms").Should(BeTrue())
	return e
}

// requestWithSmallWindow sends a request from a caller whose receive window is small.
func requestWithSmallWindow(t *testing.T, e *testEntry, path, fields string) (net.Conn, *bufio.Reader) {
	t.Helper()
	g := NewWithT(t)
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) { setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1024) })
		return errors.Join(err, setErr)
	}}
	nc, err := d.Dial("tcp", e.addr)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = nc.Close() })
	_, err = io.WriteString(nc, "POST "+path+" HTTP/1.1\r\nHost: h\r\nRid: r1\r\nKey: k1\r\nLeft: 20000\r\n"+fields+"Content-Length: 0\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	return nc, bufio.NewReaderSize(nc, 16)
}

func expectBody(g *WithT, br *bufio.Reader, body string) {
	resp, err := http.ReadResponse(br, nil)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred(), "%d bytes", len(got))
	g.Expect(string(got) == body).To(BeTrue())
}

// A caller that read nothing for 2.5 s was cut off, and the response of its request was lost.
func TestCallerThatPausesWhileItReadsGetsTheWholeResponse(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("0123456789abcdef", 300)
	for _, fields := range []string{"", "Connection: close\r\n"} {
		target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, body) })
		e := startListeningEntry(t, 2*time.Second, target)
		for range 3 {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				_, br := requestWithSmallWindow(t, e, "/once/x", fields)
				time.Sleep(4 * time.Second)
				expectBody(NewWithT(t), br, body)
			})
		}
	}
}

// A stopping entry must wait for a caller that reads slowly, though no longer than its grace.
func TestShutdownWaitsForCallersThatReadSlowly(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("0123456789abcdef", 300)
	for _, tc := range []struct {
		name  string
		reads bool
	}{{"reads within the grace", true}, {"never reads", false}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			const grace = 10 * time.Second
			target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, body) })
			e := startListeningEntry(t, grace, target)
			_, br := requestWithSmallWindow(t, e, "/once/x", "")
			g.Eventually(func() int { return len(target.received()) }, "5s", "5ms").Should(Equal(1))
			start := time.Now()
			stopped := make(chan time.Duration, 1)
			go func() {
				_ = e.gw.Shutdown(context.Background()) // what counts is when it returns
				stopped <- time.Since(start)
			}()
			if !tc.reads {
				g.Expect(<-stopped).To(BeNumerically("<", grace))
				return
			}
			time.Sleep(8 * time.Second)
			g.Expect(stopped).To(BeEmpty())
			expectBody(g, br, body)
			g.Expect(<-stopped).To(BeNumerically("<", grace))
		})
	}
}
