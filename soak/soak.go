// Package soak runs the real programs as separate processes on loopback, against
// stand-ins, and injects faults from outside them while callers check what was
// promised. A seed fixes which faults come and when; the moments at which they meet
// the programs are the machine's.
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

// Options are what a soak is started with.
type Options struct {
	Program string // path of heatherrail-gateway
	Seed    uint64
	For     time.Duration
	Entries int
	Targets int // of each of the two services
	Callers int
	Out     io.Writer // progress, and the time line of a failure
	// Config changes the configuration that entries get; for tests that must convict.
	Corrupt func(r Record) Record
}

// Report is the outcome of a soak.
type Report struct {
	Seed     uint64
	Requests int
	Whole    int // answered with a whole success
	Refused  int // with the promise that they did not run
	Faults   int
	Broken   []string // promises, with what was seen
}

// Soak is a running soak.
type soak struct {
	opts  Options
	begun time.Time
	rng   *rand.Rand
	fleet *fleet
	books *books

	mu     sync.Mutex
	line   []string
	faults int
}

// ErrBroken: a promise was broken.
var ErrBroken = errors.New("a promise was broken")

// Run runs one soak.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &soak{opts: o, begun: time.Now(), rng: rand.New(rand.NewPCG(o.Seed, 5)), books: newBooks(o.Corrupt)}
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
	s.play(ctx)
	return s.report(o.Out)
}

// calmAtEnd is how long no fault comes before the end, so that the last requests
// show whether the system has recovered.
const calmAtEnd = 3 * time.Second

func (s *soak) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.For)
	defer cancel()
	var tasks conc.WaitGroup
	for i := range s.opts.Callers {
		seed := s.rng.Uint64()
		tasks.Go(func() { s.call(ctx, i, seed) })
	}
	tasks.Go(func() { s.fleet.keepTargets(ctx) })
	end := s.begun.Add(s.opts.For - calmAtEnd)
	troubled, calm := context.WithDeadline(ctx, end)
	defer calm()
	var rates conc.WaitGroup
	for series := range rateSeries {
		rates.Go(func() { s.nameRates(troubled, series) })
	}
	for troubled.Err() == nil {
		s.fault(ctx)
	}
	rates.Wait()
	s.fleet.heal()
	s.note("calm until the end")
	tasks.Wait()
}

// note adds to the time line.
func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.line = append(s.line, fmt.Sprintf("%8.3f  ", time.Since(s.begun).Seconds())+fmt.Sprintf(format, args...))
}

func (s *soak) report(out io.Writer) (Report, error) {
	r := s.books.check(s.begun.Add(s.opts.For - calmAtEnd + recovery))
	r.Seed, r.Faults = s.opts.Seed, s.faults
	r.Broken = append(r.Broken, s.fleet.overrun()...)
	fmt.Fprintf(out, "seed %d: %d requests, %d whole, %d refused, %d faults, %d broken promises\n",
		r.Seed, r.Requests, r.Whole, r.Refused, r.Faults, len(r.Broken))
	if len(r.Broken) == 0 {
		return r, nil
	}
	for _, line := range s.line {
		fmt.Fprintln(out, line)
	}
	for _, b := range r.Broken {
		fmt.Fprintln(out, "BROKEN:", b)
	}
	return r, fmt.Errorf("%w: seed %d: %s", ErrBroken, r.Seed, r.Broken[0])
}

// recovery is how long after the last fault requests may still fail.
const recovery = 2 * time.Second
