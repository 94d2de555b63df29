package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/serving"
	"github.com/heatherrail/heatherrail/upstream"
)

// book keeps what this entry has learnt of each target and has running there.
type book struct {
	dataCentre string
	mu         sync.Mutex
	accounts   map[string]*account // by target id
	ejector    *route.Ejector
	groups     map[string]groupState // by service
}

// account is one target's.
type account struct {
	target  *serving.Target
	pool    *upstream.Pool
	running int     // requests of this entry
	reading float64 // prompt tokens of those that have no answer yet
	gone    bool    // another target has its address
	others  reportedLoad
}

// reportedLoad is what an engine's agent says that runs there.
type reportedLoad struct {
	running, waiting int
	pace             float64
	at               time.Time
	ownThen          int // requests of this entry that the report counts

	shared bool // the room that the report shows has been divided
	part   int  // of it this entry's
	taken  int  // of that, less what has ended since
}

func newBook(dataCentre string) *book {
	return &book{dataCentre: dataCentre, accounts: make(map[string]*account), ejector: route.NewEjector(), groups: make(map[string]groupState)}
}

// account returns a target's account; the lock must be held.
func (b *book) account(t *serving.Target) *account {
	a := b.accounts[t.ID]
	if a == nil {
		a = &account{target: t, pool: upstream.NewPool(t.Address)}
		b.accounts[t.ID] = a
	}
	a.target = t
	return a
}

// reported takes what agents tell of engines.
func (b *book) reported(targets []*serving.Target, loads map[string]peers.RankLoad, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range targets {
		l, ok := loads[t.Address]
		if !ok {
			continue
		}
		a := b.account(t)
		a.others = reportedLoad{
			running: int(l.Running),
			waiting: int(l.Waiting),
			pace:    max(float64(l.Pace), 1),
			at:      at,
			ownThen: a.running,
		}
	}
}

func (b *book) setGroup(service string, s groupState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.groups[service] = s
}

// reportAge returns how old the latest report on a service's group is.
func (b *book) reportAge(service string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.groups[service].at)
}

// limit returns how many streams a target of a service may run now.
func (b *book) limit(s *serving.Service, gapAim time.Duration, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.groups[s.Name]
	if now.Sub(state.at) > reportLife {
		return limit(s.Engine, gapAim, calmImbalance, 1)
	}
	return limit(s.Engine, gapAim, max(state.imbalance, min(state.worst, bornImbalance)), state.pace)
}

// assume reckons what other entries have running at each target, as long as nobody
// reports it: as much as this one.
//
// Failure: the agent that reports for a group stands still. Symptom: every entry
// sees only its own requests, fills all targets by itself, and those that wait
// inside the engines are late or given up by their callers. Entries get about the
// same share of the callers, so what each assumes adds up to about what runs.
func (b *book) assume(service string, targets, entries int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.groups[service]
	state.assumed = 0
	if now.Sub(state.at) >= reportLife && targets > 0 {
		own := 0
		for _, a := range b.accounts {
			if a.target.Service == service {
				own += a.running
			}
		}
		state.assumed = float64(own*(entries-1)) / float64(targets)
	}
	b.groups[service] = state
}

// reserve books a try at the target with the least work that runs fewer requests
// than most, and of whose room a part is this entry's; nil if there is none.
func (b *book) reserve(targets []*serving.Target, most, entries int, s size, now time.Time) *serving.Target {
	t := b.place(targets, func(t *serving.Target) bool { return !b.hasRoom(t, most, entries, now) }, now)
	if t != nil {
		b.begin(t, s)
		b.take(t)
	}
	return t
}

// hasRoom tells whether this entry may send to a target; the lock must be held.
//
// Failure: all targets are full but one, and all entries have that report.
// Symptom: each of 46 sends there what waits, and fifty requests queue at one
// engine while others get room. So the room that a report shows is divided by the
// number of entries; the rest of the division is drawn, so that in the mean all of
// it is used. What this entry's own requests free is its own.
func (b *book) hasRoom(t *serving.Target, most, entries int, now time.Time) bool {
	room := most - b.load(t, now)
	if room <= 0 {
		return false
	}
	a := b.accounts[t.ID]
	if a == nil || now.Sub(a.others.at) > reportLife {
		return true
	}
	if !a.others.shared {
		a.others.shared = true
		a.others.part = int(float64(room)/float64(max(entries, 1)) + rand.Float64())
	}
	return a.others.taken < a.others.part
}

func (b *book) take(t *serving.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(t).others.taken++
}

// begin books a try.
func (b *book) begin(t *serving.Target, s size) *account {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(t)
	a.running++
	a.reading += s.prompt
	return a
}

// accountOf returns a target's account.
func (b *book) accountOf(t *serving.Target) *account {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account(t)
}

// answered books that a target has begun to answer.
func (b *book) answered(a *account, s size) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.reading -= s.prompt
}

// end books the end of a try.
func (b *book) end(a *account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.running--
	a.others.taken--
}

// report books whether a target did what it should.
func (b *book) report(t *serving.Target, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ejector.Report(t.ID, ok, time.Now())
}

// replaced notes that another target has this one's address.
func (b *book) replaced(t *serving.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(t).gone = true
}

// sweep forgets targets that are gone and closes connections that targets are
// about to close.
func (b *book) sweep(known map[string][]*serving.Target) {
	now := time.Now()
	alive := make(map[string]bool)
	for _, list := range known {
		for _, t := range list {
			alive[t.ID] = true
		}
	}
	b.mu.Lock()
	var pools []*upstream.Pool
	for id, a := range b.accounts {
		if !alive[id] && a.running == 0 {
			delete(b.accounts, id)
			a.pool.Close()
			continue
		}
		pools = append(pools, a.pool)
	}
	b.mu.Unlock()
	for _, p := range pools {
		p.Prune(now)
	}
}
