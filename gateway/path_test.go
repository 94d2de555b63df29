package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// A plain request must reach a target unchanged, but with the team name instead of the key and the id
// of the target run. The complete response must come back with the target's own headers.
func TestPlainRequestAndResponsePassUnchanged(t *testing.T) {
	g := NewWithT(t)
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
		return reply(w, r, 200, sealHeader+"Extra: kept\r\n", "body of the target")
	})
	e := startEntryWithTargets(t, "plain", target)
	resp, body, err := e.request("POST", "/idem/a%20b?x=1", "k1", "payload", "Team", "forged", "Own", "field")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
	g.Expect(body).To(Equal("body of the target"))
	g.Expect(resp.Header.Get("Seal")).To(Equal("yes"))
	g.Expect(resp.Header.Get("Extra")).To(Equal("kept"))
	got := target.received()[0]
	g.Expect(got.RequestURI).To(Equal("/idem/a%20b?x=1"))
	g.Expect(got.Host).To(Equal("h"))
	g.Expect(got.Header["Team"]).To(Equal([]string{"kitchen"}))
	g.Expect(got.Header).NotTo(HaveKey("Key"))
	g.Expect(got.Header.Get("Run-Id")).To(Equal("i1"))
	g.Expect(got.Header.Get("Own")).To(Equal("field"))
	sent, err := io.ReadAll(got.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(sent)).To(Equal("payload"))
}

// Without a configuration no request is known to be invalid: the response must say that the request did
// not run and when to retry. With a configuration, unknown keys and paths must be refused permanently.
func TestRequestsAreRefusedPermanentlyOnlyWithConfiguration(t *testing.T) {
	g := NewWithT(t)
	store := new(memStore)
	store.setDown(true)
	e := startEntry(t, "gw", store)
	resp, _, err := e.request("GET", "/idem/x", "k1", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	store.put(serving.TopicConfig, "config", testConfig())
	store.setDown(false)
	g.Eventually(e.gw.Ready, "5s", "5ms").Should(BeTrue())
	for _, tc := range []struct {
		path, key string
		status    int
	}{{"/idem/x", "wrong", 401}, {"/idem/x", "", 401}, {"/elsewhere/x", "k1", 404}, {"/idem/x", "k1", 503}} {
		resp, _, err := e.request("GET", tc.path, tc.key, "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(tc.status), "%s with %q", tc.path, tc.key)
	}
}

// Requests over the configured limits must be refused before any target receives them.
func TestConfiguredRequestLimitsAreEnforced(t *testing.T) {
	g := NewWithT(t)
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, "x") })
	e := startEntryWithTargets(t, "plain", target)
	next := testConfig()
	next.Version, next.Limits = 8, serving.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 10}
	e.store.put(serving.TopicConfig, "config", next)
	g.Eventually(func() uint64 { return e.gw.state.snapshot().index.Version }, "5s", "5ms").Should(Equal(uint64(8)))
	for _, tc := range []struct {
		body, field string
		status      int
	}{{"short", "x", 200}, {"longer than ten", "x", 413}, {"short", strings.Repeat("x", 1000), 431}} {
		resp, _, err := e.request("POST", "/idem/x", "k1", tc.body, "Own", tc.field)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(tc.status))
	}
	g.Expect(target.received()).To(HaveLen(1))
}

// A target receives a request that must not run twice, and resets the connection. As it may have
// run, no other target may get it, and the response must not claim that it did not run.
func TestRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	g := NewWithT(t)
	drop := func(w net.Conn, _ *http.Request) bool { return resetConn(w) }
	a, b := startTarget(t, "i1", drop), startTarget(t, "i2", drop)
	e := startEntryWithTargets(t, "plain", a, b)
	resp, _, err := e.request("POST", "/once/x", "k1", "entry")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(502))
	g.Expect(len(a.received()) + len(b.received())).To(Equal(1))
}

// One target answers that it did not run the request; a new run has taken the address of another.
// Neither has run it, so even a non-idempotent request must go on to the third target.
func TestRequestThatDidNotRunIsRetriedElsewhere(t *testing.T) {
	g := NewWithT(t)
	full := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
		return reply(w, r, 503, "Not-Run: 1\r\n", "")
	})
	other := startTarget(t, "i2", func(w net.Conn, r *http.Request) bool { return reply(w, r, 421, "Run-Id: i9\r\n", "") })
	good := startTarget(t, "i3", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, "done") })
	e := startEntryWithTargets(t, "plain", full, other, good)
	for range 6 {
		resp, body, err := e.request("POST", "/once/x", "k1", "entry")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(200))
		g.Expect(body).To(Equal("done"))
	}
	g.Expect(len(other.received())).To(BeNumerically("<=", 1), "a replaced target gets no further requests")
}

