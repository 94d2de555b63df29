package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
)

// Guards against reported rate limits that an entry does not record, update or remove.
func TestReportedRateLimitIsRecorded(t *testing.T) {
	g := NewWithT(t)
	fields := []string{"Rate: 1.5\r\n", "Rate: much\r\n", "Rate: 0.8\r\n", ""}
	answered := 0
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
		answered++
		return reply(w, r, http.StatusOK, sealHeader+fields[answered-1], "ok")
	})
	e := startEntryWithTargets(t, "plain", target)
	known := e.gw.state.snapshot().targets["plain"][0]
	g.Eventually(func() bool {
		_, self := e.gw.cluster.permitOwner(known.Run())
		return self
	}, "5s", "5ms").Should(BeTrue())
	for _, rate := range []float64{1.5, 1.5, 0.8, placing.Unlimited} {
		_, _, err := e.request("POST", "/once/x", "k1", "")
		g.Expect(err).NotTo(HaveOccurred())
		recorded, _ := e.gw.tracker.RateLimitOf(known.Run())
		g.Expect(recorded).To(Equal(rate))
	}
}

// limitedTarget reports a rate limit in its responses and records the arrival times of requests.
type limitedTarget struct {
	*testTarget
	mu       sync.Mutex
	rate     float64 // requests per second; 0: no limit is reported
	arrivals []time.Time
}

func startLimitedTarget(t *testing.T, id string, rate float64) *limitedTarget {
	l := &limitedTarget{rate: rate}
	l.testTarget = startTarget(t, id, func(w net.Conn, r *http.Request) bool {
		return reply(w, r, http.StatusOK, sealHeader+l.recordArrival(), eventText(0))
	})
	return l
}

// recordArrival records an arrival and returns the rate limit header for the response.
func (l *limitedTarget) recordArrival() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, time.Now())
	if l.rate == 0 {
		return ""
	}
	return fmt.Sprintf("Rate: %g\r\n", l.rate)
}

func (l *limitedTarget) setRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = rate
}

// maxInWindow returns the largest number of arrivals between from and to within any window.
func (l *limitedTarget) maxInWindow(from, to time.Time, window time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	maxCount := 0
	for _, at := range l.arrivals {
		if !at.Before(from) && at.Before(to) {
			maxCount = max(maxCount, countInWindow(l.arrivals, at, min(window, to.Sub(at))))
		}
	}
	return maxCount
}

const (
	// limitSettleTime is the time after which a rate limit must hold once it was reported or an
	// entry has started. Source: the shortest time that the platform grants.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
)

// maxAllowed returns how many requests a rate allows in a window. Two are added, as one may
// arrive at either end.
func maxAllowed(rate float64) int { return int(rate*limitWindow.Seconds()) + 2 }

// rateLimitCluster is a set of entries and callers that send load to them.
type rateLimitCluster struct {
	t           *testing.T
	store       *memStore
	service     string
	targetCount int
	mu          sync.Mutex
	entries     []*testEntry
	sentCount   int
	refused     []refusal
}

// refusal is an error response to a caller.
type refusal struct {
	status     int
	retryAfter string
	body       string
}

func startRateLimitCluster(t *testing.T, entries int, service string, targets ...*testTarget) *rateLimitCluster {
	c := &rateLimitCluster{t: t, store: new(memStore), service: service, targetCount: len(targets)}
	c.store.put(serving.TopicConfig, "config", testConfig())
	for _, target := range targets {
		c.store.put(serving.TopicTargets, target.id, serving.Target{Service: service, Address: target.addr, DataCentre: "a"})
	}
	for i := range entries {
		c.startEntry(fmt.Sprintf("gw%d", i))
	}
	return c
}

// startEntry starts an entry, which replaces an earlier one with the same name.
func (c *rateLimitCluster) startEntry(name string) {
	e := startEntry(c.t, name, c.store)
	NewWithT(c.t).Eventually(func() int {
		if v := e.gw.state.snapshot(); v != nil {
			return len(v.targets[c.service])
		}
		return 0
	}, "5s", "5ms").Should(Equal(c.targetCount))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = slices.DeleteFunc(c.entries, func(o *testEntry) bool { return o.gw.opts.Name == name })
	c.entries = append(c.entries, e)
}

