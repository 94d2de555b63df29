package outcomes

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/heatherrail/heatherrail/result"
)

const crasherTeam = "crasher"

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
	w, err := NewWorld(Options{Engines: 5, PlainTargets: 1, Entries: 3, Latency: time.Millisecond, Logger: logr.Discard()})
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
				w.send(crasherTeam, n%3, generation(CrashMarker, "", 64, true, false), n)
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
		if strings.HasPrefix(e.ID, crasherTeam) {
			r.crashes++
			down[e.Target] = true
		}
	}
	r.targets = len(down)
	for _, i := range w.History.Invocations {
		if !i.CrashBody {
			r.innocents[i.Code.Info().Name]++
		} else if i.Code == result.CrashSuspect && r.refusedAt == 0 {
			r.refusedAt = i.EndedAt.Sub(began) - time.Second
		}
	}
	return r
}
