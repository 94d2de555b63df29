package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/heatherrail/heatherrail/serving"
)

// loadFollower keeps the loads of all rank groups of a service up to date, with one reader per
// group. It learns from the engines which groups exist: while some engines belong to no group with
// a reader, one more reader polls these engines.
//
// If an entry knew the loads of only one of several groups, it would assume the same load for the
// others, and queues would form in some engines while others had headroom.
type loadFollower struct {
	g       *Gateway
	service string

	mu        sync.Mutex
	engines   map[string][]string    // engine addresses by group
	readers   map[string]*loadReader // by group
	searching bool                   // a reader is looking for a group
	noGroupAt map[string]time.Time   // when a search for a group last failed, by engine address
}

const (
	// groupSearchInterval is the pause between two searches for a group without a reader. Such
	// a group gets no requests while another group runs.
	groupSearchInterval = 100 * time.Millisecond
	// engineRetryDelay is how long a search skips an engine that was unreachable or in no group.
	engineRetryDelay = 5 * time.Second
)

// followLoads polls the loads of a service until ctx ends.
func (g *Gateway) followLoads(ctx context.Context, service string) {
	f := newLoadFollower(g, service)
	var tasks conc.WaitGroup
	for ctx.Err() == nil {
		if f.tryBeginSearch() {
			tasks.Go(func() { f.runReader(ctx) })
		}
		sleep(ctx, groupSearchInterval)
	}
	tasks.Wait()
}

func newLoadFollower(g *Gateway, service string) *loadFollower {
	return &loadFollower{
		g:         g,
		service:   service,
		engines:   make(map[string][]string),
		readers:   make(map[string]*loadReader),
		noGroupAt: make(map[string]time.Time),
	}
}

// tryBeginSearch reports whether a new reader is to search for a group, and marks the search as
// started.
func (f *loadFollower) tryBeginSearch() bool {
	snap := f.g.state.snapshot()
	if snap == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.searching || len(f.uncoveredTargets(snap.targets[f.service])) == 0 {
		return false
	}
	f.searching = true
	return true
}

// runReader polls the loads of one group until the reader is not needed any more.
func (f *loadFollower) runReader(ctx context.Context) {
	r := &loadReader{g: f.g, follower: f, service: f.service}
	for ctx.Err() == nil {
		if r.poll(ctx) {
			sleep(ctx, r.pollInterval())
			continue
		}
		if f.stopIfUnneeded(r) {
			return
		}
		sleep(ctx, loadsRetryDelay)
	}
}

// claimGroup assigns a group to a reader; it returns false if another reader has the group. A
// reader may change groups if the engines that it polls have moved to another group.
func (f *loadFollower) claimGroup(r *loadReader, group string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.readers[group]
	switch {
	case current == r:
		return true
	case current != nil:
		return false
	}
	f.releaseGroup(r)
	f.readers[group], r.group = r, group
	f.searching = false
	return true
}

// releaseGroup removes the group of a reader. The lock must be held.
func (f *loadFollower) releaseGroup(r *loadReader) {
	if f.readers[r.group] == r {
		delete(f.readers, r.group)
		delete(f.engines, r.group)
	}
}

// setEngines sets the engines of a group.
func (f *loadFollower) setEngines(group string, engines []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[group] = engines
}

// stopIfUnneeded reports whether a reader ends after a failed poll, and releases its group or its
// search if so. A reader that was searching ends if other groups have readers, so that the next
// search polls another engine. A reader with a group ends if the group has no engines left.
func (f *loadFollower) stopIfUnneeded(r *loadReader) bool {
	snap := f.g.state.snapshot()
	f.mu.Lock()
	defer f.mu.Unlock()
	readerCount := len(f.readers)
	if f.readers[r.group] == r {
		if snap == nil || len(f.groupTargets(r.group, snap.targets[f.service])) > 0 {
			return false
		}
		f.releaseGroup(r)
		return true
	}
	if readerCount == 0 {
		return false
	}
	f.searching = false
	f.noGroupAt[r.engineAddr] = time.Now()
	return true
}

// candidates returns the targets that a reader may poll.
func (f *loadFollower) candidates(r *loadReader, targets []*serving.Target) []*serving.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readers[r.group] == r {
		return f.groupTargets(r.group, targets)
	}
	return f.uncoveredTargets(targets)
}

// groupTargets returns the targets in a group. The lock must be held.
func (f *loadFollower) groupTargets(group string, targets []*serving.Target) []*serving.Target {
	var list []*serving.Target
	for _, t := range targets {
		if slices.Contains(f.engines[group], t.Address) {
			list = append(list, t)
		}
	}
	return list
}

// uncoveredTargets returns the targets that belong to no group with a reader, except engines that
// were polled without success within the last engineRetryDelay. The lock must be held.
func (f *loadFollower) uncoveredTargets(targets []*serving.Target) []*serving.Target {
	covered := make(map[string]bool)
	for address, at := range f.noGroupAt {
		if time.Since(at) < engineRetryDelay {
			covered[address] = true
		} else {
			delete(f.noGroupAt, address)
		}
	}
	for _, engines := range f.engines {
		for _, address := range engines {
			covered[address] = true
		}
	}
	var list []*serving.Target
	for _, t := range targets {
		if !covered[t.Address] {
			list = append(list, t)
		}
	}
	return list
}