// crashEntry stops an entry without a shutdown.
func (c *rateLimitCluster) crashEntry(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.entries, func(e *testEntry) bool { return e.gw.opts.Name == name })
	c.entries[i].gw.Abort()
	c.entries = slices.Delete(c.entries, i, i+1)
}

// sendLoad sends requests to a path from several callers until stop is called.
func (c *rateLimitCluster) sendLoad(path string, callers int, meanPause time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for caller := range callers {
		rng := rand.New(rand.NewPCG(uint64(caller), 3))
		tasks.Go(func() {
			for ctx.Err() == nil {
				c.send(path, rng)
				sleep(ctx, time.Duration(rng.Int64N(int64(2*meanPause))))
			}
		})
	}
	return func() {
		cancel()
		tasks.Wait()
	}
}

func (c *rateLimitCluster) send(path string, rng *rand.Rand) {
	c.mu.Lock()
	c.sentCount++
	e := &testEntry{t: c.t, addr: c.entries[rng.IntN(len(c.entries))].addr, requestCount: c.sentCount}
	c.mu.Unlock()
	resp, body, err := e.request("POST", path, "k1", "")
	if err != nil || resp.StatusCode == http.StatusOK {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = append(c.refused, refusal{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), body: body})
}

// Guards against entries that together exceed the rate limit of a target of a plain or a stream
// service, while entries crash and restart.
func TestTargetStaysWithinReportedRateLimit(t *testing.T) {
	t.Parallel()
	for service, path := range map[string]string{"plain": "/once/x", "llm": "/s/x"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			const rate = 1.5
			limited, other := startLimitedTarget(t, "i1", rate), startLimitedTarget(t, "i2", 0)
			c := startRateLimitCluster(t, 4, service, limited.testTarget, other.testTarget)
			start := time.Now()
			stop := c.sendLoad(path, 12, 50*time.Millisecond)
			time.Sleep(limitSettleTime)
			c.crashEntry("gw1")
			time.Sleep(time.Second)
			c.startEntry("gw1")
			time.Sleep(limitSettleTime)
			c.startEntry("gw4")
			time.Sleep(limitWindow)
			stop()
			maxRequests := limited.maxInWindow(start.Add(limitSettleTime), time.Now(), limitWindow)
			g.Expect(maxRequests).To(BeNumerically("<=", maxAllowed(rate)))
			g.Expect(maxRequests).To(BeNumerically(">=", 2), "the reported rate must be used")
			g.Expect(c.refused).To(BeEmpty(), "the target without a rate limit takes the other requests")
		})
	}
}

// All targets of a service report rate limits. Guards against callers that time out or are refused
// without a Retry-After, and against entries that keep a rate limit that the target no longer reports.
func TestRequestsOverAllRateLimitsAreRefusedWithRetryAfter(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const rate = 2
	targets := []*limitedTarget{startLimitedTarget(t, "i1", rate), startLimitedTarget(t, "i2", rate)}
	c := startRateLimitCluster(t, 3, "plain", targets[0].testTarget, targets[1].testTarget)
	start := time.Now()
	stop := c.sendLoad("/once/x", 12, 50*time.Millisecond)
	time.Sleep(limitSettleTime + 2*limitWindow)
	ended := time.Now()
	for _, target := range targets {
		target.setRate(0)
		g.Expect(target.maxInWindow(start.Add(limitSettleTime), ended, limitWindow)).To(And(
			BeNumerically("<=", maxAllowed(rate)), BeNumerically(">=", maxAllowed(rate)/2)))
	}
	c.mu.Lock()
	g.Expect(len(c.refused)).To(BeNumerically(">", 20))
	for _, r := range c.refused {
		g.Expect(r.status).To(Equal(http.StatusServiceUnavailable), "%+v", r)
		g.Expect(r.retryAfter).NotTo(BeEmpty(), "%+v", r)
	}
	c.mu.Unlock()
	g.Eventually(func() bool {
		for _, e := range c.entries {
			for _, target := range targets {
				if known, _ := e.gw.tracker.RateLimitOf(serving.Run{ID: target.id}); known != placing.Unlimited {
					return false
				}
			}
		}
		return true
	}, "20s", "50ms").Should(BeTrue())
	stop()
}
