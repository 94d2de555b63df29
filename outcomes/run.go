package outcomes

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/heatherrail/heatherrail/internal/safeguard"
)

// Plan describes one run: the faults and the load of callers.
type Plan struct {
	Seed     uint64
	Faults   []Fault // injected concurrently
	Callers  int
	Duration time.Duration
	Off      safeguard.Off
	Logger   logr.Logger
}

// PlanForSeed returns the plan of a seed, with one or two faults. In one plan of four, targets also
// ask for rest.
func PlanForSeed(seed uint64) Plan {
	rng := newRand(seed, seed)
	p := Plan{Seed: seed, Callers: 5, Duration: 6 * time.Second, Logger: logr.Discard()}
	p.Faults = append(p.Faults, Faults[seed%uint64(len(Faults))])
	if rng.IntN(3) > 0 {
		p.Faults = append(p.Faults, Faults[rng.IntN(len(Faults))])
	}
	if rng.IntN(4) == 0 {
		p.Faults = append(p.Faults, FaultRest)
	}
	return p
}

// Run executes a plan and returns the world with its recorded history.
func Run(p Plan) (*World, error) {
	w, err := NewWorld(Options{Engines: 3, PlainTargets: 3, Entries: 3, Latency: time.Millisecond / 2, Off: p.Off, Logger: p.Logger})
	if err != nil {
		return nil, err
	}
	var callers, faults sync.WaitGroup
	until := time.Now().Add(p.Duration)
	for n := range p.Callers {
		c := &caller{world: w, team: fmt.Sprintf("team-%d", n), rng: newRand(p.Seed, uint64(n))}
		callers.Go(func() { c.run(until) })
	}
	for n, f := range p.Faults {
		rng := newRand(p.Seed, uint64(1000+n))
		if f == FaultCrashRequest {
			c := &caller{world: w, team: "crasher", rng: rng, crashing: true}
			callers.Go(func() { c.run(until) })
			continue
		}
		faults.Go(func() {
			for time.Now().Before(until.Add(-2 * time.Second)) {
				time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond)
				w.inject(f, rng)
			}
		})
	}
	callers.Wait()
	faults.Wait()
	w.recordRests()
	w.Close()
	return w, nil
}

func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
