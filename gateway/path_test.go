package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// A plain request reaches a target as the caller sent it, with the team's name in
// place of its key and the one run of the target that may take it; the answer
// comes back whole, with the target's own fields.
func TestAnAnswerPassesUnchanged(t *testing.T) {
	g := NewWithT(t)
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
		return reply(w, r, 200, sealHeader+"Extra: kept\r\n", "body of the target")
	})
	f := startEntryWithTargets(t, "plain", target)
	resp, body, err := f.request("POST", "/idem/a%20b?x=1", "k1", "payload", "Team", "forged", "Own", "field")
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

// Without a configuration nothing is known to be forbidden: the answer says that
// the request did not run and when to come back. With one, unknown keys and paths
// are refused for good.
func TestRefusals(t *testing.T) {
	g := NewWithT(t)
	store := new(memStore)
	store.setDown(true)
	f := startEntry(t, "gw", store)
	resp, _, err := f.request("GET", "/idem/x", "k1", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	store.put(serving.TopicConfig, "config", testConfig())
	store.setDown(false)
	g.Eventually(f.gw.Ready, "5s", "5ms").Should(BeTrue())
	for _, tc := range []struct {
		path, key string
		status    int
	}{{"/idem/x", "wrong", 401}, {"/idem/x", "", 401}, {"/elsewhere/x", "k1", 404}, {"/idem/x", "k1", 503}} {
		resp, _, err := f.request("GET", tc.path, tc.key, "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(tc.status), "%s with %q", tc.path, tc.key)
	}
}

// The configuration bounds what callers may send; what is larger is refused before
// any target hears of it.
func TestLimitsOfTheConfiguration(t *testing.T) {
	g := NewWithT(t)
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, "x") })
	f := startEntryWithTargets(t, "plain", target)
	next := testConfig()
	next.Version, next.Limits = 8, serving.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 10}
	f.store.put(serving.TopicConfig, "config", next)
	g.Eventually(func() uint64 { return f.gw.state.snapshot().index.Version }, "5s", "5ms").Should(Equal(uint64(8)))
	for _, tc := range []struct {
		body, field string
		status      int
	}{{"short", "x", 200}, {"longer than ten", "x", 413}, {"short", strings.Repeat("x", 1000), 431}} {
		resp, _, err := f.request("POST", "/idem/x", "k1", tc.body, "Own", tc.field)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(tc.status))
	}
	g.Expect(target.received()).To(HaveLen(1))
}

// A log entry has reached a target, which then resets the connection. It may have
// run: the caller gets an answer that promises nothing, and no other target gets
// the entry.
func TestAnEntryThatMayHaveRunIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	drop := func(w net.Conn, _ *http.Request) bool { return resetConn(w) }
	a, b := startTarget(t, "i1", drop), startTarget(t, "i2", drop)
	f := startEntryWithTargets(t, "plain", a, b)
	resp, _, err := f.request("POST", "/once/x", "k1", "entry")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(502))
	g.Expect(len(a.received()) + len(b.received())).To(Equal(1))
}

// One target says that it did not run the request, another run has taken the
// address of a second. Both are proof, so also a log entry goes on to the third.
func TestProofThatItDidNotRunAllowsAnotherTarget(t *testing.T) {
	g := NewWithT(t)
	full := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
		return reply(w, r, 503, "Not-Run: 1\r\n", "")
	})
	other := startTarget(t, "i2", func(w net.Conn, r *http.Request) bool { return reply(w, r, 421, "", "") })
	good := startTarget(t, "i3", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, "done") })
	f := startEntryWithTargets(t, "plain", full, other, good)
	for range 6 {
		resp, body, err := f.request("POST", "/once/x", "k1", "entry")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(200))
		g.Expect(body).To(Equal("done"))
	}
	g.Expect(len(other.received())).To(BeNumerically("<=", 1), "a replaced target is not asked again")
}

