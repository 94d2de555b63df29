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

// scripted is a target that writes what a test says for each request.
type scripted struct {
	addr  string
	conns chan net.Conn
}

func serve(t *testing.T, answer func(nc net.Conn, br *bufio.Reader, n int) bool) *scripted {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	s := &scripted{addr: ln.Addr().String(), conns: make(chan net.Conn, 16)}
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
				for n := 0; answer(nc, br, n); n++ {
				}
			}()
		}
	}()
	return s
}

// request reads one request; false at the end of the connection.
func request(br *bufio.Reader) bool {
	r, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
}

func whole(id, body string) string {
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

// A target answers a first request twice. The second answer lies where that to the
// next request is due; whoever took it would hand one caller another's answer.
func TestASecondAnswerIsNotTakenForTheNext(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(nc net.Conn, br *bufio.Reader, _ int) bool {
		r, err := http.ReadRequest(br)
		if err != nil {
			return false
		}
		if r.Header.Get("Id") == "r1" {
			_, _ = io.WriteString(nc, whole("r1", "one")+whole("r1", "one again"))
			return true
		}
		_, _ = io.WriteString(nc, whole("r2", "two"))
		return true
	})
	p := NewPool(s.addr)
	defer p.Close()
	g.Expect(send(p, "r1")).To(Equal("one"))
	g.Expect(send(p, "r2")).To(Equal("two"))
}

// The same, but the second answer comes only when the next request is on its way:
// it is known by its id and passed over.
func TestALateSecondAnswerIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(nc net.Conn, br *bufio.Reader, n int) bool {
		if !request(br) {
			return false
		}
		if n == 0 {
			_, _ = io.WriteString(nc, whole("r1", "one"))
			return true
		}
		_, _ = io.WriteString(nc, whole("r1", "one again")+whole("r2", "two"))
		return true
	})
	p := NewPool(s.addr)
	defer p.Close()
	g.Expect(send(p, "r1")).To(Equal("one"))
	g.Expect(send(p, "r2")).To(Equal("two"))
	g.Expect(p.DialCount()).To(Equal(int64(1)), "the connection was kept")
}

// A target closes a kept connection. The next request must go out on a new one: on
// the old one it would be lost, and look as if it had been sent.
func TestAKeptConnectionThatWasClosedIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(nc net.Conn, br *bufio.Reader, _ int) bool {
		if !request(br) {
			return false
		}
		_, _ = io.WriteString(nc, whole("r", "x"))
		return true
	})
	p := NewPool(s.addr)
	defer p.Close()
	g.Expect(send(p, "r")).To(Equal("x"))
	g.Expect((<-s.conns).Close()).To(Succeed())
	g.Eventually(func() error {
		_, err := send(p, "r")
		return err
	}).Should(Succeed())
	g.Expect(p.DialCount()).To(BeNumerically(">=", int64(2)))
}

// Answers that break off must end with an error, however they are framed; the
// connection is not used again.
func TestBrokenAnswersEndWithAnError(t *testing.T) {
	cases := map[string]string{
		"length":       "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 10\r\n\r\npart",
		"chunk":        "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n8\r\npart",
		"last chunk":   "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"trailer":      "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
		"size of junk": "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\npart\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(nc net.Conn, br *bufio.Reader, _ int) bool {
				if request(br) {
					_, _ = io.WriteString(nc, text)
				}
				return false
			})
			p := NewPool(s.addr)
			defer p.Close()
			_, err := send(p, "r")
			g.Expect(err).To(HaveOccurred())
		})
	}
}

// A target refuses a long request before it is in, and closes. The refusal says
// that it did not run; it must be read although the rest could not be written.
func TestARefusalBeforeTheBodyIsInIsRead(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(nc net.Conn, br *bufio.Reader, _ int) bool {
		if _, err := http.ReadRequest(br); err != nil {
			return false
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 503 Busy\r\nId: r\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, br) // reads on, as targets do that keep the connection
		return false
	})
	p := NewPool(s.addr)
	defer p.Close()
	r, err := p.Send(context.Background(), &Request{Method: "POST", URI: "/x", Host: "h", EchoHeader: "Id", EchoValue: "r",
		Body: []byte(strings.Repeat("x", 3<<20))})
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Close()
	g.Expect(r.Status).To(Equal(503))
}

// Nothing listens at the address: nothing was sent, and the failure says so. After
// a request has gone out the same failure must not say that.
func TestAFailureTellsWhetherAnythingWasSent(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	addr := ln.Addr().String()
	g.Expect(ln.Close()).To(Succeed())
	var failed *SendError
	_, err = send(NewPool(addr), "r")
	g.Expect(errors.As(err, &failed)).To(BeTrue())
	g.Expect(failed.MayHaveRun).To(BeFalse())

	s := serve(t, func(_ net.Conn, br *bufio.Reader, _ int) bool {
		request(br)
		return false
	})
	_, err = send(NewPool(s.addr), "r")
	g.Expect(errors.As(err, &failed)).To(BeTrue())
	g.Expect(failed.MayHaveRun).To(BeTrue())
}

// The caller has left before anything went out: nothing may be sent any more.
func TestNothingIsSentForACallerThatHasLeft(t *testing.T) {
	g := NewWithT(t)
	got := make(chan struct{}, 4)
	s := serve(t, func(nc net.Conn, br *bufio.Reader, _ int) bool {
		if !request(br) {
			return false
		}
		got <- struct{}{}
		_, _ = io.WriteString(nc, whole("r", "x"))
		return true
	})
	p := NewPool(s.addr)
	defer p.Close()
	g.Expect(send(p, "r")).To(Equal("x"))
	<-got
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := p.Send(ctx, &Request{Method: "GET", URI: "/x", Host: "h", EchoHeader: "Id", EchoValue: "r"})
	var failed *SendError
	g.Expect(errors.As(err, &failed)).To(BeTrue())
	g.Expect(failed.MayHaveRun).To(BeFalse())
	g.Expect(send(p, "r")).To(Equal("x"), "the connection is as good as before")
	<-got
	g.Expect(got).To(BeEmpty())
}

// The time for which a target keeps a connection is taken from its answer.
func TestKeepAliveTime(t *testing.T) {
	g := NewWithT(t)
	g.Expect(keepFor("timeout=5, max=100")).To(Equal(4500 * time.Millisecond))
	g.Expect(keepFor("max=3")).To(Equal(idleDefault))
	g.Expect(keepFor("timeout=0")).To(BeZero())
}
