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

// maxParallelRuns limits the number of systems that run at the same time.
const maxParallelRuns = 8

// Bench measures outcomes under faults, deduplication, continuation and crashing
// requests, and adds the measures to r. seeds is the number of fault plans. The
// systems run in real time.
func Bench(r *bench.Report, seeds int) error {
	for _, part := range []func(*bench.Report) error{benchAtMostOnce, benchOutage, benchContinuation, benchCrash} {
		if err := part(r); err != nil {
			return err
		}
	}
	return benchFaults(r, seeds)
}

// benchFaults runs one fault plan for each seed, and reports goodput and the share of
// each result code for each plan.
func benchFaults(r *bench.Report, seeds int) error {
	type outcome struct {
		world *World
		plan  Plan
		err   error
	}
	results := make([]outcome, seeds)
	runSlots := make(chan struct{}, maxParallelRuns)
	var wg sync.WaitGroup
	for n := range seeds {
		wg.Go(func() {
			runSlots <- struct{}{}
			defer func() { <-runSlots }()
			p := PlanForSeed(r.Seed + uint64(n))
			w, err := Run(p)
			results[n] = outcome{world: w, plan: p, err: err}
		})
	}
	wg.Wait()
	violations, total := 0, 0
	for _, o := range results {
		if o.err != nil {
			return o.err
		}
		violations += len(Check(o.world.History))
		total += len(o.world.History.Invocations)
		reportShares(r, fmt.Sprintf("seed %d %v", o.plan.Seed, o.plan.Faults), o.world.History, o.plan.Duration)
	}
	r.Add("all seeds", "requests", "count", float64(total))
	r.Add("all seeds", "broken promises", "count", float64(violations))
	return nil
}

func reportShares(r *bench.Report, name string, h *History, took time.Duration) {
	counts, total := make(map[result.Code]int), 0
	for _, i := range h.Invocations {
		if !i.CrashBody {
			counts[i.Code]++
			total++
		}
	}
	r.Add(name, "goodput", "1/s", float64(counts[result.OK])/took.Seconds())
	for _, info := range result.All() {
		if n := counts[info.Code]; n > 0 {
			r.Add(name, info.Name, "share", float64(n)/float64(total))
		}
	}
}

const (
	requestsPerVariant = 3000
	benchCallers       = 24
	logDelay           = 5 * time.Millisecond
)

// benchAtMostOnce compares the latency of at-most-once execution with that of requests
// without a key. All variants run on one system, one after the other. Each call of
// the log service takes logDelay.
func benchAtMostOnce(r *bench.Report) error {
	w, err := NewWorld(Options{PlainTargets: 3, Entries: 3, Logger: logr.Discard()})
	if err != nil {
		return err
	}
	defer w.Close()
	w.Log.SetFaults(fake.LogFaults{Delay: logDelay})
	for _, t := range w.targets {
		t.plain.SetDelay(0)
	}
	sendPlain := func(entryIdx int, key string) {
		j := plainJob(key)
		j.key = ""
		w.send("team-0", entryIdx, j, 0)
	}
	claims := newLogClaims(w.Log)
	defer claims.close()
	variants := []struct {
		name string
		send func(entryIdx int, key string)
	}{
		{"plain path", sendPlain},
		{"home agent", func(entryIdx int, key string) { w.send("team-0", entryIdx, plainJob(key), 0) }},
		{"plain path again", sendPlain},
		{"log claim, batched", func(entryIdx int, key string) { claims.append(key); sendPlain(entryIdx, key) }},
	}
	for _, variant := range variants {
		appendsBefore, sentBefore := w.Log.Appends(), len(w.History.Invocations)
		startedAt := time.Now()
		times := measureLatencies(variant.name, variant.send)
		seconds := time.Since(startedAt).Seconds()
		slices.Sort(times)
		r.Add(variant.name, "median", "ms", milliseconds(times[len(times)/2]))
		r.Add(variant.name, "p99", "ms", milliseconds(times[len(times)*99/100]))
		r.Add(variant.name, "log appends", "1/s", float64(w.Log.Appends()-appendsBefore)/seconds)
		r.Add(variant.name, "requests", "1/s", requestsPerVariant/seconds)
		r.Add(variant.name, "answered whole", "share", completeShare(w.History.Invocations[sentBefore:]))
	}
	return nil
}

func completeShare(list []*Invocation) float64 {
	complete := 0
	for _, i := range list {
		if i.Code == result.OK {
			complete++
		}
	}
	return float64(complete) / float64(len(list))
}

