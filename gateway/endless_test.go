package gateway

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// writeWithoutEnd writes text again and again until the connection is closed.
func writeWithoutEnd(w net.Conn, text string) bool {
	block := []byte(strings.Repeat(text, 1+(16<<10)/len(text)))
	for {
		if _, err := w.Write(block); err != nil {
			return false
		}
	}
}

// chunk is a chunk of a body.
var chunk = "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"

// endlessAnswers are answers without end, as the text that begins them and the text that is repeated.
var endlessAnswers = []struct {
	name, head, repeated string
	stream               bool // only an answer without end to a stream
}{
	{"garbage without lines", "", "\x00garbage", false},
	{"lines", "", "garbage\r\n", false},
	{"empty lines", "", "\r\n", false},
	{"header fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", false},
	{"one header field", "HTTP/1.1 200 OK\r\nX-A: ", "bbbb", false},
	{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", false},
	{"responses to others", "", "HTTP/1.1 200 OK\r\nRid: other\r\nSeal: yes\r\nContent-Length: 0\r\n\r\n", false},
	{"body of a response to others", "HTTP/1.1 200 OK\r\nRid: other\r\nSeal: yes\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, false},
	{"body without a length", "HTTP/1.1 200 OK\r\nRid: RID\r\nSeal: yes\r\n\r\n", "garbage", false},
	{"body in chunks", "HTTP/1.1 200 OK\r\nRid: RID\r\nSeal: yes\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, false},
	{"body in a huge chunk", "HTTP/1.1 200 OK\r\nRid: RID\r\nSeal: yes\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "garbage", false},
	{"chunk extension", "HTTP/1.1 200 OK\r\nRid: RID\r\nSeal: yes\r\nTransfer-Encoding: chunked\r\n\r\n4;a=", "bbbb", false},
	{"huge length", "HTTP/1.1 200 OK\r\nRid: RID\r\nSeal: yes\r\nContent-Length: 9223372036854775807\r\n\r\n", "garbage", false},
	{"trailer", "HTTP/1.1 200 OK\r\nRid: RID\r\nSeal: yes\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n", false},
	{"failure", "HTTP/1.1 500 X\r\nRid: RID\r\n\r\n", "garbage", false},
	{"event without end", "HTTP/1.1 200 OK\r\nRid: RID\r\nSeal: yes\r\n\r\nid: 0\ndata: ", "garbage", true},
}

// Limits of the tests.
const (
	endlessBufferBytes = 4 << 20
	heapLimit          = 40 << 20 // what requests with answers without end may take together, and the test itself
)

// startBoundedEntry starts an entry with a small bound on the responses that it reads.
func startBoundedEntry(t *testing.T, service string, targets ...*testTarget) *testEntry {
	t.Helper()
	store := new(memStore)
	store.put(serving.TopicConfig, "config", testConfig())
	for _, target := range targets {
		store.put(serving.TopicTargets, target.id, serving.Target{Service: service, Address: target.addr, DataCentre: "a"})
	}
	e := startEntryWithOptions(t, "gw", store, func(o *Options) { o.MaxCallerBytes = 2 * endlessBufferBytes })
	NewWithT(t).Eventually(func() bool { v := e.gw.state.snapshot(); return v != nil && len(v.targets[service]) == len(targets) }, "5s", "5ms").Should(BeTrue())
	return e
}

// peakHeap returns the largest heap until stop is closed.
func peakHeap(stop chan struct{}) uint64 {
	var peak uint64
	var m runtime.MemStats
	for {
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
		select {
		case <-stop:
			return peak
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// A target sends bytes that are no answer, without end. Memory and time must stay bounded, the caller
// must get an answer that promises nothing, and the place at the target must be given back.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	const callers = 6
	for _, tc := range endlessAnswers {
		for _, path := range []string{"/once/x", "/s/x"} {
			if tc.stream && path == "/once/x" {
				continue
			}
			t.Run(tc.name+" "+path, func(t *testing.T) {
				g := NewWithT(t)
				target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
					if _, err := io.WriteString(w, strings.ReplaceAll(tc.head, "RID", r.Header.Get("Rid"))); err != nil {
						return false
					}
					return writeWithoutEnd(w, tc.repeated)
				})
				service := map[string]string{"/once/x": "plain", "/s/x": "llm"}[path]
				e := startBoundedEntry(t, service, target)
				stop, peak := make(chan struct{}), make(chan uint64, 1)
				runtime.GC()
				go func() { peak <- peakHeap(stop) }()
				var wait sync.WaitGroup
				statuses := make([]int, callers)
				start := time.Now()
				for n := range callers {
					wait.Go(func() {
						resp, _, _ := (&testEntry{addr: e.addr, requestCount: 100 * n}).request("POST", path, "k1", "body")
						if resp != nil {
							statuses[n] = resp.StatusCode
						}
					})
				}
				wait.Wait()
				close(stop)
				g.Expect(time.Since(start)).To(BeNumerically("<", 6*time.Second), "the deadline is after 4 s")
				g.Expect(statuses).To(HaveEach(Or(Equal(502), Equal(504), Equal(503))))
				if received := len(target.received()); received >= callers {
					g.Expect(statuses).NotTo(ContainElement(503), "it may have run")
				}
				g.Expect(<-peak).To(BeNumerically("<", heapLimit))
				g.Eventually(e.gw.inFlight.Load, "2s", "5ms").Should(BeZero())
				g.Expect(e.runningAt(service)).To(BeZero())
			})
		}
	}
}

// runningAt returns the requests that the entry runs at the targets of a service.
func (e *testEntry) runningAt(service string) (running int) {
	for _, t := range e.gw.state.snapshot().targets[service] {
		running += e.gw.tracker.Snapshot(t, time.Now()).Requests
	}
	return running
}

// A target that answers without end must lose its requests to a sound one.
func TestTargetThatAnswersWithoutEndIsEjected(t *testing.T) {
	t.Parallel()
	for _, tc := range endlessAnswers {
		if tc.stream {
			continue
		}
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			endless := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
				if _, err := io.WriteString(w, strings.ReplaceAll(tc.head, "RID", r.Header.Get("Rid"))); err != nil {
					return false
				}
				return writeWithoutEnd(w, tc.repeated)
			})
			sound := startTarget(t, "i2", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, "ok") })
			e := startBoundedEntry(t, "plain", endless, sound)
			for range 30 {
				resp, body, err := e.request("POST", "/idem/x", "k1", "body")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(200))
				g.Expect(body).To(Equal("ok"))
			}
			g.Expect(len(endless.received())).To(BeNumerically("<", 10))
		})
	}
}
