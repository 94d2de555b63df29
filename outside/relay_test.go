package outside_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/outside"
)

// The HTTP library adds a content type to messages that have none.
func TestBackendAddsNoContentType(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	received := make(chan http.Header, 1)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		received <- req.Header
		_, _ = io.WriteString(nc, okAnswer) // the call fails if this does
	}()
	reply, err := outside.NewHTTPBackend(ln.Addr().String()).Run(context.Background(), &outside.Call{Method: "POST", Path: "/", Body: []byte("x")})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = reply.Body.Close() }()
	g.Expect(<-received).NotTo(HaveKey("Content-Type"))
	g.Expect(outside.Header(reply.Headers, "Content-Type")).To(BeEmpty())
}
