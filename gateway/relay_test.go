package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// rawRequest is a request as its bytes arrived at a target.
type rawRequest struct {
	line   string
	fields []string
	body   []byte
}

// rawTarget records requests byte for byte, and answers with answer after the placeholder ID has been replaced.
type rawTarget struct {
	mu       sync.Mutex
	requests []rawRequest
	answer   string
}

func (target *rawTarget) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		r, err := readRawRequest(br)
		if err != nil {
			return
		}
		target.mu.Lock()
		target.requests = append(target.requests, r)
		answer := strings.ReplaceAll(target.answer, "ID", "r1")
		target.mu.Unlock()
		if _, err := io.WriteString(nc, answer); err != nil {
			return
		}
		if !strings.Contains(answer, "Content-Length") && !strings.Contains(answer, "chunked") {
			return
		}
	}
}

func readRawRequest(br *bufio.Reader) (r rawRequest, err error) {
	length := 0
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return r, err
		}
		line = strings.TrimSuffix(line, "\r\n")
		switch {
		case r.line == "":
			r.line = line
		case line == "":
			r.body = make([]byte, length)
			_, err = io.ReadFull(br, r.body)
			return r, err
		default:
			r.fields = append(r.fields, line)
			if n, ok := strings.CutPrefix(line, "Content-Length: "); ok {
				if _, err := fmt.Sscan(n, &length); err != nil {
					return r, err
				}
			}
		}
	}
}

// startRawTarget starts a target and an entry that sends to it.
func startRawTarget(t *testing.T, answer string) (*rawTarget, *testEntry) {
	t.Helper()
	ln := listen(t)
	t.Cleanup(func() { _ = ln.Close() })
	target := &rawTarget{answer: answer}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go target.serve(nc)
		}
	}()
	return target, startEntryWithTargets(t, "plain", &testTarget{id: "t1", addr: ln.Addr().String()})
}

// exchangeRaw sends text on a new connection and returns the response.
func exchangeRaw(g *WithT, e *testEntry, method, text string) (*http.Response, []byte) {
	nc, err := net.Dial("tcp", e.addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = nc.Close() }()
	g.Expect(nc.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	go func() { _, _ = io.WriteString(nc, text) }()
	br := bufio.NewReader(nc)
	req := &http.Request{Method: method}
	resp, err := http.ReadResponse(br, req)
	if err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(br, req)
	}
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return resp, body
}

const okAnswer = "HTTP/1.1 200 OK\r\nRid: ID\r\nSeal: yes\r\nContent-Length: 2\r\n\r\nok"

// chunked returns body in chunks of n bytes.
func chunked(body string, n int) string {
	var b strings.Builder
	for part := range slices.Chunk([]byte(body), n) {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	}
	b.WriteString("0\r\n")
	return b.String()
}

