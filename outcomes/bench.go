package outcomes

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/heatherrail/heatherrail/bench"
	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/internal/safeguard"
	"github.com/heatherrail/heatherrail/result"
)

// parallelRuns bounds the systems that run at the same time.
const parallelRuns = 8

// Bench fills the report with what the issue of outcomes asks for. It runs in
// real time.
func Bench(r *bench.Report, seeds int) error {
	for _, part := range []func(*bench.Report) error{benchOnce, benchOutage, benchContinuation, benchCrash} {
		if err := part(r); err != nil {
			return err
		}
	}
	return benchFaults(r, seeds)
}

// benchFaults runs plans and reports, for each set of faults, goodput and shares.
func benchFaults(r *bench.Report, seeds int) error {
	type outcome struct {
		world *World
		plan  Plan
		err   error
	}
	results := make([]outcome, seeds)
	places := make(chan struct{}, parallelRuns)
	var wait sync.WaitGroup
	for n := range seeds {
		wait.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			p := PlanForSeed(r.Seed + uint64(n))
			w, err := Run(p)
			results[n] = outcome{world: w, plan: p, err: err}
		})
	}
	wait.Wait()
	violations, asked := 0, 0
	for _, o := range results {
		if o.err != nil {
			return o.err
		}
		violations += len(Check(o.world.History))
		asked += len(o.world.History.Invocations)
		reportShares(r, fmt.Sprintf("seed %d %v", o.plan.Seed, o.plan.Faults), o.world.History, o.plan.Duration)
	}
	r.Add("all seeds", "requests", "count", float64(asked))
	r.Add("all seeds", "broken promises", "count", float64(violations))
	return nil
}

func reportShares(r *bench.Report, name string, h *History, took time.Duration) {
	counts, asked := make(map[result.Code]int), 0
	for _, i := range h.Invocations {
		if !i.CrashBody {
			counts[i.Code]++
			asked++
		}
	}
	r.Add(name, "goodput", "1/s", float64(counts[result.OK])/took.Seconds())
	for _, info := range result.All() {
		if n := counts[info.Code]; n > 0 {
			r.Add(name, info.Name, "share", float64(n)/float64(asked))
		}
	}
}

const (
	onceRequests = 3000
	onceCallers  = 24
	logDelay     = 5 * time.Millisecond
)

// benchOnce compares the ways to run a request at most once with the plain path.
// All ways share one system, one after the other; each call of the log takes
// logDelay.
func benchOnce(r *bench.Report) error {
	w, err := NewWorld(Options{PlainTargets: 3, Entries: 3, Logger: logr.Discard()})
	if err != nil {
		return err
	}
	defer w.Close()
	w.Log.SetFaults(fake.LogFaults{Delay: logDelay})
	for _, t := range w.targets {
		t.plain.SetDelay(0)
	}
	open := func(at int, key string) {
		j := plainJob(key)
		j.key = ""
		w.send("team-0", at, j, 0)
	}
	claims := newClaims(w.Log)
	defer claims.close()
	ways := []struct {
		name string
		send func(at int, key string)
	}{
		{"plain path", open},
		{"home agent", func(at int, key string) { w.send("team-0", at, plainJob(key), 0) }},
		{"plain path again", open},
		{"log claim, batched", func(at int, key string) { claims.append(key); open(at, key) }},
	}
	for _, way := range ways {
		appends, asked := w.Log.Appends(), len(w.History.Invocations)
		began := time.Now()
		times := timeAll(way.name, way.send)
		seconds := time.Since(began).Seconds()
		slices.Sort(times)
		r.Add(way.name, "median", "ms", ms(times[len(times)/2]))
		r.Add(way.name, "p99", "ms", ms(times[len(times)*99/100]))
		r.Add(way.name, "log appends", "1/s", float64(w.Log.Appends()-appends)/seconds)
		r.Add(way.name, "requests", "1/s", onceRequests/seconds)
		r.Add(way.name, "answered whole", "share", wholeShare(w.History.Invocations[asked:]))
	}
	return nil
}

func wholeShare(list []*Invocation) float64 {
	whole := 0
	for _, i := range list {
		if i.Code == result.OK {
			whole++
		}
	}
	return float64(whole) / float64(len(list))
}

