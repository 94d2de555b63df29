package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// scriptedTarget is a target whose responses are written by a test.
type scriptedTarget struct {
	addr  string
	conns chan net.Conn
}

func serve(t *testing.T, respond func(nc net.Conn, br *bufio.Reader, n int) bool) *scriptedTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	s := &scriptedTarget{addr: ln.Addr().String(), conns: make(chan net.Conn, 16)}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns <- nc
			go func() {
				defer nc.Close()
				br := bufio.NewReader(nc)
				for n := 0; respond(nc, br, n); n++ {
				}
			}()
		}
	}()
	return s
}

// readRequest reads one request and returns false at the end of the connection.
func readRequest(br *bufio.Reader) bool {
	r, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(p *Pool, id string) (string, error) {
	r, err := p.Send(context.Background(), &Request{Method: "GET", URI: "/x", Host: "h", EchoHeader: "Id", EchoValue: id,
		Fields: []Field{{Name: "Id", Value: id}}})
	if err != nil {
		return "", err
	}
	defer r.Close()
	body, err := io.ReadAll(r)
	return string(body), err
}

// A target sends two responses to the first request. The second one arrives where the response
// to the next request is expected and must not be given to its caller.
func TestSecondResponseIsNotTakenForNextRequest(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(nc net.Conn, br *bufio.Reader, _ int) bool {
		r, err := http.ReadRequest(br)
		if err != nil {
			return false
		}
		if r.Header.Get("Id") == "r1" {
			_, _ = io.WriteString(nc, okResponse("r1", "one")+okResponse("r1", "one again"))
			return true
		}
		_, _ = io.WriteString(nc, okResponse("r2", "two"))
		return true
	})
	p := NewPool(s.addr, new(Limit))
	defer p.Close()
	g.Expect(send(p, "r1")).To(Equal("one"))
	g.Expect(send(p, "r2")).To(Equal("two"))
}

// A 204 has no body; one that was announced and came late would have been read as the response to the next request.
func TestConnectionOfAnAnnouncedEmptyBodyIsNotReused(t *testing.T) {
	for field, reused := range map[string]bool{"Content-Length: 4": false, "Transfer-Encoding: chunked": false, "Content-Length: 0": true, "A: b": true} {
		g := NewWithT(t)
		s := serve(t, func(nc net.Conn, br *bufio.Reader, _ int) bool {
			r, err := http.ReadRequest(br)
			if err != nil {
				return false
			}
			_, err = fmt.Fprintf(nc, "HTTP/1.1 204 No Content\r\nId: %s\r\n%s\r\n\r\n", r.Header.Get("Id"), field)
			return err == nil
		})
		p := NewPool(s.addr, new(Limit))
		g.Expect(send(p, "r1")).To(BeEmpty())
		g.Expect(p.IdleCount() == 1).To(Equal(reused), field)
		p.Close()
	}
}

// The second response to the first request arrives only while the next request is in flight.
// It must be recognised by its request ID and skipped.
func TestLateSecondResponseIsSkipped(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(nc net.Conn, br *bufio.Reader, n int) bool {
		if !readRequest(br) {
			return false
		}
		if n == 0 {
			_, _ = io.WriteString(nc, okResponse("r1", "one"))
			return true
		}
		_, _ = io.WriteString(nc, okResponse("r1", "one again")+okResponse("r2", "two"))
		return true
	})
	p := NewPool(s.addr, new(Limit))
	defer p.Close()
	g.Expect(send(p, "r1")).To(Equal("one"))
	g.Expect(send(p, "r2")).To(Equal("two"))
	g.Expect(p.DialCount()).To(Equal(int64(1)), "the connection was reused")
}

// A target closes an idle connection. The next request must use a new connection: on the closed one
// it would be lost and would count as sent.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(nc net.Conn, br *bufio.Reader, _ int) bool {
		if !readRequest(br) {
			return false
		}
		_, _ = io.WriteString(nc, okResponse("r", "x"))
		return true
	})
	p := NewPool(s.addr, new(Limit))
	defer p.Close()
	g.Expect(send(p, "r")).To(Equal("x"))
	g.Expect((<-s.conns).Close()).To(Succeed())
	g.Eventually(func() error {
		_, err := send(p, "r")
		return err
	}).Should(Succeed())
	g.Expect(p.DialCount()).To(BeNumerically(">=", int64(2)))
}

