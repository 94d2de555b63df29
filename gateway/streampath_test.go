package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
	"github.com/heatherrail/heatherrail/shedding"
)

// A target fails in the middle of the fourth event. The stream must resume at another target after
// the third event, so that the caller receives each event once.
func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
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
	e := startEntryWithTargets(t, "llm", a, b)
	resp, body, err := e.request("POST", "/s/x", "k1", "prompt")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
	g.Expect(body).To(Equal(eventText(0) + eventText(1) + eventText(2) + eventText(3) + eventText(4)))
	all := append(a.received(), b.received()...)
	g.Expect(all).To(HaveLen(2))
	after := all[0].Header.Get("After") + all[1].Header.Get("After")
	g.Expect(after).To(Equal("2"))
}

// A stream without a length or chunks ends with its connection: one that ends inside an event, or before its first, was taken for whole.
func TestUnframedStreamThatBreaksOffIsResumed(t *testing.T) {
	for name, broken := range map[string]string{"inside an event": eventText(0) + eventText(1)[:9], "before its first event": ""} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var attempts atomic.Int32
			serve := func(w net.Conn, r *http.Request) bool {
				body := broken
				if attempts.Add(1) > 1 {
					body = eventText(1) + eventText(2)
					if r.Header.Get("After") == "" {
						body = eventText(0) + body
					}
				}
				writeUnframed(w, r, body)
				return false
			}
			e := startEntryWithTargets(t, "llm", startTarget(t, "i1", serve), startTarget(t, "i2", serve))
			_, body, err := e.request("POST", "/s/x", "k1", "prompt")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal(eventText(0) + eventText(1) + eventText(2)))
			g.Expect(attempts.Load()).To(Equal(int32(2)))
		})
	}
}

// gapAgent is an agent that records the gaps that an entry reports.
type gapAgent struct {
	mu      sync.Mutex
	queries int
	longest time.Duration
}

// startGapAgent starts an agent and returns its port.
func startGapAgent(t *testing.T) (a *gapAgent, port string) {
	a = new(gapAgent)
	ln := listen(t)
	server := peers.Serve(ln, shedding.Limits{}, map[peers.Kind]peers.Handler{peers.KindLoads: a.serve}, func(string, error) {})
	t.Cleanup(server.Close)
	_, port, err := net.SplitHostPort(ln.Addr().String())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return a, port
}

func (a *gapAgent) serve(payload []byte) (msgp.Marshaler, error) {
	var q peers.LoadsQuery
	if _, err := q.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queries++
	a.longest = max(a.longest, time.Duration(q.LongestGapMS)*time.Millisecond)
	return new(peers.Loads), nil
}

func (a *gapAgent) queryCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queries
}

// A target fails between two events, and the stream resumes at another target after a while. That gap is
// not the time of a pass: recorded as one, it would lower the stream limit of the group.
func TestGapOverTwoAttemptsIsNotRecordedAsAPass(t *testing.T) {
	const resumeDelay, passTime = 300 * time.Millisecond, 20 * time.Millisecond
	g := NewWithT(t)
	received := make(chan struct{}) // by the caller; without it a busy machine may read two events at once
	event := func(w net.Conn, n int) {
		writeChunk(w, eventText(n))
		select {
		case <-received:
		case <-time.After(5 * time.Second): // the response is compared below
		}
	}
	serve := func(w net.Conn, r *http.Request) bool {
		writeStreamHead(w, r)
		if r.Header.Get("After") == "" {
			event(w, 0)
			time.Sleep(passTime)
			event(w, 1)
			return resetConn(w)
		}
		time.Sleep(resumeDelay)
		event(w, 2)
		time.Sleep(passTime)
		event(w, 3)
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
	a, b := startTarget(t, "i1", serve), startTarget(t, "i2", serve)
	config := testConfig()
	config.Services[0].Engine = &serving.EngineModel{Slots: 4, LayerSets: 2}
	store := new(memStore)
	store.put(serving.TopicConfig, "config", config)
	for _, target := range []*testTarget{a, b} {
		store.put(serving.TopicTargets, target.id, serving.Target{Service: "llm", Address: target.addr, DataCentre: "a"})
	}
	agent, port := startGapAgent(t)
	e := startEntryWithOptions(t, "gw", store, func(o *Options) { o.AgentPort = port })
	g.Eventually(func() bool {
		snap := e.gw.state.snapshot()
		return e.gw.Ready() && snap != nil && len(snap.targets["llm"]) == 2
	}, "5s", "5ms").Should(BeTrue())
	resp, err := e.begin("POST", "/s/x", "k1", "prompt")
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	for n := range 4 {
		text := make([]byte, len(eventText(n)))
		_, err := io.ReadFull(resp.Body, text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(text)).To(Equal(eventText(n)))
		received <- struct{}{}
	}
	rest, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rest).To(BeEmpty())
	gap := e.gw.tracker.TakeLongestGap("llm", "") // what has not been reported
	reported := agent.queryCount()
	g.Eventually(agent.queryCount, "5s", "5ms").Should(BeNumerically(">", reported+1), "the query under way has arrived")
	agent.mu.Lock()
	gap = max(gap, agent.longest)
	agent.mu.Unlock()
	g.Expect(gap).To(And(BeNumerically(">=", passTime/2), BeNumerically("<", resumeDelay)))
}

// A stream that may not resume must be cut off before the end of the body, so that the partial
// stream does not look complete to the caller.
func TestStreamThatCannotResumeIsCut(t *testing.T) {
	g := NewWithT(t)
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
		writeStreamHead(w, r)
		writeChunk(w, eventText(0))
		return resetConn(w)
	})
	e := startEntryWithTargets(t, "llm", target)
	resp, body, err := e.request("POST", "/cut/x", "k1", "prompt")
	g.Expect(resp == nil || err != nil).To(BeTrue(), "got %q", body)
	g.Expect(err).To(HaveOccurred())
	g.Expect(target.received()).To(HaveLen(1))
}

// malformedStream answers with one event and an invalid chunk in one packet. A request that
// resumes after that event gets the rest of a valid stream.
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

// A target sends its first event and an invalid chunk in one packet. The caller must get the event
// with that target's header, the stream must resume or be cut off, and the gateway must not crash.
func TestFirstEventIsDeliveredDespiteStreamErrorInSameRead(t *testing.T) {
	g := NewWithT(t)
	a, b := startTarget(t, "i1", malformedStream("i1")), startTarget(t, "i2", malformedStream("i2"))
	e := startEntryWithTargets(t, "llm", a, b)
	resp, body, err := e.request("POST", "/s/x", "k1", "prompt")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal(eventText(0) + eventText(1)))
	first := "i1"
	if len(a.received()) == 0 || a.received()[0].Header.Get("After") != "" {
		first = "i2"
	}
	g.Expect(resp.Header.Get("Seal")).To(Equal(first))

	resp, body, err = e.request("POST", "/cut/x", "k1", "prompt")
	g.Expect(resp == nil || err != nil).To(BeTrue(), "got %q", body)
	_, _, err = e.request("POST", "/s/x", "k1", "prompt")
	g.Expect(err).NotTo(HaveOccurred(), "the gateway still serves requests")
}