// Answers that are not the target's own and whole: without its proof, broken off,
// of another request. A request that may be repeated gets a good one elsewhere,
// another gets an answer that promises nothing.
func TestSpoiltAnswersAreNotDelivered(t *testing.T) {
	spoilt := map[string]func(w net.Conn, r *http.Request) bool{
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
	for name, serve := range spoilt {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			bad := startTarget(t, "i1", serve)
			f := startEntryWithTargets(t, "plain", bad)
			resp, body, err := f.request("POST", "/once/x", "k1", "entry")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(502))
			g.Expect(resp.Header.Get("Seal")).To(BeEmpty())
			g.Expect(body).NotTo(ContainSubstring("wrong"))
			good := startTarget(t, "i2", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, "right") })
			f.store.put(serving.TopicTargets, good.id, serving.Target{Service: "plain", Address: good.addr, DataCentre: "a"})
			g.Eventually(func() int { return len(f.gw.state.snapshot().targets["plain"]) }, "5s", "5ms").Should(Equal(2))
			for range 4 {
				_, body, err := f.request("GET", "/idem/x", "k1", "")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("right"))
			}
		})
	}
}

// A target dies in the middle of the fourth event. The stream goes on at another
// one after the third, in the same answer: the caller reads each event once.
func TestAStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	g := NewWithT(t)
	serve := func(w net.Conn, r *http.Request) bool {
		writeStreamHead(w, r)
		if r.Header.Get("After") == "" {
			writeChunk(w, eventText(0)+eventText(1))
			writeChunk(w, eventText(2)+eventText(3)[:9])
			return resetConn(w)
		}
		writeChunk(w, eventText(3)+eventText(4))
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
	a, b := startTarget(t, "i1", serve), startTarget(t, "i2", serve)
	f := startEntryWithTargets(t, "llm", a, b)
	resp, body, err := f.request("POST", "/s/x", "k1", "prompt")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
	g.Expect(body).To(Equal(eventText(0) + eventText(1) + eventText(2) + eventText(3) + eventText(4)))
	all := append(a.received(), b.received()...)
	g.Expect(all).To(HaveLen(2))
	after := all[0].Header.Get("After") + all[1].Header.Get("After")
	g.Expect(after).To(Equal("2"))
}

// The same where the stream may not go on elsewhere: what the caller has must not
// look whole, so its connection is cut before the end of the body.
func TestAStreamThatCannotGoOnIsCut(t *testing.T) {
	g := NewWithT(t)
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
		writeStreamHead(w, r)
		writeChunk(w, eventText(0))
		return resetConn(w)
	})
	f := startEntryWithTargets(t, "llm", target)
	resp, body, err := f.request("POST", "/cut/x", "k1", "prompt")
	g.Expect(resp == nil || err != nil).To(BeTrue(), "got %q", body)
	g.Expect(err).To(HaveOccurred())
	g.Expect(target.received()).To(HaveLen(1))
}

// malformedStream answers with one event and, in the same packet, bytes that are no chunk. Who asks
// for what comes after that event gets the rest whole.
func malformedStream(id string) func(net.Conn, *http.Request) bool {
	return func(w net.Conn, r *http.Request) bool {
		n, end := 0, "no chunk\r\n"
		resumed := r.Header.Get("After") != ""
		if resumed {
			n, end = 1, "0\r\n\r\n"
		}
		var all bytes.Buffer
		fmt.Fprintf(&all, "HTTP/1.1 200 OK\r\nRid: %s\r\nSeal: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Rid"), id)
		fmt.Fprintf(&all, "%x\r\n%s\r\n%s", len(eventText(n)), eventText(n), end)
		_, _ = w.Write(all.Bytes())
		return resumed || resetConn(w)
	}
}

// A target sends its first event and spoils what follows, all in one packet, so both are read at
// once. The event is delivered under the head of the target that sent it; the stream then goes
// on at another one, or is cut where it may not. The process must outlive that: everything else
// that it serves would be cut with it.
func TestAFirstEventAndItsEndInOnePacket(t *testing.T) {
	g := NewWithT(t)
	a, b := startTarget(t, "i1", malformedStream("i1")), startTarget(t, "i2", malformedStream("i2"))
	f := startEntryWithTargets(t, "llm", a, b)
	resp, body, err := f.request("POST", "/s/x", "k1", "prompt")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal(eventText(0) + eventText(1)))
	first := "i1"
	if len(a.received()) == 0 || a.received()[0].Header.Get("After") != "" {
		first = "i2"
	}
	g.Expect(resp.Header.Get("Seal")).To(Equal(first))

	resp, body, err = f.request("POST", "/cut/x", "k1", "prompt")
	g.Expect(resp == nil || err != nil).To(BeTrue(), "got %q", body)
	_, _, err = f.request("POST", "/s/x", "k1", "prompt")
	g.Expect(err).NotTo(HaveOccurred(), "it goes on serving")
}

