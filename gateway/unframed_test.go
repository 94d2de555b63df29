package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// startUnframedTarget starts a target whose responses end with their connection. If it crashes, it accepts no
// connections after its first response.
func startUnframedTarget(t *testing.T, crashes bool) *testTarget {
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
				defer nc.Close()
				r, err := http.ReadRequest(bufio.NewReader(nc))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nRid: %s\r\nSeal: yes\r\n\r\n%s", r.Header.Get("Rid"), eventText(0))
				if crashes {
					_ = ln.Close()
				}
			}()
		}
	}()
	return &testTarget{id: "i1", addr: ln.Addr().String()}
}

// A target was killed in the middle of a response without a length, and the part that had come passed for the whole.
func TestUnframedResponseOfACrashedTargetIsNotWhole(t *testing.T) {
	for path, service := range map[string]string{"/once/x": "plain", "/idem/x": "plain", "/s/x": "llm", "/cut/x": "llm"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			e := startEntryWithTargets(t, service, startUnframedTarget(t, false))
			for range 3 {
				resp, body, err := e.request("POST", path, "k1", "x")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(http.StatusOK), "whole")
				g.Expect(body).To(Equal(eventText(0)))
			}
			e = startEntryWithTargets(t, service, startUnframedTarget(t, true))
			resp, body, err := e.request("POST", path, "k1", "x")
			if service == "llm" {
				g.Expect(err).To(HaveOccurred(), "the stream breaks off")
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), "body %q", body)
		})
	}
}