// Responses without a seal, broken, or for another request must not be delivered. An idempotent
// request must get a response from another target, a non-idempotent one must get 502.
func TestInvalidResponsesAreNotDelivered(t *testing.T) {
	invalid := map[string]func(w net.Conn, r *http.Request) bool{
		"no proof": func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, "", "forged") },
		"broken off": func(w net.Conn, r *http.Request) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nRid: "+r.Header.Get("Rid")+"\r\nSeal: yes\r\nContent-Length: 100\r\n\r\npart")
			return false
		},
		"of another request": func(w net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nRid: other\r\nSeal: yes\r\nContent-Length: 5\r\n\r\nwrong")
			return false
		},
		"no answer in the protocol": func(w net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(w, "\x16\x03\x01 not HTTP\r\n\r\n")
			return false
		},
	}
	for name, serve := range invalid {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			bad := startTarget(t, "i1", serve)
			e := startEntryWithTargets(t, "plain", bad)
			resp, body, err := e.request("POST", "/once/x", "k1", "entry")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(502))
			g.Expect(resp.Header.Get("Seal")).To(BeEmpty())
			g.Expect(body).NotTo(ContainSubstring("wrong"))
			good := startTarget(t, "i2", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, "right") })
			e.store.put(serving.TopicTargets, good.id, serving.Target{Service: "plain", Address: good.addr, DataCentre: "a"})
			g.Eventually(func() int { return len(e.gw.state.snapshot().targets["plain"]) }, "5s", "5ms").Should(Equal(2))
			for range 4 {
				_, body, err := e.request("GET", "/idem/x", "k1", "")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("right"))
			}
		})
	}
}

// A caller disconnects before the first event. The gateway must close the target's connection, so
// that the target frees the slot.
func TestCallerDisconnectClosesTargetConnection(t *testing.T) {
	g := NewWithT(t)
	target := startTarget(t, "i1", func(net.Conn, *http.Request) bool { return true })
	e := startEntryWithTargets(t, "llm", target)
	nc, err := net.Dial("tcp", e.addr)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(nc, "POST /s/x HTTP/1.1\r\nHost: h\r\nRid: r\r\nKey: k1\r\nContent-Length: 1\r\n\r\np")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(target.received, "5s", "5ms").Should(HaveLen(1))
	g.Expect(nc.Close()).To(Succeed())
	g.Eventually(target.closed, "5s").Should(Receive())
	g.Eventually(e.gw.inFlight.Load, "5s", "5ms").Should(BeZero())
}

// One of two targets announces that it is leaving. From then on all requests must go to the
// other.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	g := NewWithT(t)
	ok := func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, "x") }
	a, b := startTarget(t, "i1", ok), startTarget(t, "i2", ok)
	e := startEntryWithTargets(t, "plain", a, b)
	e.store.put(serving.TopicTargets, a.id, serving.Target{Service: "plain", Address: a.addr, DataCentre: "a", Leaving: true})
	g.Eventually(func() bool {
		for _, target := range e.gw.state.snapshot().targets["plain"] {
			if target.ID == a.id {
				return target.Leaving
			}
		}
		return false
	}, "5s", "5ms").Should(BeTrue())
	before := len(a.received())
	for range 10 {
		_, _, err := e.request("GET", "/idem/x", "k1", "")
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(a.received()).To(HaveLen(before))
}

// SIGTERM arrives while a stream runs. The entry must leave the directory at once and finish the
// stream before the process ends.
func TestShutdownFinishesRunningStreams(t *testing.T) {
	g := NewWithT(t)
	more := make(chan struct{})
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
		writeStreamHead(w, r)
		writeChunk(w, eventText(0))
		<-more
		writeChunk(w, eventText(1))
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	})
	e := startEntryWithTargets(t, "llm", target)
	g.Expect(e.gw.Entries("a").Addresses).To(Equal([]string{e.addr}))
	type outcome struct {
		body string
		err  error
	}
	got := make(chan outcome, 1)
	go func() {
		_, body, err := e.request("POST", "/s/x", "k1", "prompt")
		got <- outcome{body, err}
	}()
	g.Eventually(target.received, "5s", "5ms").Should(HaveLen(1))
	stopped := make(chan error, 1)
	go func() { stopped <- e.gw.Shutdown(context.Background()) }()
	g.Eventually(e.gw.Ready, "5s", "5ms").Should(BeFalse())
	g.Expect(e.gw.Entries("a").Addresses).To(BeEmpty())
	close(more)
	answer := <-got
	g.Expect(answer.err).NotTo(HaveOccurred())
	g.Expect(answer.body).To(Equal(eventText(0) + eventText(1)))
	g.Expect(<-stopped).To(Succeed())
}

// A response without a length ends when its connection is closed. A reset must not count as the
// end, as the caller would take a partial response for a complete one.
func TestResetDoesNotEndResponseWithoutLength(t *testing.T) {
	g := NewWithT(t)
	head := "HTTP/1.1 200 OK\r\nRid: %s\r\nSeal: yes\r\nConnection: close\r\n\r\n"
	whole := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(w, strings.Replace(head, "%s", r.Header.Get("Rid"), 1)+"to the end")
		return false
	})
	e := startEntryWithTargets(t, "plain", whole)
	_, body, err := e.request("GET", "/idem/x", "k1", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("to the end"))

	part := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(w, strings.Replace(head, "%s", r.Header.Get("Rid"), 1)+"to the")
		time.Sleep(20 * time.Millisecond) // lets the partial body arrive before the reset
		return resetConn(w)
	})
	e = startEntryWithTargets(t, "plain", part)
	resp, _, err := e.request("POST", "/once/x", "k1", "entry")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(502))
}

// The failure of the only target of a service was replaced by a 502 of the entry, as the target itself counted as one that can still be tried.
func TestFailureOfTheOnlyTargetIsDelivered(t *testing.T) {
	g := NewWithT(t)
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool { return reply(w, r, 500, sealHeader, "failed") })
	e := startEntryWithTargets(t, "plain", target)
	resp, body, err := e.request("POST", "/idem/x", "k1", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(500))
	g.Expect(resp.Header.Get("Seal")).NotTo(BeEmpty())
	g.Expect(body).To(Equal("failed"))
	g.Expect(target.received()).To(HaveLen(1))
}
