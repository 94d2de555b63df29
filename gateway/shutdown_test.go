package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/result"
)

// largeResponse starts an entry and requests a response that exceeds the socket buffers, so that
// the entry can't write it until the caller reads. It returns the caller's connection.
func largeResponse(t *testing.T, body string) (*testEntry, net.Conn) {
	t.Helper()
	g := NewWithT(t)
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
		head := "HTTP/1.1 200 OK\r\nRid: %s\r\nSeal: yes\r\nContent-Length: %d\r\n\r\n"
		_, _ = fmt.Fprintf(w, head, r.Header.Get("Rid"), len(body))
		_, _ = io.WriteString(w, body)
		return true
	})
	e := startEntryWithTargets(t, "plain", target)
	caller, err := net.Dial("tcp", e.addr)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = caller.Close() })
	g.Expect(caller.(*net.TCPConn).SetReadBuffer(64 << 10)).To(Succeed())
	r, err := http.NewRequest("GET", "http://h/idem/x", http.NoBody)
	g.Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Rid", "r1")
	r.Header.Set("Left", "4000")
	r.Header.Set("Key", "k1")
	g.Expect(r.Write(caller)).To(Succeed())
	g.Eventually(target.received, "5s", "5ms").Should(HaveLen(1))
	g.Eventually(e.gw.inFlight.Load, "5s", "5ms").Should(BeZero())
	return e, caller
}

// A response has arrived from its target, and its caller has not read it completely. The process
// must not end without an error before it is written: the caller would get a part of it.
func TestShutdownCountsResponsesThatAreNotWritten(t *testing.T) {
	g := NewWithT(t)
	e, _ := largeResponse(t, strings.Repeat("0123456789abcdef", 900<<10))
	g.Expect(e.gw.Shutdown(context.Background())).To(MatchError(ContainSubstring("1 requests still in flight")))
}

// The caller of a large response reads slowly. It must get all of it, and the shutdown must then
// succeed.
func TestShutdownFinishesWritingResponses(t *testing.T) {
	g := NewWithT(t)
	body := strings.Repeat("0123456789abcdef", 900<<10)
	e, caller := largeResponse(t, body)
	stopped := make(chan error, 1)
	go func() { stopped <- e.gw.Shutdown(context.Background()) }()
	time.Sleep(300 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got) == body).To(BeTrue())
	g.Expect(<-stopped).To(Succeed())
}

// A response that is written, or whose caller is gone, must not delay the shutdown until its deadline.
func TestFinishedResponsesAreNotCounted(t *testing.T) {
	g := NewWithT(t)
	e, caller := largeResponse(t, strings.Repeat("0123456789abcdef", 900<<10))
	g.Expect(e.gw.unwritten.count()).To(Equal(1))
	g.Expect(caller.Close()).To(Succeed())
	g.Eventually(e.gw.unwritten.count, "5s", "5ms").Should(BeZero())

	kept, err := net.Dial("tcp", e.addr)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = kept.Close() })
	_, err = io.WriteString(kept, "GET /nowhere HTTP/1.1\r\nHost: h\r\nKey: k1\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(kept), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(404))
	g.Eventually(e.gw.unwritten.count, "5s", "5ms").Should(BeZero())
}

// A caller sends part of a body and stays. The entry must refuse its request as not run, and must not wait for it until its grace is over.
func TestShutdownRefusesUnfinishedBodies(t *testing.T) {
	g := NewWithT(t)
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, "done") })
	e := startEntryWithTargets(t, "plain", target)
	caller, err := net.Dial("tcp", e.addr)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = caller.Close() })
	_, err = io.WriteString(caller, "POST /once/x HTTP/1.1\r\nHost: h\r\nRid: r1\r\nKey: k1\r\nLeft: 60000\r\nContent-Length: 100000\r\n\r\nx")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(e.gw.unwritten.count, "5s", "5ms").Should(Equal(1))
	stopped := make(chan error, 1)
	go func() { stopped <- e.gw.Shutdown(context.Background()) }()
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	g.Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(string(text)).To(Equal(result.EntryLeaving.Info().Name + "\n"))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(<-stopped).To(Succeed())
	g.Expect(target.received()).To(BeEmpty())
}
