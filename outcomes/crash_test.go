package outcomes

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/result"
)

// crashRun is what a run with a crashing request showed.
type crashRun struct {
	crashes   int // executions of the crashing request
	targets   int // that it took down
	refusedAt time.Duration
	innocents map[string]int // results of the others
}

// runCrasher lets callers work while one of them repeats a crashing request
// through all entries. wide: all engines crash by themselves besides.
func runCrasher(seed uint64, wide bool) (*crashRun, error) {
	w, err := NewWorld(Options{Engines: 5, Plains: 1, Entries: 3, Latency: time.Millisecond, Logger: logr.Discard()})
	if err != nil {
		return nil, err
	}
	var callers sync.WaitGroup
	began := time.Now()
	until := began.Add(6 * time.Second)
	for n := range 8 {
		rng := newRand(seed, uint64(n))
		callers.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				j := generation(fmt.Sprintf("draft %d/%d", n, i), "", minTokens+rng.IntN(moreTokens), rng.IntN(2) == 0, false)
				w.send(fmt.Sprint("team-", n), rng.IntN(3), j, 0)
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			}
		})
	}
	if wide {
		for _, name := range w.targetNames()[:5] {
			rng := newRand(seed, uint64(len(name)))
			callers.Go(func() {
				for range 3 {
					time.Sleep(time.Duration(500+rng.IntN(500)) * time.Millisecond)
					w.crashEngine(w.targets[name])
				}
			})
		}
	} else {
		callers.Go(func() {
			time.Sleep(time.Second)
			for n := 0; time.Now().Before(until); n++ {
				w.send("crasher", n%3, generation(CrashMark, "", 64, true, false), n)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	w.Close()
	return summary(w, began), nil
}

func summary(w *World, began time.Time) *crashRun {
	r := &crashRun{innocents: make(map[string]int)}
	down := make(map[string]bool)
	for _, e := range w.History.Executions {
		if e.ID[:2] == "cr" {
			r.crashes++
			down[e.Target] = true
		}
	}
	r.targets = len(down)
	for _, i := range w.History.Invocations {
		if !i.CrashBody {
			r.innocents[i.Code.Info().Name]++
		} else if i.Code == result.CrashSuspect && r.refusedAt == 0 {
			r.refusedAt = i.Ended.Sub(began) - time.Second
		}
	}
	return r
}

// A request that crashes its target takes down two, and nobody else is refused.
// The first crash makes all that ran there suspects; each runs alone on one
// target; the culprit crashes that one too and is refused at every entry. Its
// bystanders' texts go on elsewhere and end well.
func TestACrashingRequestTakesDownTwoTargets(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			r, err := runCrasher(seed, false)
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Minute)
			g.Expect(r.targets).To(BeNumerically("<=", 2), "seed %d: %+v", seed, r)
			g.Expect(r.refusedAt).NotTo(BeZero(), "seed %d: %+v", seed, r)
			g.Expect(r.innocents).To(HaveLen(1), "seed %d: %+v", seed, r)
			g.Expect(r.innocents).To(HaveKey("ok"))
		})
	}
}

// Engines that crash for a reason of their own refuse no request.
// All of them go down several times in a few seconds; what ran there has nothing
// in common, so nobody is convicted for being on a second one.
func TestAFleetWideFaultRefusesNobody(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			r, err := runCrasher(seed, true)
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Minute)
			g.Expect(r.innocents).NotTo(HaveKey("crash_suspect"), "seed %d: %+v", seed, r)
			g.Expect(r.innocents["ok"]).To(BeNumerically(">", 50), "seed %d: %+v", seed, r)
		})
	}
}