// The target closes the connection in the middle of a response, or sends an invalid chunk. The
// response must end with an error, however its body is framed.
func TestBrokenResponsesReturnError(t *testing.T) {
	cases := map[string]string{
		"length":             "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 10\r\n\r\npart",
		"chunk":              "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n8\r\npart",
		"last chunk":         "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"trailer":            "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
		"invalid chunk size": "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\npart\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(nc net.Conn, br *bufio.Reader, _ int) bool {
				if readRequest(br) {
					_, _ = io.WriteString(nc, text)
				}
				return false
			})
			p := NewPool(s.addr, new(Limit))
			defer p.Close()
			_, err := send(p, "r")
			g.Expect(err).To(HaveOccurred())
		})
	}
}

// A target rejects a long request before the whole body has arrived, and closes the
// connection. The rejection must be read although the rest could not be written.
func TestRejectionBeforeBodyIsSentIsRead(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(nc net.Conn, br *bufio.Reader, _ int) bool {
		if _, err := http.ReadRequest(br); err != nil {
			return false
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 503 Busy\r\nId: r\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, br) // reads the rest of the body, as targets with keep-alive do
		return false
	})
	p := NewPool(s.addr, new(Limit))
	defer p.Close()
	r, err := p.Send(context.Background(), &Request{Method: "POST", URI: "/x", Host: "h", EchoHeader: "Id", EchoValue: "r",
		Body: [][]byte{[]byte(strings.Repeat("x", 3<<20))}})
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Close()
	g.Expect(r.Status).To(Equal(503))
}

// After a failed connection attempt the error must state that the request did not run. If the
// connection is closed after the request was sent, it must state that the request may have run.
func TestSendErrorReportsWhetherRequestMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	addr := ln.Addr().String()
	g.Expect(ln.Close()).To(Succeed())
	var failed *SendError
	_, err = send(NewPool(addr, new(Limit)), "r")
	g.Expect(errors.As(err, &failed)).To(BeTrue())
	g.Expect(failed.MayHaveRun).To(BeFalse())

	s := serve(t, func(_ net.Conn, br *bufio.Reader, _ int) bool {
		readRequest(br)
		return false
	})
	_, err = send(NewPool(s.addr, new(Limit)), "r")
	g.Expect(errors.As(err, &failed)).To(BeTrue())
	g.Expect(failed.MayHaveRun).To(BeTrue())
}

// A caller disconnects before anything of its request was sent. The request must not be sent any
// more.
func TestNothingIsSentAfterCallerDisconnects(t *testing.T) {
	g := NewWithT(t)
	received := make(chan struct{}, 4)
	s := serve(t, func(nc net.Conn, br *bufio.Reader, _ int) bool {
		if !readRequest(br) {
			return false
		}
		received <- struct{}{}
		_, _ = io.WriteString(nc, okResponse("r", "x"))
		return true
	})
	p := NewPool(s.addr, new(Limit))
	defer p.Close()
	g.Expect(send(p, "r")).To(Equal("x"))
	<-received
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := p.Send(ctx, &Request{Method: "GET", URI: "/x", Host: "h", EchoHeader: "Id", EchoValue: "r"})
	var failed *SendError
	g.Expect(errors.As(err, &failed)).To(BeTrue())
	g.Expect(failed.MayHaveRun).To(BeFalse())
	g.Expect(send(p, "r")).To(Equal("x"), "the connection is still usable")
	<-received
	g.Expect(received).To(BeEmpty())
}

// The idle time of a connection follows the target's Keep-Alive header.
func TestKeepAliveTimeFollowsHeader(t *testing.T) {
	g := NewWithT(t)
	g.Expect(keepAliveTime("timeout=5, max=100")).To(Equal(4500 * time.Millisecond))
	g.Expect(keepAliveTime("max=3")).To(Equal(defaultIdleTime))
	g.Expect(keepAliveTime("timeout=0")).To(BeZero())
}

// A target that paused for 2.5 s while it read a long body had its connection reset, and the request failed.
func TestTargetMayReadALongBodySlowly(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	body := strings.Repeat("0123456789abcdef", 256<<10)
	target := serve(t, func(nc net.Conn, _ *bufio.Reader, _ int) bool {
		_ = nc.(*net.TCPConn).SetReadBuffer(64 << 10) // else the kernel takes the whole body
		time.Sleep(4 * time.Second)
		br := bufio.NewReader(nc)
		r, err := http.ReadRequest(br)
		if err != nil {
			return false
		}
		read, err := io.Copy(io.Discard, r.Body)
		if err != nil || read != int64(len(body)) {
			return false
		}
		_, err = io.WriteString(nc, okResponse("1", "ok"))
		return err == nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := NewPool(target.addr, new(Limit)).Send(ctx, &Request{Method: "POST", URI: "/", Host: "h", Body: [][]byte{[]byte(body)}, EchoHeader: "Id", EchoValue: "1"})
	g.Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(Equal("ok"))
}
