package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/go-logr/logr"
)

// Times of the show.
const (
	readyWithin  = 4 * time.Second
	calmFor      = 700 * time.Millisecond
	followWithin = 2 * time.Second
	leaveWithin  = 3 * time.Second
	lookEvery    = 10 * time.Millisecond
	afterwards   = 300 * time.Millisecond
)

// Report is what the show has seen.
type Report struct {
	Ready, MapFollowed, EntryLeft, ConfigApplied time.Duration
	ImbalanceBefore, ImbalanceAfter              float64
	PauseCalm, PauseSwitch                       time.Duration // the longest of any stream
	MapsMixed                                    int
	RunsMost                                     int // of one log entry
	Tally                                        tally
}

// Run starts a system and shows what it does: callers send streams and log entries all the
// while, other experts are wanted, an entry crashes, a configuration adds a route. The report
// is written to w; an error tells what did not go as it must.
func Run(ctx context.Context, log logr.Logger, w io.Writer) error {
	f, err := Start(log)
	if err != nil {
		return fmt.Errorf("start the demo's system: %w", err)
	}
	defer f.Close()
	r, err := f.show(ctx)
	if err != nil {
		return err
	}
	if err := r.write(w); err != nil {
		return err
	}
	return r.verdict()
}

func (f *Fleet) show(ctx context.Context) (*Report, error) {
	r := &Report{}
	var err error
	if r.Ready, err = until(ctx, readyWithin, "the entries take requests", f.ready); err != nil {
		return nil, err
	}
	c := newCallers(f)
	calling, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(calling)
	}()
	steps := []func(context.Context, *callers, *Report) error{f.showSwitch, f.showCrash, f.showConfig}
	for _, step := range steps {
		if err := step(ctx, c, r); err != nil {
			return nil, err
		}
		sleep(ctx, calmFor)
	}
	stop()
	<-done
	r.Tally = c.take()
	_, r.RunsMost = f.books.most()
	_, _, _, r.MapsMixed = f.group.State()
	return r, nil
}

func (f *Fleet) ready() bool {
	return len(f.directory()) == len(f.entries) && !slices.ContainsFunc(f.entries, func(vm *entryVM) bool { return !vm.gateway.Ready() })
}

// showSwitch waits until the map fits what is wanted, and has other experts wanted.
func (f *Fleet) showSwitch(ctx context.Context, c *callers, r *Report) error {
	if _, err := until(ctx, followWithin, "a first map", f.even); err != nil {
		return err
	}
	c.take()
	sleep(ctx, calmFor)
	r.PauseCalm = c.take().LongestPause
	f.group.ShiftDemand(shape.Experts / 3)
	_, r.ImbalanceBefore, _, _ = f.group.State()
	var err error
	if r.MapFollowed, err = until(ctx, followWithin, "a map that fits what is wanted now", f.even); err != nil {
		return err
	}
	_, r.ImbalanceAfter, _, _ = f.group.State()
	sleep(ctx, calmFor)
	r.PauseSwitch = c.take().LongestPause
	return nil
}

// fits is an imbalance that a map has which was made for what is wanted.
const fits = 1.3

func (f *Fleet) even() bool {
	version, imbalance, _, _ := f.group.State()
	return version != 0 && imbalance < fits
}

// showCrash ends an entry without notice.
func (f *Fleet) showCrash(ctx context.Context, _ *callers, r *Report) error {
	victim := len(f.entries) - 1
	address := f.entries[victim].callers
	f.kill(victim)
	var err error
	r.EntryLeft, err = until(ctx, leaveWithin, "the crashed entry left out of the directory", func() bool {
		return !slices.Contains(f.directory(), address) && !reachable(address)
	})
	return err
}

// showConfig applies a configuration that adds a route.
func (f *Fleet) showConfig(ctx context.Context, c *callers, r *Report) error {
	f.store.PutConfig(f.config(2))
	var err error
	r.ConfigApplied, err = until(ctx, configApply, "the added route served by all entries", func() bool {
		return !slices.ContainsFunc(f.entries, func(vm *entryVM) bool { return !vm.down && !c.served(vm) })
	})
	return err
}

var errLate = errors.New("did not come about in time")

// until waits for something to hold and returns how long that took.
func until(ctx context.Context, limit time.Duration, what string, holds func() bool) (time.Duration, error) {
	begun := time.Now()
	for !holds() {
		if time.Since(begun) > limit || !sleep(ctx, lookEvery) {
			return 0, fmt.Errorf("%s: %w", what, errLate)
		}
	}
	return time.Since(begun), nil
}

func (r *Report) write(w io.Writer) error {
	t := &r.Tally
	_, err := fmt.Fprintf(w, `%d entries, %d engines of one lock-step group with an agent each, %d plain targets
ready                    all entries took requests after %s
demand moved             imbalance %.2f; a map that fits (%.2f) was in use after %s
  streams meanwhile      longest pause of any stream %s, %s before the move (aim %s)
an entry crashed         left out of the directory after %s
a configuration          its new route was served by all entries after %s
streams                  %d sent, %d whole, %d in time
log entries              %d sent, %d answered, no one ran more than %d time
sent again               %d requests, to another entry
passes with two maps     %d
`, entryVMs, rankVMs, plainVMs, ms(r.Ready), r.ImbalanceBefore, r.ImbalanceAfter, ms(r.MapFollowed),
		ms(r.PauseSwitch), ms(r.PauseCalm), ms(pauseAim), ms(r.EntryLeft), ms(r.ConfigApplied),
		t.Drafts, t.DraftsWhole, t.DraftsInTime, t.Logs, t.LogsAnswered, r.RunsMost, t.Again, r.MapsMixed)
	return err
}

func ms(d time.Duration) string { return d.Round(time.Millisecond).String() }

// Errors of the show: promises that were not kept.
var (
	errMixed   = errors.New("a pass began while ranks used different maps")
	errTwice   = errors.New("a log entry ran more than once")
	errBroken  = errors.New("a stream never came whole")
	errNothing = errors.New("nothing was sent")
)

func (r *Report) verdict() error {
	switch {
	case r.MapsMixed > 0:
		return errMixed
	case r.RunsMost > 1:
		return errTwice
	case r.Tally.DraftsWhole < r.Tally.Drafts:
		return errBroken
	case r.Tally.Drafts == 0 || r.Tally.Logs == 0:
		return errNothing
	}
	return nil
}
