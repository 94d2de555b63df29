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

// Timeouts and intervals of the demonstration.
const (
	readyTimeout        = 4 * time.Second
	settleTime          = 700 * time.Millisecond
	mapSwitchTimeout    = 2 * time.Second
	entryRemovalTimeout = 3 * time.Second
	pollInterval        = 10 * time.Millisecond
	endDelay            = 300 * time.Millisecond
)

// Report holds the measurements of a demonstration.
type Report struct {
	ReadyAfter, BalancedAfter, EntryRemovedAfter, ConfigAppliedAfter time.Duration
	ImbalanceBefore, ImbalanceAfter                                  float64
	GapBefore, GapDuringSwitch                                       time.Duration // longest gap between two events of any stream
	MixedMapPasses                                                   int           // passes in which ranks used different maps
	MaxExecutions                                                    int           // highest number of executions of one log entry
	Stats                                                            callerStats
}

// Run starts a system and writes a report on it to w. Callers send streams and log entries
// throughout, while demand shifts to other experts, an entry crashes and a new configuration
// adds a route. Run returns an error if a step times out or a guarantee is violated.
func Run(ctx context.Context, log logr.Logger, w io.Writer) error {
	f, err := Start(log)
	if err != nil {
		return fmt.Errorf("start the demo system: %w", err)
	}
	defer f.Close()
	r, err := f.show(ctx)
	if err != nil {
		return err
	}
	if err := r.write(w); err != nil {
		return err
	}
	return r.checkGuarantees()
}

// show runs the steps of the demonstration while callers send requests.
func (f *Fleet) show(ctx context.Context) (*Report, error) {
	r := &Report{}
	var err error
	if r.ReadyAfter, err = waitFor(ctx, readyTimeout, "all entries accept requests", f.isReady); err != nil {
		return nil, err
	}
	load := newLoadGenerator(f)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.run(loadCtx)
	}()
	steps := []func(context.Context, *loadGenerator, *Report) error{f.showSwitch, f.showCrash, f.showConfig}
	for _, step := range steps {
		if err := step(ctx, load, r); err != nil {
			return nil, err
		}
		sleep(ctx, settleTime)
	}
	stop()
	<-done
	r.Stats = load.takeStats()
	_, r.MaxExecutions = f.executions.totals()
	_, _, _, r.MixedMapPasses = f.engineGroup.State()
	return r, nil
}

func (f *Fleet) isReady() bool {
	return len(f.directoryAddresses()) == len(f.entries) && !slices.ContainsFunc(f.entries, func(vm *entryVM) bool { return !vm.gateway.Ready() })
}

// showSwitch waits until the expert map is balanced, shifts demand to other experts, and waits until
// the group has a map that is balanced for the new demand.
func (f *Fleet) showSwitch(ctx context.Context, load *loadGenerator, r *Report) error {
	if _, err := waitFor(ctx, mapSwitchTimeout, "a first balanced map", f.isBalanced); err != nil {
		return err
	}
	load.takeStats()
	sleep(ctx, settleTime)
	r.GapBefore = load.takeStats().LongestGap
	f.engineGroup.ShiftDemand(groupConfig.Experts / 3)
	_, r.ImbalanceBefore, _, _ = f.engineGroup.State()
	var err error
	if r.BalancedAfter, err = waitFor(ctx, mapSwitchTimeout, "a balanced map after the demand shift", f.isBalanced); err != nil {
		return err
	}
	_, r.ImbalanceAfter, _, _ = f.engineGroup.State()
	sleep(ctx, settleTime)
	r.GapDuringSwitch = load.takeStats().LongestGap
	return nil
}

// maxBalancedImbalance is the imbalance below which a map counts as balanced. Only a map that was
// planned for the current demand stays below it.
const maxBalancedImbalance = 1.3

