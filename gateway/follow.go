package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/heatherrail/heatherrail/serving"
)

// follower follows the loads of all groups of a service, with a reader for each. Which
// groups there are it learns from the engines: as long as some are not of a group that is
// read, one reader asks among these.
//
// Failure: a service has several groups and an entry knows the loads of one. Symptom: it
// places requests at all others as if these ran as much, and queues form inside some engines
// while others have room.
type follower struct {
	g       *Gateway
	service string

	mu        sync.Mutex
	rosters   map[string][]string    // addresses of the engines of each group that is read
	readers   map[string]*loadReader // by group
	searching bool                   // a reader looks for a group
	inVain    map[string]time.Time   // engines that were asked and told of no group, by address
}

const (
	// searchPause is how long to wait until the next look for a group that is not read yet.
	// Until a group is found it gets no requests while another one runs.
	searchPause = 100 * time.Millisecond
	// vainPause is for how long an engine is not asked again that is down, or of no group.
	vainPause = 5 * time.Second
)

// followLoads asks for the loads of a service until ctx ends.
func (g *Gateway) followLoads(ctx context.Context, service string) {
	f := newFollower(g, service)
	var tasks conc.WaitGroup
	for ctx.Err() == nil {
		if f.begin() {
			tasks.Go(func() { f.read(ctx) })
		}
		sleep(ctx, searchPause)
	}
	tasks.Wait()
}

func newFollower(g *Gateway, service string) *follower {
	return &follower{
		g:       g,
		service: service,
		rosters: make(map[string][]string),
		readers: make(map[string]*loadReader),
		inVain:  make(map[string]time.Time),
	}
}

// begin tells whether another reader is to begin to look for a group.
func (f *follower) begin() bool {
	v := f.g.knowledge.view()
	if v == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.searching || len(f.unread(v.targets[f.service])) == 0 {
		return false
	}
	f.searching = true
	return true
}

// read asks for the loads of one group, until there is nothing left for this reader.
func (f *follower) read(ctx context.Context) {
	l := &loadReader{g: f.g, f: f, service: f.service}
	for ctx.Err() == nil {
		if l.ask(ctx) {
			sleep(ctx, l.pause())
			continue
		}
		if f.needless(l) {
			return
		}
		sleep(ctx, loadsRest)
	}
}

// claim notes that a reader reads a group; false if another one does. A reader may come
// from another group, if the engines that it asks have moved.
func (f *follower) claim(l *loadReader, group string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	holder := f.readers[group]
	switch {
	case holder == l:
		return true
	case holder != nil:
		return false
	}
	f.release(l)
	f.readers[group], l.group = l, group
	f.searching = false
	return true
}

// release gives up the group that a reader reads; the lock must be held.
func (f *follower) release(l *loadReader) {
	if f.readers[l.group] == l {
		delete(f.readers, l.group)
		delete(f.rosters, l.group)
	}
}

// covers notes the engines of a group.
func (f *follower) covers(group string, engines []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rosters[group] = engines
}

// needless ends a reader after a question that found nothing: if it looked for a group and
// others read, the next look asks another engine; if no engine of its group is left it is
// over. The only reader goes on looking.
func (f *follower) needless(l *loadReader) bool {
	v := f.g.knowledge.view()
	f.mu.Lock()
	defer f.mu.Unlock()
	others := len(f.readers)
	if f.readers[l.group] == l {
		if v == nil || len(f.ofGroup(l.group, v.targets[f.service])) > 0 {
			return false
		}
		f.release(l)
		return true
	}
	if others == 0 {
		return false
	}
	f.searching = false
	f.inVain[l.asked] = time.Now()
	return true
}

// mine returns the targets of which a reader asks one.
func (f *follower) mine(l *loadReader, targets []*serving.Target) []*serving.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readers[l.group] == l {
		return f.ofGroup(l.group, targets)
	}
	return f.unread(targets)
}

// ofGroup returns the targets of a group; the lock must be held.
func (f *follower) ofGroup(group string, targets []*serving.Target) []*serving.Target {
	var list []*serving.Target
	for _, t := range targets {
		if slices.Contains(f.rosters[group], t.Address) {
			list = append(list, t)
		}
	}
	return list
}

// unread returns the targets that are of no group that is read, without those that were asked
// in vain just now; the lock must be held.
func (f *follower) unread(targets []*serving.Target) []*serving.Target {
	read := make(map[string]bool)
	for address, at := range f.inVain {
		if time.Since(at) < vainPause {
			read[address] = true
		} else {
			delete(f.inVain, address)
		}
	}
	for _, engines := range f.rosters {
		for _, address := range engines {
			read[address] = true
		}
	}
	var list []*serving.Target
	for _, t := range targets {
		if !read[t.Address] {
			list = append(list, t)
		}
	}
	return list
}
