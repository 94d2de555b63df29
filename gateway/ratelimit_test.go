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

// Guards against rates that are named, changed or ended and that no entry takes note of.
func TestTheRateThatATargetNamesIsNoted(t *testing.T) {
	g := NewWithT(t)
	fields := []string{"Rate: 1.5\r\n", "Rate: much\r\n", "Rate: 0.8\r\n", ""}
	answered := 0
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
		answered++
		return reply(w, r, http.StatusOK, sealHeader+fields[answered-1], "ok")
	})
	f := startEntryWithTargets(t, "plain", target)
	known := f.gw.state.snapshot().targets["plain"][0]
	g.Eventually(func() bool {
		_, self := f.gw.cluster.permitOwner(known.Run())
		return self
	}, "5s", "5ms").Should(BeTrue())
	for _, rate := range []float64{1.5, 1.5, 0.8, placing.Unlimited} {
		_, _, err := f.request("POST", "/once/x", "k1", "")
		g.Expect(err).NotTo(HaveOccurred())
		noted, _ := f.gw.tracker.RateLimitOf(known.Run())
		g.Expect(noted).To(Equal(rate))
	}
}

// limitedTarget names a rate in its answers and notes when requests come.
type limitedTarget struct {
	*testTarget
	mu       sync.Mutex
	rate     float64 // requests a second; 0: it names none
	arrivals []time.Time
}

func startLimitedTarget(t *testing.T, id string, rate float64) *limitedTarget {
	l := &limitedTarget{rate: rate}
	l.testTarget = startTarget(t, id, func(w net.Conn, r *http.Request) bool {
		return reply(w, r, http.StatusOK, sealHeader+l.recordArrival(), eventText(0))
	})
	return l
}

// recordArrival notes an arrival and returns the field of its answer.
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

// maxInWindow returns the maxInWindow arrivals in any window of a length between two times.
func (l *limitedTarget) maxInWindow(from, to time.Time, window time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, at := range l.arrivals {
		if !at.Before(from) && at.Before(to) {
			most = max(most, countInWindow(l.arrivals, at, min(window, to.Sub(at))))
		}
	}
	return most
}

const (
	// limitSettleTime is from when on a rate must be kept after it was named or an entry has
	// started. Source: the least that the platform grants.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
)

// maxAllowed returns how many requests a rate allows in a window: one may come at either end.
func maxAllowed(rate float64) int { return int(rate*limitWindow.Seconds()) + 2 }

// rateLimitCluster are some entries, and callers that press them until they are stopped.
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

// refusal is what a caller gets in place of an answer.
type refusal struct {
	status     int
	retryAfter string
	body       string
}

func startRateLimitCluster(t *testing.T, entries int, service string, targets ...*testTarget) *rateLimitCluster {
	f := &rateLimitCluster{t: t, store: new(memStore), service: service, targetCount: len(targets)}
	f.store.put(serving.TopicConfig, "config", testConfig())
	for _, target := range targets {
		f.store.put(serving.TopicTargets, target.id, serving.Target{Service: service, Address: target.addr, DataCentre: "a"})
	}
	for i := range entries {
		f.startEntry(fmt.Sprintf("gw%d", i))
	}
	return f
}

// startEntry starts an entry, which takes the place of an earlier one of its name.
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

// crashEntry ends an entry as a crash would.
func (c *rateLimitCluster) crashEntry(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := slices.IndexFunc(c.entries, func(e *testEntry) bool { return e.gw.opts.Name == name })
	c.entries[at].gw.Abort()
	c.entries = slices.Delete(c.entries, at, at+1)
}

// sendLoad has callers send requests on a path until stop is called.
func (c *rateLimitCluster) sendLoad(path string, callers int, pause time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for caller := range callers {
		rng := rand.New(rand.NewPCG(uint64(caller), 3))
		tasks.Go(func() {
			for ctx.Err() == nil {
				c.send(path, rng)
				sleep(ctx, time.Duration(rng.Int64N(int64(2*pause))))
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

// Guards against a target that names a rate and gets more than that from all entries together,
// whichever service it is of, while entries crash and start again.
func TestATargetGetsNoMoreThanTheRateThatItNames(t *testing.T) {
	t.Parallel()
	for service, path := range map[string]string{"plain": "/once/x", "llm": "/s/x"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			const rate = 1.5
			limited, other := startLimitedTarget(t, "i1", rate), startLimitedTarget(t, "i2", 0)
			f := startRateLimitCluster(t, 4, service, limited.testTarget, other.testTarget)
			begun := time.Now()
			stop := f.sendLoad(path, 12, 50*time.Millisecond)
			time.Sleep(limitSettleTime)
			f.crashEntry("gw1")
			time.Sleep(time.Second)
			f.startEntry("gw1")
			time.Sleep(limitSettleTime)
			f.startEntry("gw4")
			time.Sleep(limitWindow)
			stop()
			most := limited.maxInWindow(begun.Add(limitSettleTime), time.Now(), limitWindow)
			g.Expect(most).To(BeNumerically("<=", maxAllowed(rate)))
			g.Expect(most).To(BeNumerically(">=", 2), "what the target takes must be of use")
			g.Expect(f.refused).To(BeEmpty(), "the other target has room")
		})
	}
}

// Guards against callers that wait in vain, or are told a time at which there is no room, while
// all targets of a service name a rate; and against an end of the rate that nobody takes note of.
func TestWhatNoTargetTakesInTimeIsRefusedWithATimeToComeBack(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const rate = 2
	targets := []*limitedTarget{startLimitedTarget(t, "i1", rate), startLimitedTarget(t, "i2", rate)}
	f := startRateLimitCluster(t, 3, "plain", targets[0].testTarget, targets[1].testTarget)
	begun := time.Now()
	stop := f.sendLoad("/once/x", 12, 50*time.Millisecond)
	time.Sleep(limitSettleTime + 2*limitWindow)
	ended := time.Now()
	for _, target := range targets {
		target.setRate(0)
		g.Expect(target.maxInWindow(begun.Add(limitSettleTime), ended, limitWindow)).To(And(
			BeNumerically("<=", maxAllowed(rate)), BeNumerically(">=", maxAllowed(rate)/2)))
	}
	f.mu.Lock()
	g.Expect(len(f.refused)).To(BeNumerically(">", 20))
	for _, r := range f.refused {
		g.Expect(r.status).To(Equal(http.StatusServiceUnavailable), "%+v", r)
		g.Expect(r.retryAfter).NotTo(BeEmpty(), "%+v", r)
	}
	f.mu.Unlock()
	g.Eventually(func() bool {
		for _, e := range f.entries {
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