// A caller leaves before the first event. The target must see its connection
// closed, so that it frees the place.
func TestACallerThatLeavesFreesTheTarget(t *testing.T) {
	g := NewWithT(t)
	target := startTarget(t, "i1", func(net.Conn, *http.Request) bool { return true })
	f := startEntryWithTargets(t, "llm", target)
	nc, err := net.Dial("tcp", f.addr)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(nc, "POST /s/x HTTP/1.1\r\nHost: h\r\nRid: r\r\nKey: k1\r\nContent-Length: 1\r\n\r\np")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(target.received, "5s", "5ms").Should(HaveLen(1))
	g.Expect(nc.Close()).To(Succeed())
	g.Eventually(target.closed, "5s").Should(Receive())
	g.Eventually(f.gw.inFlight.Load, "5s", "5ms").Should(BeZero())
}

// A target says that it leaves while a second one stays. From then on all work
// goes to the second.
func TestALeavingTargetGetsNoWork(t *testing.T) {
	g := NewWithT(t)
	ok := func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, "x") }
	a, b := startTarget(t, "i1", ok), startTarget(t, "i2", ok)
	f := startEntryWithTargets(t, "plain", a, b)
	f.store.put(serving.TopicTargets, a.id, serving.Target{Service: "plain", Address: a.addr, DataCentre: "a", Leaving: true})
	g.Eventually(func() bool {
		for _, target := range f.gw.state.snapshot().targets["plain"] {
			if target.ID == a.id {
				return target.Leaving
			}
		}
		return false
	}, "5s", "5ms").Should(BeTrue())
	before := len(a.received())
	for range 10 {
		_, _, err := f.request("GET", "/idem/x", "k1", "")
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(a.received()).To(HaveLen(before))
}

// SIGTERM comes while a stream runs. The entry leaves the directory at once, the
// stream is finished, and only then does the process end.
func TestAStopFinishesWhatRuns(t *testing.T) {
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
	f := startEntryWithTargets(t, "llm", target)
	g.Expect(f.gw.Entries("a").Addresses).To(Equal([]string{f.addr}))
	type outcome struct {
		body string
		err  error
	}
	got := make(chan outcome, 1)
	go func() {
		_, body, err := f.request("POST", "/s/x", "k1", "prompt")
		got <- outcome{body, err}
	}()
	g.Eventually(target.received, "5s", "5ms").Should(HaveLen(1))
	stopped := make(chan error, 1)
	go func() { stopped <- f.gw.Shutdown(context.Background()) }()
	g.Eventually(f.gw.Ready, "5s", "5ms").Should(BeFalse())
	g.Expect(f.gw.Entries("a").Addresses).To(BeEmpty())
	close(more)
	answer := <-got
	g.Expect(answer.err).NotTo(HaveOccurred())
	g.Expect(answer.body).To(Equal(eventText(0) + eventText(1)))
	g.Expect(<-stopped).To(Succeed())
}

// An answer without a length ends with its connection. A close is its end; a
// reset on the way is not, and the caller must not get the part as a whole.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	g := NewWithT(t)
	head := "HTTP/1.1 200 OK\r\nRid: %s\r\nSeal: yes\r\nConnection: close\r\n\r\n"
	whole := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(w, strings.Replace(head, "%s", r.Header.Get("Rid"), 1)+"to the end")
		return false
	})
	f := startEntryWithTargets(t, "plain", whole)
	_, body, err := f.request("GET", "/idem/x", "k1", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("to the end"))

	part := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(w, strings.Replace(head, "%s", r.Header.Get("Rid"), 1)+"to the")
		time.Sleep(20 * time.Millisecond) // lets the part arrive before the reset
		return resetConn(w)
	})
	f = startEntryWithTargets(t, "plain", part)
	resp, _, err := f.request("POST", "/once/x", "k1", "entry")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(502))
}
