package outside_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/outside"
)

// rawHTTPServer sends the text that answer returns for each request. An empty text
// closes the connection. It returns its address and the request count.
func rawHTTPServer(t *testing.T, answer func(requests int64) string) (string, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	var requests atomic.Int64
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				for {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					text := answer(requests.Add(1))
					if _, err := io.WriteString(nc, text); err != nil || text == "" {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), &requests
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func call(b *outside.HTTPBackend, c outside.Call) (string, error) {
	reply, err := b.Run(context.Background(), &c)
	if err != nil {
		return "", err
	}
	defer func() { _ = reply.Body.Close() }()
	text, err := io.ReadAll(reply.Body)
	return string(text), err
}

// The service accepts a request and closes the connection without a response. The client of
// fasthttp would send the request again, on a reused connection even a POST.
func TestRequestIsNeverSentTwice(t *testing.T) {
	g := NewWithT(t)
	addr, requests := rawHTTPServer(t, func(n int64) string {
		if n == 1 {
			return okAnswer
		}
		return ""
	})
	b := outside.NewHTTPBackend(addr)
	defer b.Close()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		before := requests.Load()
		if before == 0 { // make the next call use an idle connection
			_, err := call(b, outside.Call{Method: http.MethodGet, Path: "/"})
			g.Expect(err).NotTo(HaveOccurred())
			before = requests.Load()
		}
		_, err := call(b, outside.Call{Method: method, Path: "/entries", Body: []byte("x")})
		var send *outside.SendError
		g.Expect(errors.As(err, &send)).To(BeTrue())
		g.Expect(send.MayHaveRun).To(BeTrue())
		g.Expect(requests.Load() - before).To(Equal(int64(1)))
	}
}

// The service closes an idle connection, for example in a restart. A request sent on the closed
// connection would count as possibly run, so the backend must open a new one.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{}, 1)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			closed <- struct{}{}
		}
	}
	srv.Start()
	defer srv.Close()
	b := outside.NewHTTPBackend(srv.Listener.Addr().String())
	defer b.Close()
	for range 3 {
		text, err := call(b, outside.Call{Method: http.MethodPost, Path: "/"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(text).To(Equal("ok"))
		srv.CloseClientConnections()
		<-closed
	}
}

// A broken connection or a dead engine truncates a response. The truncated response must
// end with an error and not with io.EOF.
func TestResponseIsCompleteOnlyWithDelimitedEnd(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	done := "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
	cases := []struct {
		name, answer string
		events       bool
		complete     bool
	}{
		{"length", okAnswer, false, true},
		{"truncated length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, false},
		{"neither length nor chunks", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", false, false},
		{"chunks", chunked + "2\r\nok\r\n0\r\n\r\n", false, true},
		{"truncated chunks", chunked + "2\r\nok\r\n", false, false},
		{"events with [DONE]", chunked + done, true, true},
		{"events without [DONE]", chunked + "9\r\ndata: x\n\n\r\n0\r\n\r\n", true, false},
		{"[DONE] before the last event", chunked + "17\r\ndata: [DONE]\n\ndata: x\n\n\r\n0\r\n\r\n", true, false},
		{"[DONE] inside another event", chunked + "16\r\ndata: x data: [DONE]\n\n\r\n0\r\n\r\n", true, false},
		{"engine response without events", okAnswer, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = ln.Close() }()
			go func() {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(nc))
				_, _ = io.WriteString(nc, tc.answer)
				_ = nc.Close()
			}()
			b := outside.NewHTTPBackend(ln.Addr().String())
			b.RequireDone = tc.events
			_, err = call(b, outside.Call{Method: http.MethodPost, Path: "/"})
			g.Expect(err == nil).To(Equal(tc.complete), "%v", err)
		})
	}
}

// A line end in the path would end the request line and start a second request at the
// service, which no entry has authenticated.
func TestPathCannotSmuggleASecondRequest(t *testing.T) {
	g := NewWithT(t)
	addr, requests := rawHTTPServer(t, func(int64) string { return okAnswer })
	b := outside.NewHTTPBackend(addr)
	defer b.Close()
	for _, path := range []string{"/a HTTP/1.1\r\nHost: x\r\n\r\nPOST /smuggled", "/a b", "no-slash", "/\x7f", ""} {
		_, err := call(b, outside.Call{Method: http.MethodPost, Path: path})
		var send *outside.SendError
		g.Expect(errors.As(err, &send)).To(BeTrue())
		g.Expect(send.MayHaveRun).To(BeFalse())
	}
	g.Expect(requests.Load()).To(BeZero())
}

func TestHeadResponseHasNoBody(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
	}))
	defer srv.Close()
	b := outside.NewHTTPBackend(strings.TrimPrefix(srv.URL, "http://"))
	defer b.Close()
	for range 2 { // the second request uses the idle connection
		text, err := call(b, outside.Call{Method: http.MethodHead, Path: "/"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(text).To(BeEmpty())
	}
}
