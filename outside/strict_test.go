package outside_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/outside"
)

// A backend sends a head that is none by the grammar; the call must fail as one that may have run.
func TestBackendRefusesOddAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000":             "HTTP/1.1 000 X\r\nContent-Length: 1\r\n\r\nx",
		"status 999":             "HTTP/1.1 999 X\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/2.0":               "HTTP/2.0 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"two blanks":             "HTTP/1.1  200 OK\r\nContent-Length: 1\r\n\r\nx",
		"NUL in the reason":      "HTTP/1.1 200 O\x00K\r\nContent-Length: 1\r\n\r\nx",
		"blank in a name":        "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 1\r\n\r\nx",
		"blank before a colon":   "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nx",
		"control byte in a name": "HTTP/1.1 200 OK\r\nA\x01: b\r\nContent-Length: 1\r\n\r\nx",
		"after an interim one":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 1\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = ln.Close() }()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = nc.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
					_, _ = io.WriteString(nc, answer)
				}
				_, _ = nc.Read(make([]byte, 1))
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err = outside.NewHTTPBackend(ln.Addr().String()).Run(ctx, &outside.Call{Method: "GET", Path: "/"})
			var sendErr *outside.SendError
			g.Expect(errors.As(err, &sendErr)).To(BeTrue())
			g.Expect(sendErr.MayHaveRun).To(BeTrue())
			g.Eventually(closed, "5s").Should(BeClosed())
		})
	}
}
