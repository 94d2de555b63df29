package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/wire"
)

const (
	// dispatchSlack is how much longer than the window an entry books a dispatch:
	// the run may begin that much later.
	dispatchSlack = 2 * time.Minute
	// presenceSlack covers the entries' refresh interval and clock differences.
	presenceSlack = 6 * time.Minute
	// settleWait is how long a request waits for entries that have not attested yet.
	settleWait = time.Second
	settlePoll = 10 * time.Millisecond
)

// witness decides whether a key that the ledger does not know may run.
//
// Failure: the agent restarts, or the key's home moves here with a new
// configuration, and the caller repeats a request that ran before. Symptom: an
// oven starts twice. Enough, because each dispatch is booked by its entry before
// it is sent; this agent is on the log before it reads there which entries exist,
// so an entry that it does not find will find it and go to no older agent; and
// the key runs only after each entry found has said that it sent it nowhere else
// and will not do so under an older version.
type witness struct {
	target string
	inc    uint64
	log    outside.Log // nil: the roster is the linked entries
	now    func() time.Time

	mu        sync.Mutex
	attested  map[uint64]uint64    // entry incarnation -> version
	absent    map[uint64]bool      // entries that were waited for in vain
	doubts    map[uint64]time.Time // key hash -> last heard
	nextSweep time.Time
	homes     []homeList // contiguous versions, oldest first
	trusting  bool       // a test's switch: run unknown keys at once

	roster   map[uint64]time.Time // entry incarnation -> last presence, without those gone
	rosterAt uint64               // version known when the roster was read
	read     bool                 // the roster was read at all
	present  bool                 // this agent is on the log

	reading chan struct{} // holds a token while the log is read
	news    chan struct{} // signalled when a version is heard that the roster is older than
	next    uint64        // log offset to read from
}

// homeList is the fleet's declared targets over a run of versions.
type homeList struct {
	from, to uint64
	names    []string
	since    time.Time
}

func newWitness(target string, incarnation uint64, log outside.Log) *witness {
	return &witness{
		target:   target,
		inc:      incarnation,
		log:      log,
		now:      time.Now,
		attested: make(map[uint64]uint64),
		reading:  make(chan struct{}, 1),
		news:     make(chan struct{}, 1),
		absent:   make(map[uint64]bool),
		doubts:   make(map[uint64]time.Time),
		roster:   make(map[uint64]time.Time),
	}
}

// attest takes an entry's statement.
func (w *witness) attest(entry uint64, at *wire.DispatchReport) {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attested[entry] = max(w.attested[entry], at.Version)
	if at.Version > w.rosterAt {
		select {
		case w.news <- struct{}{}:
		default:
		}
	}
	delete(w.absent, entry)
	w.forgetDoubts(now)
	for _, k := range at.Keys {
		w.doubts[k] = now
	}
	w.learnHomes(at, now)
}

const (
	// maxWindow is the longest dedup-window that a policy may have.
	maxWindow = 24 * time.Hour
	// doubtSweep is how often doubts that no window reaches any more are dropped.
	doubtSweep = time.Minute
)

// forgetDoubts bounds the memory of doubts; mu is held.
func (w *witness) forgetDoubts(now time.Time) {
	if now.Before(w.nextSweep) {
		return
	}
	w.nextSweep = now.Add(doubtSweep)
	for k, at := range w.doubts {
		if now.Sub(at) > maxWindow+dispatchSlack {
			delete(w.doubts, k)
		}
	}
}

// newest returns the newest version that an entry has attested.
func (w *witness) newest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.homes) == 0 {
		return 0
	}
	return w.homes[len(w.homes)-1].to
}

// learnHomes extends the history of target lists. A version that was missed
// starts it anew: the home may have been elsewhere meanwhile.
func (w *witness) learnHomes(at *wire.DispatchReport, now time.Time) {
	next := homeList{from: at.Version, to: at.Version, names: at.Targets, since: now}
	last := len(w.homes) - 1
	switch {
	case last < 0 || at.Version > w.homes[last].to+1:
		w.homes = []homeList{next}
	case at.Version <= w.homes[last].to:
		return
	case slices.Equal(w.homes[last].names, at.Targets):
		w.homes[last].to = at.Version
		return
	default:
		w.homes = append(w.homes, next)
	}
}