func measureLatencies(name string, send func(entryIdx int, key string)) []time.Duration {
	times := make([]time.Duration, requestsPerVariant)
	var wg sync.WaitGroup
	for callerIdx := range benchCallers {
		wg.Go(func() {
			for n := callerIdx; n < requestsPerVariant; n += benchCallers {
				startedAt := time.Now()
				send(n%3, fmt.Sprintf("%s-%d", name, n))
				times[n] = time.Since(startedAt)
			}
		})
	}
	wg.Wait()
	return times
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func plainJob(key string) job {
	return job{service: ServicePlain, path: "/entries/" + key, body: "entry " + key, key: key}
}

// logClaims implements the rejected design: a claim is appended to the log before each
// dispatch. Claims that arrive during an append are batched into the next one.
type logClaims struct {
	log  *fake.Log
	in   chan claim
	done chan struct{}
}

type claim struct {
	record []byte
	ok     chan struct{}
}

func newLogClaims(log *fake.Log) *logClaims {
	c := &logClaims{log: log, in: make(chan claim, benchCallers), done: make(chan struct{})}
	go c.run()
	return c
}

func (c *logClaims) append(key string) {
	one := claim{record: []byte(key), ok: make(chan struct{})}
	c.in <- one
	<-one.ok
}

func (c *logClaims) close() { close(c.in); <-c.done }

func (c *logClaims) run() {
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
		_, _ = c.log.Append(context.Background(), records) // the fake log fails only with LogFaults set
		for i := range batch {
			close(batch[i].ok)
		}
	}
}

const outageRequests = 2000

// benchOutage fails every call of a service after it was sent, and reports how many
// calls reach its targets per request.
func benchOutage(r *bench.Report) error {
	w, err := NewWorld(Options{PlainTargets: 3, Entries: 3, Logger: logr.Discard()})
	if err != nil {
		return err
	}
	defer w.Close()
	for _, t := range w.targets {
		t.backend.failing.Store(true)
	}
	var wg sync.WaitGroup
	for callerIdx := range benchCallers {
		wg.Go(func() {
			for n := callerIdx; n < outageRequests; n += benchCallers {
				j := plainJob(fmt.Sprint(n))
				j.key = ""
				w.send("team-0", n%3, j, 0)
			}
		})
	}
	wg.Wait()
	calls := int64(0)
	for _, t := range w.targets {
		calls += t.backend.calls.Load()
	}
	r.Add("full outage", "sent/asked", "ratio", float64(calls)/outageRequests)
	return nil
}

const (
	continuationTokens = 256
	continuationRuns   = 8
)

// benchContinuation kills the engine half way through generations and compares
// continuing on another engine with starting over.
func benchContinuation(r *bench.Report) error {
	for _, variant := range []struct {
		name string
		off  safeguard.Off
	}{{"continued", safeguard.Off{}}, {"started over", safeguard.Off{Continue: true}}} {
		tokens, took := 0, time.Duration(0)
		for n := range continuationRuns {
			i, produced, err := runInterrupted(n, variant.off)
			if err != nil {
				return err
			}
			tokens += produced
			took += i.EndedAt.Sub(i.StartedAt)
		}
		r.Add(variant.name, "tokens generated for 256", "count", float64(tokens)/continuationRuns)
		r.Add(variant.name, "time to finish", "ms", milliseconds(took)/continuationRuns)
	}
	return nil
}

// runInterrupted returns the interrupted request and the number of tokens that all
// engines generated for it.
func runInterrupted(n int, off safeguard.Off) (*Invocation, int, error) {
	w, err := NewWorld(Options{Engines: 2, PlainTargets: 1, Entries: 1, Off: off, Logger: logr.Discard()})
	if err != nil {
		return nil, 0, err
	}
	defer w.Close()
	for _, t := range w.targets {
		if t.engine != nil {
			w.after(continuationTokens/2*stepTime, func() {
				if t.engine.Active() > 0 {
					t.engine.Kill()
				}
			})
		}
	}
	i := w.send("team-0", 0, generationJob(fmt.Sprint("text ", n), "", continuationTokens, true, false), 0)
	tokens := 0
	for _, e := range w.History.Executions {
		tokens += strings.Count(e.Output, `"choices"`)
	}
	return i, tokens, nil
}

const crashRuns = 8

// benchCrash reports how many targets a crashing request takes down and how long it
// takes until the request is refused.
func benchCrash(r *bench.Report) error {
	runs := make([]*crashResult, crashRuns)
	errs := make([]error, crashRuns)
	var wg sync.WaitGroup
	for n := range crashRuns {
		wg.Go(func() { runs[n], errs[n] = runCrasher(r.Seed+uint64(n), false) })
	}
	wg.Wait()
	maxTargets, slowest, refused, total := 0, time.Duration(0), 0, 0
	for n, run := range runs {
		if errs[n] != nil {
			return errs[n]
		}
		maxTargets = max(maxTargets, run.targets)
		slowest = max(slowest, run.refusedAfter)
		for name, count := range run.otherResults {
			total += count
			if name != result.OK.Info().Name {
				refused += count
			}
		}
	}
	r.Add("crashing request", "targets taken down, most of 8 runs", "count", float64(maxTargets))
	r.Add("crashing request", "until refused, slowest of 8 runs", "ms", milliseconds(slowest))
	r.Add("crashing request", "others asked", "count", float64(total))
	r.Add("crashing request", "others not answered whole", "count", float64(refused))
	return nil
}
