package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// restingTarget rejects requests and asks for rest while rest is set.
type restingTarget struct {
	*testTarget
	mu       sync.Mutex
	rest     time.Duration
	arrivals []time.Time
}

func startRestingTarget(t *testing.T, id string, rest time.Duration) *restingTarget {
	target := &restingTarget{rest: rest}
	target.testTarget = startTarget(t, id, func(w net.Conn, r *http.Request) bool {
		if rest := target.recordArrival(); rest > 0 {
			return reply(w, r, http.StatusServiceUnavailable, fmt.Sprintf("Not-Run: yes\r\nRest: %s\r\n", rest), "")
		}
		return reply(w, r, http.StatusOK, sealHeader, eventText(0))
	})
	return target
}

func (target *restingTarget) recordArrival() time.Duration {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.arrivals = append(target.arrivals, time.Now())
	return target.rest
}

func (target *restingTarget) setRest(rest time.Duration) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.rest = rest
}

// countBetween returns the number of arrivals between two times after the first arrival.
func (target *restingTarget) countBetween(from, to time.Duration) int {
	target.mu.Lock()
	defer target.mu.Unlock()
	if len(target.arrivals) == 0 {
		return 0
	}
	return countInWindow(target.arrivals, target.arrivals[0].Add(from), to-from)
}

const (
	// A rest must hold after restReactionTime; the entry may send maxSendsInRest requests in what is
	// left of it. Source: the platform's rule.
	restReactionTime = 500 * time.Millisecond
	maxSendsInRest   = 2
)

// restPaths returns a path for each kind of service: plain, and streams with an admission queue.
func restPaths() map[string]string { return map[string]string{"plain": "/once/x", "llm": "/s/x"} }

// startEntryWithQueue starts an entry whose service "llm" has an admission queue.
func startEntryWithQueue(t *testing.T, service string, targets ...*testTarget) *testEntry {
	t.Helper()
	config := testConfig()
	config.Services[0].Engine = &serving.EngineModel{Slots: 4, LayerSets: 2}
	store := new(memStore)
	store.put(serving.TopicConfig, "config", config)
	for _, target := range targets {
		store.put(serving.TopicTargets, target.id, serving.Target{Service: service, Address: target.addr, DataCentre: "a"})
	}
	e := startEntry(t, "gw", store)
	NewWithT(t).Eventually(func() int {
		if v := e.gw.state.snapshot(); v != nil {
			return len(v.targets[service])
		}
		return 0
	}, "5s", "5ms").Should(Equal(len(targets)))
	return e
}

// Guards against requests, first attempts or retries, that are sent to a target in the time for
// which it has asked for rest.
func TestRestingTargetGetsNoRequests(t *testing.T) {
	t.Parallel()
	for service, path := range restPaths() {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			const rest = 6 * time.Second
			resting, other := startRestingTarget(t, "i1", rest), startRestingTarget(t, "i2", 0)
			e := startEntryWithQueue(t, service, resting.testTarget, other.testTarget)
			for start := time.Now(); time.Since(start) < rest; time.Sleep(300 * time.Millisecond) {
				resp, _, err := e.request("POST", path, "k1", "")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(http.StatusOK), "the other target is free")
			}
			g.Expect(resting.countBetween(restReactionTime, rest)).To(BeNumerically("<=", maxSendsInRest))
			g.Expect(resting.countBetween(0, rest)).To(BeNumerically(">=", 1))
		})
	}
}

// Guards against requests that are tried again and again at a sole target that rests, and against
// callers that wait although the rest outlasts their wait or are refused without its true end.
func TestRequestsForRestingServiceAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	for service, path := range restPaths() {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			const rest = 30 * time.Second
			target := startRestingTarget(t, "i1", rest)
			e := startEntryWithQueue(t, service, target.testTarget)
			start := time.Now()
			for time.Since(start) < 2*time.Second {
				sent := time.Now()
				resp, _, err := e.request("POST", path, "k1", "")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
				g.Expect(time.Since(sent)).To(BeNumerically("<", time.Second))
				g.Expect(retryAfterOf(g, resp)).To(BeNumerically("~", rest-time.Since(start), 6*time.Second))
				time.Sleep(100 * time.Millisecond)
			}
			g.Expect(target.countBetween(restReactionTime, rest)).To(BeNumerically("<=", maxSendsInRest))
			g.Expect(len(target.received())).To(BeNumerically(">=", 1))
		})
	}
}

func retryAfterOf(g *WithT, resp *http.Response) time.Duration {
	d, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	g.Expect(err).NotTo(HaveOccurred())
	return d
}

// Guards against requests that are refused although the only target ends its rest in time for them,
// and against a target that gets no requests after its rest.
func TestRequestsWaitForTheEndOfAShortRest(t *testing.T) {
	t.Parallel()
	for service, path := range restPaths() {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			const rest = 700 * time.Millisecond
			target := startRestingTarget(t, "i1", rest)
			e := startEntryWithQueue(t, service, target.testTarget)
			_, _, err := e.request("POST", path, "k1", "")
			g.Expect(err).NotTo(HaveOccurred())
			target.setRest(0)
			from := len(target.received())
			resp, _, err := e.request("POST", path, "k1", "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			g.Expect(target.countBetween(time.Millisecond, rest)).To(BeZero())
			g.Expect(target.received()).To(HaveLen(from + 1))
		})
	}
}