// isBalanced reports whether the group has a planned map with an imbalance below
// maxBalancedImbalance.
func (f *Fleet) isBalanced() bool {
	version, imbalance, _, _ := f.engineGroup.State()
	return version != 0 && imbalance < maxBalancedImbalance
}

// showCrash crashes an entry, and waits until the directory no longer lists it and its address is
// unreachable.
func (f *Fleet) showCrash(ctx context.Context, _ *loadGenerator, r *Report) error {
	victim := len(f.entries) - 1
	address := f.entries[victim].callerAddr
	f.crashEntry(victim)
	var err error
	r.EntryRemovedAfter, err = waitFor(ctx, entryRemovalTimeout, "removal of the crashed entry from the directory", func() bool {
		return !slices.Contains(f.directoryAddresses(), address) && !isReachable(address)
	})
	return err
}

// showConfig applies a configuration that adds a route, and waits until all entries serve it.
func (f *Fleet) showConfig(ctx context.Context, load *loadGenerator, r *Report) error {
	f.store.PutConfig(f.config(2))
	var err error
	r.ConfigAppliedAfter, err = waitFor(ctx, configApplyTimeout, "the added route at all entries", func() bool {
		return !slices.ContainsFunc(f.entries, func(vm *entryVM) bool { return !vm.crashed && !load.servesAddedRoute(vm) })
	})
	return err
}

var errTimeout = errors.New("condition not met before the timeout")

// waitFor polls condition until it is true, and returns how long that took. It fails after timeout, or
// when ctx ends. The error contains what, a description of the condition.
func waitFor(ctx context.Context, timeout time.Duration, what string, condition func() bool) (time.Duration, error) {
	start := time.Now()
	for !condition() {
		if time.Since(start) > timeout || !sleep(ctx, pollInterval) {
			return 0, fmt.Errorf("%s: %w", what, errTimeout)
		}
	}
	return time.Since(start), nil
}

func (r *Report) write(w io.Writer) error {
	s := &r.Stats
	_, err := fmt.Fprintf(w, `%d entries, %d engines of one lock-step group with an agent each, %d plain targets
ready                    all entries accepted requests after %s
demand shift             imbalance %.2f; a balanced map (%.2f) was in use after %s
  streams meanwhile      longest gap between two events %s, %s before the shift (objective %s)
entry crash              removed from the directory after %s
configuration change     the added route was served by all entries after %s
streams                  %d sent, %d complete, %d within objectives
log entries              %d sent, %d answered, at most %d executions of any one
retries                  %d, each at another entry
passes with two maps     %d
`, entryCount, rankCount, plainTargetCount, ms(r.ReadyAfter), r.ImbalanceBefore, r.ImbalanceAfter, ms(r.BalancedAfter),
		ms(r.GapDuringSwitch), ms(r.GapBefore), ms(eventGapObjective), ms(r.EntryRemovedAfter), ms(r.ConfigAppliedAfter),
		s.Drafts, s.DraftsComplete, s.DraftsOnTime, s.Logs, s.LogsAnswered, r.MaxExecutions, s.Retries, r.MixedMapPasses)
	return err
}

func ms(d time.Duration) string { return d.Round(time.Millisecond).String() }

// Errors for violated guarantees.
var (
	errMixedMaps          = errors.New("a pass ran while ranks used different maps")
	errDuplicateExecution = errors.New("a log entry ran more than once")
	errIncompleteStream   = errors.New("a stream stayed incomplete after all attempts")
	errNothingSent        = errors.New("callers sent no streams or no log entries")
)

// checkGuarantees returns the error of the first violated guarantee.
func (r *Report) checkGuarantees() error {
	switch {
	case r.MixedMapPasses > 0:
		return errMixedMaps
	case r.MaxExecutions > 1:
		return errDuplicateExecution
	case r.Stats.DraftsComplete < r.Stats.Drafts:
		return errIncompleteStream
	case r.Stats.Drafts == 0 || r.Stats.Logs == 0:
		return errNothingSent
	}
	return nil
}
