package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Each input hides a second, unauthenticated request or leaves its own length ambiguous. The service
// must run the request before the hidden part or nothing, never the hidden request.
func TestSmuggledRequestsNeverRun(t *testing.T) {
	f, addr, _ := startSmall(t)
	hidden := "POST /v1/services/logbook/hidden HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nh"
	post := "POST /v1/services/logbook/open HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n"
	cases := []struct{ name, input string }{
		{"length and chunks", post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden},
		{"two lengths", post + fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n", len(hidden)) + hidden},
		{"folded header", post + "X: y\r\n Content-Length: 5\r\nContent-Length: 0\r\n\r\n" + hidden},
		{"space before the colon", post + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(hidden)) + hidden},
		{"negative length", post + "Content-Length: -1\r\n\r\n" + hidden},
		{"length with a sign", post + "Content-Length: +0\r\n\r\n" + hidden},
		{"unknown transfer coding", post + "Transfer-Encoding: xchunked\r\n\r\n" + hidden},
		{"chunk size without end", post + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n" + hidden},
		{"line break in the path", "POST /v1/services/logbook/a%0d%0aX:%20y HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 0\r\n\r\n"},
		{"line break in a header", post + "Idempotency-Key: k\rX: y\r\nContent-Length: 0\r\n\r\n"},
		{"zero byte in a header", post + "Idempotency-Key: k\x00\r\nContent-Length: 0\r\n\r\n"},
		{"no request at all", strings.Repeat("\x16\x03\x01", 100) + "\r\n\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			nc, err := net.Dial("tcp", addr)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = nc.Close() }()
			_, err = io.WriteString(nc, tc.input)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(nc.(*net.TCPConn).CloseWrite()).To(Succeed())
			answer, _ := io.ReadAll(nc) // an error is accepted, as the entry may close the connection
			g.Expect(strings.Count(string(answer), "HTTP/1.1 200")).To(BeNumerically("<=", 1))
		})
	}
	g := NewWithT(t)
	for _, r := range f.Plains["logbook-01"].Runs() {
		g.Expect(r.Body).NotTo(ContainSubstring("hidden"))
		g.Expect(r.Key).NotTo(ContainSubstring("\r"))
	}
	g.Expect(metricsText(f)).To(ContainSubstring(`reason="bad_request"`))
	// The entry must still serve requests.
	resp, err := http.DefaultClient.Do(newRequest(t, "POST", addr, "/v1/services/logbook/open", "after"))
	g.Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// A caller sends single bytes slowly, in its headers or body, to hold a connection open. The
// arrival timeout counts from the first byte, so the connection must close and nothing must run.
func TestSlowRequestIsClosed(t *testing.T) {
	f, addr, _ := startArrival(t, 300*time.Millisecond)
	head := "POST /v1/services/logbook/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n"
	for _, tc := range []struct{ name, atOnce, slowly string }{
		{"headers", "POST ", strings.Repeat("x", 10000)},
		{"body", head + "Content-Length: 10000\r\n\r\n", strings.Repeat("x", 9999)},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n2710\r\n", strings.Repeat("x", 9999)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			nc, err := net.Dial("tcp", addr)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = nc.Close() }()
			_, err = io.WriteString(nc, tc.atOnce)
			g.Expect(err).NotTo(HaveOccurred())
			sent := 0
			for ; sent < len(tc.slowly); sent++ {
				if _, err := nc.Write([]byte{tc.slowly[sent]}); err != nil {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			g.Expect(sent).To(BeNumerically("<", len(tc.slowly)))
			g.Expect(f.Plains["logbook-01"].Runs()).To(BeEmpty())
		})
	}
}