// The HTTP library changed requests that it relays: forms were encoded anew, cookies too, equal fields were merged.
func TestTargetsReceiveRequestsAsCallersSentThem(t *testing.T) {
	form := "--b\r\nContent-Disposition: form-data; name=\"z\"\r\nContent-Type: application/json\r\n\r\n{}\r\n" +
		"--b\r\nContent-Disposition: form-data; name=\"a\"; filename=\"f\"\r\n\r\n\xff\x00\r\n--b--\r\nepilogue"
	long := strings.Repeat("0123456789abcdef", 1<<16)
	sized := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	cases := []struct {
		name, method, path string
		fields             string // forwarded as they are
		hop                string // fields of the connection, framing and body
		body               string
	}{
		{"form", "POST", "/idem/f", "Content-Type: multipart/form-data; boundary=b\r\n", sized(form), form},
		{"form in chunks", "POST", "/idem/f", "Content-Type: multipart/form-data; boundary=b\r\n", "Transfer-Encoding: chunked\r\n\r\n" + chunked(form, 7) + "\r\n", form},
		{"form without parts", "POST", "/idem/f", "Content-Type: multipart/form-data; boundary=b\r\n", sized("no parts"), "no parts"},
		{"form without boundary", "POST", "/idem/f", "Content-Type: multipart/form-data\r\n", sized(form), form},
		{"form with a spelling of its own", "PUT", "/idem/f", "content-TYPE:  Multipart/Form-Data; boundary=b\r\n", sized(form), form},
		{"urlencoded form", "POST", "/idem/f", "Content-Type: application/x-www-form-urlencoded\r\n", sized("b=2&a=%31&b=+"), "b=2&a=%31&b=+"},
		{"compressed body", "POST", "/idem/f", "Content-Encoding: gzip\r\nContent-Type: text/plain\r\n", sized("\x1f\x8b\x08 not really"), "\x1f\x8b\x08 not really"},
		{"body without a type", "POST", "/idem/f", "", sized("x"), "x"},
		{"empty type", "POST", "/idem/f", "Content-Type: \r\n", sized("x"), "x"},
		{"length 0", "POST", "/idem/f", "", sized(""), ""},
		{"no chunks", "POST", "/idem/f", "", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ""},
		{"long body", "POST", "/idem/f", "", sized(long), long},
		{"long body in chunks", "POST", "/idem/f", "", "Transfer-Encoding: chunked\r\n\r\n" + chunked(long, 5000) + "\r\n", long},
		{"trailer", "POST", "/idem/f", "", "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked("abc", 2) + "X-Sum: 1\r\n\r\n", "abc"},
		{"expectation", "POST", "/idem/f", "", "Expect: 100-continue\r\n" + sized("abc"), "abc"},
		{"no body", "GET", "/idem/f", "Accept: */*\r\n", "\r\n", ""},
		{"body of a GET", "GET", "/idem/f", "", sized("abc"), "abc"},
		{"body of a DELETE", "DELETE", "/idem/f", "", sized("abc"), "abc"},
		{"method of its own", "NOTIFY", "/idem/f", "", sized("abc"), "abc"},
		{"path", "GET", "/idem//a/./b/../c%2Fd%zz+;p=1?x=%20&&y=a/../b", "", "\r\n", ""},
		{"cookies", "GET", "/idem/f", "Cookie: a=1;b=\"2\";  c\r\nCookie: a=3\r\n", "\r\n", ""},
		{"fields of one name", "GET", "/idem/f", "X-A: 1\r\nAccept: a\r\nX-A: 2\r\nAccept: b\r\nUser-Agent: u\r\nUser-Agent: v\r\n", "\r\n", ""},
		{"spelling of names", "GET", "/idem/f", "x-a_B: 1\r\nETAG: 2\r\nuser-agent: u\r\ncookie: c=1\r\n", "\r\n", ""},
		{"empty field", "GET", "/idem/f", "X-Empty:\r\nX-A: b\r\n", "\r\n", ""},
		{"fields of the connection", "GET", "/idem/f", "X-A: b\r\n", "Connection: keep-alive, X-Private\r\nX-PRIVATE: 1\r\nKeep-Alive: 3\r\nTE: gzip\r\n\r\n", ""},
		{"fields that the entry sets", "GET", "/idem/f", "X-A: b\r\n", "tEAM: other\r\nPRIO: 0\r\nrun-id: t2\r\n\r\n", ""},
	}
	target, e := startRawTarget(t, okAnswer)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			target.requests = nil
			text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nRid: r1\r\nkey: k1\r\n%s%s", tc.method, tc.path, tc.fields, tc.hop)
			resp, _ := exchangeRaw(g, e, tc.method, text)
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			g.Expect(target.requests).To(HaveLen(1))
			got := target.requests[0]
			g.Expect(got.line).To(Equal(tc.method + " " + tc.path + " HTTP/1.1"))
			g.Expect(bytes.Equal(got.body, []byte(tc.body))).To(BeTrue(), "%.200q", got.body)
			var want []string
			for field := range strings.Lines("Rid: r1\r\n" + tc.fields) {
				name, value, _ := strings.Cut(field, ":")
				want = append(want, name+": "+strings.TrimSpace(value))
			}
			var forwarded, set []string
			for _, f := range got.fields {
				name, _, _ := strings.Cut(f, ":")
				if slices.Contains([]string{"Host", "Team", "Prio", "Left", "Run-Id", "Content-Length"}, name) {
					set = append(set, f)
				} else {
					forwarded = append(forwarded, f)
				}
			}
			g.Expect(forwarded).To(Equal(want))
			g.Expect(set).To(ContainElements("Host: h", "Team: kitchen", "Run-Id: t1"))
			g.Expect(len(set)).To(BeNumerically("<=", 6), "%v", set)
		})
	}
}

