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

// crashResult is the result of a run with a crashing request.
type crashResult struct {
	crashes      int            // executions of the crashing request
	targets      int            // targets that the crashing request crashed
	refusedAfter time.Duration  // time from the first attempt of the crashing request to its first refusal as a suspect
	otherResults map[string]int // result names of the other requests, with counts
}

// runCrasher runs callers while one caller repeats a crashing request through all
// entries. With fleetWide there is no such caller; all engines crash on their own
// instead.
func runCrasher(seed uint64, fleetWide bool) (*crashResult, error) {
	w, err := NewWorld(Options{Engines: 5, PlainTargets: 1, Entries: 3, Latency: time.Millisecond, Logger: logr.Discard()})
	if err != nil {
		return nil, err
	}
	var callers sync.WaitGroup
	startedAt := time.Now()
	until := startedAt.Add(6 * time.Second)
	for n := range 8 {
		rng := newRand(seed, uint64(n))
		callers.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				j := generationJob(fmt.Sprintf("draft %d/%d", n, i), "", minTokens+rng.IntN(extraTokens), rng.IntN(2) == 0, false)
				w.send(fmt.Sprint("team-", n), rng.IntN(3), j, 0)
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			}
		})
	}
	if fleetWide {
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
				w.send(crasherTeam, n%3, generationJob(CrashMarker, "", 64, true, false), n)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	w.Close()
	return summarise(w, startedAt), nil
}

func summarise(w *World, startedAt time.Time) *crashResult {
	r := &crashResult{otherResults: make(map[string]int)}
	crashedTargets := make(map[string]bool)
	for _, e := range w.History.Executions {
		if strings.HasPrefix(e.ID, crasherTeam) {
			r.crashes++
			crashedTargets[e.Target] = true
		}
	}
	r.targets = len(crashedTargets)
	for _, i := range w.History.Invocations {
		if !i.CrashBody {
			r.otherResults[i.Code.Info().Name]++
		} else if i.Code == result.CrashSuspect && r.refusedAfter == 0 {
			r.refusedAfter = i.EndedAt.Sub(startedAt) - time.Second
		}
	}
	return r
}
