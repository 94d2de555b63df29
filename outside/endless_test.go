package outside_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/outside"
)

// A target that sends bytes that are no answer, without end, must fail the call at its deadline at the
// latest, in bounded memory, and lose the connection.
func TestBackendEndsAnswersWithoutEnd(t *testing.T) {
	for _, tc := range []struct{ name, head, repeated string }{
		{"garbage", "", "garbage"},
		{"empty lines", "", "\r\n"},
		{"header fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "garbage"},
		{"body in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = ln.Close() }()
			closed := make(chan struct{})
			go func() {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = nc.Close() }()
				if _, err = http.ReadRequest(bufio.NewReader(nc)); err == nil {
					_, err = io.WriteString(nc, tc.head)
				}
				for block := strings.Repeat(tc.repeated, 4<<10); err == nil; {
					_, err = io.WriteString(nc, block)
				}
				close(closed)
			}()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			reply, err := outside.NewHTTPBackend(ln.Addr().String()).Run(ctx, &outside.Call{Method: "GET", Path: "/"})
			if err == nil {
				_, err = io.Copy(io.Discard, reply.Body)
				_ = reply.Body.Close()
			}
			g.Expect(err).To(HaveOccurred())
			g.Eventually(closed, "5s").Should(BeClosed())
		})
	}
}
