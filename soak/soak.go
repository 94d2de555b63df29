// Package soak runs heatherrail-gateway in separate processes on loopback, with stand-ins
// for the store and the targets. It injects faults into processes, connections and
// stand-ins while callers send requests. Afterwards it checks the service guarantees
// against the records of callers and targets. The seed determines the sequence of faults
// and the intervals between them. The exact timing of a fault relative to the work in
// the processes varies from run to run.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Options configures a soak run.
type Options struct {
	Program  string // path of heatherrail-gateway
	Seed     uint64
	Duration time.Duration // length of the run
	Entries  int           // number of gateway processes
	Targets  int           // number of targets per service; there are two services
	Callers  int           // number of concurrent callers
	Out      io.Writer     // receives the summary and, after a violation, the timeline
	// Corrupt, if set, alters each caller's record before the checker stores it. Tests
	// use Corrupt to verify that the checker detects violations.
	Corrupt func(r Record) Record
}

// Report is the result of a soak run.
type Report struct {
	Seed       uint64
	Requests   int
	Succeeded  int      // requests answered 200 with a complete body
	Refused    int      // requests answered with a status that means "not run"
	Faults     int      // number of injected faults
	Violations []string // violated guarantees, each with the values seen
}

// soak is the state of one run.
type soak struct {
	opts      Options
	startedAt time.Time
	rng       *rand.Rand
	fleet     *fleet
	checker   *checker
	// disturbances holds when entries, by address, and proxies of targets were disturbed.
	disturbances disturbances

	mu       sync.Mutex
	timeline []string
	faults   int
}

// ErrViolation is the error of a run in which at least one service guarantee was violated.
var ErrViolation = errors.New("guarantee violated")

// Run runs one soak and writes its summary to o.Out. It returns ErrViolation if a
// guarantee was violated.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &soak{opts: o, startedAt: time.Now(), rng: rand.New(rand.NewPCG(o.Seed, 5)), checker: newChecker(o.Corrupt)}
	dir, err := os.MkdirTemp("", "heatherrail-soak")
	if err != nil {
		return Report{}, err
	}
	defer os.RemoveAll(dir)
	s.fleet, err = startFleet(s, dir)
	if err != nil {
		return Report{}, err
	}
	defer s.fleet.stop()
	s.run(ctx)
	return s.report(o.Out)
}

// faultFreePeriod is the time without faults at the end of a run. Requests sent in this
// period show whether the system has recovered, and whether a configuration that is published
// once the store is stable again comes into force in time.
const faultFreePeriod = storeStabilityTime + configApplyTime + 2*time.Second

func (s *soak) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Duration)
	defer cancel()
	var tasks conc.WaitGroup
	for i := range s.opts.Callers {
		seed := s.rng.Uint64()
		tasks.Go(func() { s.runCaller(ctx, i, seed) })
	}
	tasks.Go(func() { s.fleet.renewTargets(ctx) })
	tasks.Go(func() { s.fleet.toggleOrders(ctx) })
	end := s.startedAt.Add(s.opts.Duration - faultFreePeriod)
	faultCtx, cancelFaults := context.WithDeadline(ctx, end)
	defer cancelFaults()
	// The last rests end with the last faults, as the system must recover after these.
	restCtx, cancelRests := context.WithDeadline(ctx, end.Add(-maxRest))
	defer cancelRests()
	var statements conc.WaitGroup
	for series := range numStatementSeries {
		statements.Go(func() { s.injectRateLimits(faultCtx, series) })
		statements.Go(func() { s.injectRests(restCtx, series) })
	}
	tasks.Go(func() { s.runCrashers(ctx, faultCtx) })
	for faultCtx.Err() == nil {
		s.injectFault(ctx)
	}
	statements.Wait()
	s.fleet.clearFaults()
	s.disturbances.endOf(s.fleet.store, storeStabilityTime)
	for _, e := range s.fleet.entries {
		s.disturbances.endOf(e.proxy, storeStabilityTime)
	}
	s.logEvent("no more faults")
	sleep(ctx, storeStabilityTime+disturbanceMargin)
	s.logEvent("new configuration")
	s.fleet.publishConfig()
	tasks.Wait()
}

// logEvent appends a line with the elapsed time to the timeline.
func (s *soak) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeline = append(s.timeline, fmt.Sprintf("%8.3f  ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

func (s *soak) report(out io.Writer) (Report, error) {
	r := s.checker.check(s.startedAt.Add(s.opts.Duration - faultFreePeriod + recoveryTime))
	r.Seed, r.Faults = s.opts.Seed, s.faults
	r.Violations = append(r.Violations, s.fleet.rateLimitViolations()...)
	r.Violations = append(r.Violations, s.fleet.boundViolations()...)
	r.Violations = append(r.Violations, s.fleet.configViolations(s.checker.recordsOf(configured))...)
	r.Violations = append(r.Violations, s.crashViolations()...)
	fmt.Fprintf(out, "seed %d: %d requests, %d whole, %d refused, %d faults, %d broken promises\n",
		r.Seed, r.Requests, r.Succeeded, r.Refused, r.Faults, len(r.Violations))
	if len(r.Violations) == 0 {
		return r, nil
	}
	for _, line := range s.timeline {
		fmt.Fprintln(out, line)
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(out, "BROKEN:", violation)
	}
	return r, fmt.Errorf("%w: seed %d: %s", ErrViolation, r.Seed, r.Violations[0])
}

// recoveryTime is the time after the last fault within which requests may still
// fail without a violation.
const recoveryTime = 2 * time.Second
