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
		return reply(w, r, http.StatusOK, sealed+fields[answered-1], "ok")
	})
	f := startFleet(t, "plain", target)
	known := f.gw.knowledge.view().targets["plain"][0]
	g.Eventually(func() bool {
		_, self := f.gw.mesh.owner(known.Run())
		return self
	}, "5s", "5ms").Should(BeTrue())
	for _, rate := range []float64{1.5, 1.5, 0.8, placing.Unlimited} {
		_, _, err := f.ask("POST", "/once/x", "k1", "")
		g.Expect(err).NotTo(HaveOccurred())
		noted, _ := f.gw.book.RateLimitOf(known.Run())
		g.Expect(noted).To(Equal(rate))
	}
}

// limitedTarget names a rate in its answers and notes when requests come.
type limitedTarget struct {
	*testTarget
	mu   sync.Mutex
	rate float64 // requests a second; 0: it names none
	came []time.Time
}

func startLimitedTarget(t *testing.T, id string, rate float64) *limitedTarget {
	l := &limitedTarget{rate: rate}
	l.testTarget = startTarget(t, id, func(w net.Conn, r *http.Request) bool {
		return reply(w, r, http.StatusOK, sealed+l.arrived(), event(0))
	})
	return l
}

// arrived notes an arrival and returns the field of its answer.
func (l *limitedTarget) arrived() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.came = append(l.came, time.Now())
	if l.rate == 0 {
		return ""
	}
	return fmt.Sprintf("Rate: %g\r\n", l.rate)
}

func (l *limitedTarget) name(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = rate
}

// most returns the most arrivals in any window of a length between two times.
func (l *limitedTarget) most(from, to time.Time, window time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, at := range l.came {
		if !at.Before(from) && at.Before(to) {
			most = max(most, count(l.came, at, min(window, to.Sub(at))))
		}
	}
	return most
}

const (
	// limitSettles is from when on a rate must be kept after it was named or an entry has
	// started. Source: the least that the platform grants.
	limitSettles = 3 * time.Second
	limitWindow  = 4 * time.Second
)

// allowed returns how many requests a rate allows in a window: one may come at either end.
func allowed(rate float64) int { return int(rate*limitWindow.Seconds()) + 2 }

// limitedFleet are some entries, and callers that press them until they are stopped.
type limitedFleet struct {
	t       *testing.T
	store   *memStore
	service string
	targets int
	mu      sync.Mutex
	entries []*fleet
	sent    int
	refused []refusal
}

// refusal is what a caller gets in place of an answer.
type refusal struct {
	status   int
	comeBack string
	body     string
}

func startLimitedFleet(t *testing.T, entries int, service string, targets ...*testTarget) *limitedFleet {
	f := &limitedFleet{t: t, store: new(memStore), service: service, targets: len(targets)}
	f.store.put(serving.TopicConfig, "config", testConfig())
	for _, target := range targets {
		f.store.put(serving.TopicTargets, target.id, serving.Target{Service: service, Address: target.addr, DataCentre: "a"})
	}
	for i := range entries {
		f.start(fmt.Sprintf("gw%d", i))
	}
	return f
}

// start starts an entry, which takes the place of an earlier one of its name.
func (f *limitedFleet) start(name string) {
	e := startGateway(f.t, name, f.store)
	NewWithT(f.t).Eventually(func() int {
		if v := e.gw.knowledge.view(); v != nil {
			return len(v.targets[f.service])
		}
		return 0
	}, "5s", "5ms").Should(Equal(f.targets))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = slices.DeleteFunc(f.entries, func(o *fleet) bool { return o.gw.opts.Name == name })
	f.entries = append(f.entries, e)
}

// kill ends an entry as a crash would.
func (f *limitedFleet) kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := slices.IndexFunc(f.entries, func(e *fleet) bool { return e.gw.opts.Name == name })
	f.entries[at].gw.Abort()
	f.entries = slices.Delete(f.entries, at, at+1)
}

// press has callers send requests on a path until stop is called.
func (f *limitedFleet) press(path string, callers int, pause time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for caller := range callers {
		rng := rand.New(rand.NewPCG(uint64(caller), 3))
		tasks.Go(func() {
			for ctx.Err() == nil {
				f.send(path, rng)
				sleep(ctx, time.Duration(rng.Int64N(int64(2*pause))))
			}
		})
	}
	return func() {
		cancel()
		tasks.Wait()
	}
}

func (f *limitedFleet) send(path string, rng *rand.Rand) {
	f.mu.Lock()
	f.sent++
	e := &fleet{t: f.t, addr: f.entries[rng.IntN(len(f.entries))].addr, rid: f.sent}
	f.mu.Unlock()
	resp, body, err := e.ask("POST", path, "k1", "")
	if err != nil || resp.StatusCode == http.StatusOK {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused = append(f.refused, refusal{status: resp.StatusCode, comeBack: resp.Header.Get("Retry-After"), body: body})
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
			f := startLimitedFleet(t, 4, service, limited.testTarget, other.testTarget)
			begun := time.Now()
			stop := f.press(path, 12, 50*time.Millisecond)
			time.Sleep(limitSettles)
			f.kill("gw1")
			time.Sleep(time.Second)
			f.start("gw1")
			time.Sleep(limitSettles)
			f.start("gw4")
			time.Sleep(limitWindow)
			stop()
			most := limited.most(begun.Add(limitSettles), time.Now(), limitWindow)
			g.Expect(most).To(BeNumerically("<=", allowed(rate)))
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
	f := startLimitedFleet(t, 3, "plain", targets[0].testTarget, targets[1].testTarget)
	begun := time.Now()
	stop := f.press("/once/x", 12, 50*time.Millisecond)
	time.Sleep(limitSettles + 2*limitWindow)
	ended := time.Now()
	for _, target := range targets {
		target.name(0)
		g.Expect(target.most(begun.Add(limitSettles), ended, limitWindow)).To(And(
			BeNumerically("<=", allowed(rate)), BeNumerically(">=", allowed(rate)/2)))
	}
	f.mu.Lock()
	g.Expect(len(f.refused)).To(BeNumerically(">", 20))
	for _, r := range f.refused {
		g.Expect(r.status).To(Equal(http.StatusServiceUnavailable), "%+v", r)
		g.Expect(r.comeBack).NotTo(BeEmpty(), "%+v", r)
	}
	f.mu.Unlock()
	g.Eventually(func() bool {
		for _, e := range f.entries {
			for _, target := range targets {
				if known, _ := e.gw.book.RateLimitOf(serving.Run{ID: target.id}); known != placing.Unlimited {
					return false
				}
			}
		}
		return true
	}, "20s", "50ms").Should(BeTrue())
	stop()
}
