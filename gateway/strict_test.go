package gateway

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

// oddAnswers are answers of targets that are none by the grammar of HTTP. RID stands for the id of the request.
var oddAnswers = map[string]string{
	"status 000":             "HTTP/1.1 000 X\r\nRid: RID\r\nSeal: yes\r\nContent-Length: 12\r\n\r\nid: 0\ndata:\n",
	"status 999":             "HTTP/1.1 999 X\r\nRid: RID\r\nSeal: yes\r\nContent-Length: 1\r\n\r\nx",
	"HTTP/2.0":               "HTTP/2.0 200 OK\r\nRid: RID\r\nSeal: yes\r\nContent-Length: 1\r\n\r\nx",
	"two blanks":             "HTTP/1.1  200 OK\r\nRid: RID\r\nSeal: yes\r\nContent-Length: 1\r\n\r\nx",
	"NUL in the reason":      "HTTP/1.1 200 O\x00K\r\nRid: RID\r\nSeal: yes\r\nContent-Length: 1\r\n\r\nx",
	"blank in a name":        "HTTP/1.1 200 OK\r\nRid: RID\r\nSeal: yes\r\nContent Length: 15\r\n\r\n",
	"blank before a colon":   "HTTP/1.1 200 OK\r\nRid: RID\r\nSeal: yes\r\nContent-Length : 1\r\n\r\nx",
	"control byte in a name": "HTTP/1.1 200 OK\r\nRid: RID\r\nSeal: yes\r\nA\x01: b\r\nContent-Length: 1\r\n\r\nx",
	"folded line":            "HTTP/1.1 200 OK\r\nRid: RID\r\nSeal: yes\r\nContent-Type: text/event-stream\r\n x: y\r\nContent-Length: 1\r\n\r\nx",
	"odd trailer":            "HTTP/1.1 200 OK\r\nRid: RID\r\nSeal: yes\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA b: c\r\n\r\n",
	"odd head after another": "HTTP/1.1 200 OK\r\nRid: other\r\nSeal: yes\r\nContent-Length: 0\r\n\r\nHTTP/1.1 000 X\r\nRid: RID\r\nSeal: yes\r\nContent-Length: 1\r\n\r\nx",
}

// An answer that is none by the grammar was delivered, in part with lines or a body that were not the target's.
func TestOddAnswersAreNotDelivered(t *testing.T) {
	for name, answer := range oddAnswers {
		for path, service := range map[string]string{"/once/x": "plain", "/idem/x": "plain", "/s/x": "llm", "/cut/x": "llm"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				odd := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
					_, err := io.WriteString(w, strings.ReplaceAll(answer, "RID", r.Header.Get("Rid")))
					return err == nil
				})
				e := startEntryWithTargets(t, service, odd)
				resp, body, err := e.request("POST", path, "k1", "x")
				g.Expect(odd.received()).NotTo(BeEmpty())
				if err == nil {
					g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), "body %q", body)
				}
				g.Expect(err == nil || name == "odd trailer").To(BeTrue(), "only a stream that has begun may break off")
				g.Eventually(odd.closed, "5s").Should(Receive(), "the connection is not used again")
			})
		}
	}
}

// startResettingTarget starts a target that answers before it has read the request's body, and resets the
// connection while the body is being written.
func startResettingTarget(t *testing.T, head, part string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 4<<10)
				n, err := nc.Read(buf)
				if err != nil {
					return
				}
				rid := ""
				for line := range strings.Lines(string(buf[:n])) {
					if value, ok := strings.CutPrefix(line, "Rid: "); ok {
						rid = strings.TrimSpace(value)
					}
				}
				fmt.Fprintf(nc, "%s\r\nRid: %s\r\nSeal: yes\r\n\r\n%s", head, rid, part)
				time.Sleep(50 * time.Millisecond) // the caller of this target is blocked in the write of its body
				_ = resetConn(nc)
				_ = nc.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

// A target reset the connection while the upload was being written; the write took the error, and the part that had come passed for a whole answer.
func TestAnswerCutDuringTheUploadIsNotWhole(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 OK\r\nConnection: close", "HTTP/1.0 200 OK\r\nConnection: keep-alive"} {
		for path, service := range map[string]string{"/once/x": "plain", "/idem/x": "plain", "/s/x": "llm", "/cut/x": "llm"} {
			t.Run(fmt.Sprintf("%q %s", head, path), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				target := &testTarget{id: "i1", addr: startResettingTarget(t, head, eventText(0)+eventText(1))}
				e := startEntryWithTargets(t, service, target)
				resp, body, err := e.request("POST", path, "k1", strings.Repeat("0123456789abcdef", 256<<10))
				if err == nil {
					g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), "body %q", body)
					return
				}
				g.Expect(service).To(Equal("llm"), "a stream breaks off, others get a status")
			})
		}
	}
}