// The HTTP library changed responses that it relays: the last of several equal fields was all that callers got.
func TestCallersReceiveResponsesAsTargetsSentThem(t *testing.T) {
	sealed := "Rid: ID\r\nSeal: yes\r\n"
	cases := []struct {
		name, method, status string
		fields               string // relayed
		hop                  string // fields of the connection, framing and body
		body                 string
		length               int64
	}{
		{"no type", "GET", "200 Fine", "", "Content-Length: 2\r\n\r\nok", "ok", 2},
		{"type", "GET", "200 OK", "Content-Type: text/x; a=b\r\n", "Content-Length: 2\r\n\r\nok", "ok", 2},
		{"fields of one name", "GET", "200 OK", "Vary: a\r\nVary: b\r\nWarning: 1\r\nWarning: 2\r\n", "Content-Length: 0\r\n\r\n", "", 0},
		{"cookies", "GET", "200 OK", "Set-Cookie: a=1; Path=/x; HttpOnly\r\nSet-Cookie: a=2;path=/y\r\n", "Content-Length: 0\r\n\r\n", "", 0},
		{"compressed body", "GET", "200 OK", "Content-Encoding: gzip\r\n", "Content-Length: 3\r\n\r\n\x1f\x8b\x08", "\x1f\x8b\x08", 3},
		{"server", "GET", "200 OK", "Server: s/1\r\n", "Content-Length: 0\r\n\r\n", "", 0},
		{"chunks and a trailer", "GET", "200 OK", "", "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked("abcdef", 4) + "X-Sum: 1\r\n\r\n", "abcdef", 6},
		{"no length", "GET", "200 OK", "", "\r\nabc", "abc", 3},
		{"failure", "POST", "500 Broken", "X-A: b\r\n", "Content-Length: 3\r\n\r\nabc", "abc", 3},
		{"no content", "GET", "204 No Content", "X-A: b\r\n", "Content-Length: 0\r\n\r\n", "", 0},
		{"not modified", "GET", "304 Not Modified", "Etag: \"a\"\r\n", "Content-Length: 0\r\n\r\n", "", 0},
		{"head", "HEAD", "200 OK", "X-A: b\r\n", "Content-Length: 17\r\n\r\n", "", 17},
		{"fields of the connection", "GET", "200 OK", "X-A: b\r\n", "Connection: keep-alive, X-Private\r\nX-Private: 1\r\nKeep-Alive: timeout=3\r\nContent-Length: 0\r\n\r\n", "", 0},
	}
	target, e := startRawTarget(t, "")
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			target.mu.Lock()
			target.answer = "HTTP/1.1 " + tc.status + "\r\n" + sealed + tc.fields + tc.hop
			target.mu.Unlock()
			route := map[bool]string{true: "/once/r", false: "/idem/r"}[strings.HasPrefix(tc.status, "5")]
			resp, body := exchangeRaw(g, e, tc.method, tc.method+" "+route+" HTTP/1.1\r\nHost: h\r\nRid: r1\r\nKey: k1\r\n\r\n")
			g.Expect(resp.Status).To(Equal(tc.status))
			g.Expect(string(body)).To(Equal(tc.body))
			g.Expect(resp.ContentLength).To(Equal(tc.length))
			want := http.Header{"Rid": {"r1"}, "Seal": {"yes"}}
			for field := range strings.Lines(tc.fields) {
				name, value, _ := strings.Cut(field, ":")
				name = textproto.CanonicalMIMEHeaderKey(name)
				want[name] = append(want[name], strings.TrimSpace(value))
			}
			resp.Header.Del("Content-Length")
			g.Expect(resp.Header).To(Equal(want))
		})
	}
}