func timeAll(name string, send func(at int, key string)) []time.Duration {
	times := make([]time.Duration, onceRequests)
	var wait sync.WaitGroup
	for c := range onceCallers {
		wait.Go(func() {
			for n := c; n < onceRequests; n += onceCallers {
				began := time.Now()
				send(n%3, fmt.Sprintf("%s-%d", name, n))
				times[n] = time.Since(began)
			}
		})
	}
	wait.Wait()
	return times
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func plainJob(key string) job {
	return job{service: ServicePlain, path: "/entries/" + key, body: "entry " + key, key: key}
}

// claims is the way that was not taken: a claim on the log before the dispatch,
// all that gather during one append in the next.
type claims struct {
	log  *fake.Log
	in   chan claim
	done chan struct{}
}

type claim struct {
	record []byte
	ok     chan struct{}
}

func newClaims(log *fake.Log) *claims {
	c := &claims{log: log, in: make(chan claim, onceCallers), done: make(chan struct{})}
	go c.run()
	return c
}

func (c *claims) append(key string) {
	one := claim{record: []byte(key), ok: make(chan struct{})}
	c.in <- one
	<-one.ok
}

func (c *claims) close() { close(c.in); <-c.done }

func (c *claims) run() {
	defer close(c.done)
	for first := range c.in {
		batch := []claim{first}
		for more := true; more; {
			select {
			case next, ok := <-c.in:
				if more = ok; ok {
					batch = append(batch, next)
				}
			default:
				more = false
			}
		}
		records := make([][]byte, len(batch))
		for i := range batch {
			records[i] = batch[i].record
		}
		_, _ = c.log.Append(context.Background(), records) // the stand-in fails only on demand
		for i := range batch {
			close(batch[i].ok)
		}
	}
}

const outageRequests = 2000

// benchOutage loses every call of a service in mid-run and counts what reaches
// its targets.
func benchOutage(r *bench.Report) error {
	w, err := NewWorld(Options{PlainTargets: 3, Entries: 3, Logger: logr.Discard()})
	if err != nil {
		return err
	}
	defer w.Close()
	for _, t := range w.targets {
		t.backend.broken.Store(true)
	}
	var wait sync.WaitGroup
	for c := range onceCallers {
		wait.Go(func() {
			for n := c; n < outageRequests; n += onceCallers {
				j := plainJob(fmt.Sprint(n))
				j.key = ""
				w.send("team-0", n%3, j, 0)
			}
		})
	}
	wait.Wait()
	calls := int64(0)
	for _, t := range w.targets {
		calls += t.backend.calls.Load()
	}
	r.Add("full outage", "sent/asked", "ratio", float64(calls)/outageRequests)
	return nil
}

const (
	cutTokens = 256
	cutRuns   = 8
)

// benchContinuation cuts generations half way, and lets them go on or start over.
func benchContinuation(r *bench.Report) error {
	for _, way := range []struct {
		name string
		off  safeguard.Off
	}{{"continued", safeguard.Off{}}, {"started over", safeguard.Off{Continue: true}}} {
		tokens, took := 0, time.Duration(0)
		for n := range cutRuns {
			i, produced, err := cutOne(n, way.off)
			if err != nil {
				return err
			}
			tokens += produced
			took += i.EndedAt.Sub(i.StartedAt)
		}
		r.Add(way.name, "tokens generated for 256", "count", float64(tokens)/cutRuns)
		r.Add(way.name, "time to finish", "ms", ms(took)/cutRuns)
	}
	return nil
}

// cutOne returns the cut request and the tokens that all engines made for it.
func cutOne(n int, off safeguard.Off) (*Invocation, int, error) {
	w, err := NewWorld(Options{Engines: 2, PlainTargets: 1, Entries: 1, Off: off, Logger: logr.Discard()})
	if err != nil {
		return nil, 0, err
	}
	defer w.Close()
	for _, t := range w.targets {
		if t.engine != nil {
			w.after(cutTokens/2*stepTime, func() {
				if t.engine.Active() > 0 {
					t.engine.Kill()
				}
			})
		}
	}
	i := w.send("team-0", 0, generation(fmt.Sprint("text ", n), "", cutTokens, true, false), 0)
	tokens := 0
	for _, e := range w.History.Executions {
		tokens += strings.Count(e.Output, `"choices"`)
	}
	return i, tokens, nil
}

const crashRuns = 8

// benchCrash reports how far a crashing request gets.
func benchCrash(r *bench.Report) error {
	runs := make([]*crashRun, crashRuns)
	errs := make([]error, crashRuns)
	var wait sync.WaitGroup
	for n := range crashRuns {
		wait.Go(func() { runs[n], errs[n] = runCrasher(r.Seed+uint64(n), false) })
	}
	wait.Wait()
	most, slowest, refused, asked := 0, time.Duration(0), 0, 0
	for n, run := range runs {
		if errs[n] != nil {
			return errs[n]
		}
		most = max(most, run.targets)
		slowest = max(slowest, run.refusedAt)
		for name, count := range run.innocents {
			asked += count
			if name != result.OK.Info().Name {
				refused += count
			}
		}
	}
	r.Add("crashing request", "targets taken down, most of 8 runs", "count", float64(most))
	r.Add("crashing request", "until refused, slowest of 8 runs", "ms", ms(slowest))
	r.Add("crashing request", "others asked", "count", float64(asked))
	r.Add("crashing request", "others not answered whole", "count", float64(refused))
	return nil
}
