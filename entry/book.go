package entry

import (
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/internal/safeguard"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

const (
	// bookSlack covers the time between dispatch and run, see the agent's witness.
	bookSlack = 2 * time.Minute
	bookSweep = 10 * time.Second
	// bookLimit bounds the keys of all targets that an entry books.
	bookLimit = 1 << 20
)

// place is one process that a request may have reached.
type place struct {
	target      string
	incarnation uint64
}

// book remembers which keys this entry has dispatched, and where to. Agents whose
// memory does not reach back ask for it through attestations.
type book struct {
	mu        sync.Mutex
	version   uint64 // nothing is dispatched under an older one
	keys      map[string]*booking
	nextSweep time.Time
	closed    bool
	off       safeguard.Off
}

type booking struct {
	fleet  string
	places map[place]int // tries that may have run there
	until  time.Time
}

func newBook(off safeguard.Off) *book {
	return &book{keys: make(map[string]*booking), off: off}
}

// record books a try before it is handed to a connection. It fails with
// StaleVersion if the book has advanced: agents were told that nothing is
// dispatched under an older version any more.
func (b *book) record(homeKey, fleet string, p place, version uint64, until, now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.off.Book {
		return nil
	}
	if b.closed {
		return result.New(result.EntryLeaving, "the entry dispatches nothing more")
	}
	if version < b.version {
		return result.New(result.StaleVersion, "version %d was overtaken by %d", version, b.version)
	}
	b.sweep(now)
	k := b.keys[homeKey]
	if k == nil {
		if len(b.keys) >= bookLimit {
			return result.New(result.DedupFull, "%d keys are booked, limit %d", len(b.keys), bookLimit)
		}
		k = &booking{fleet: fleet, places: make(map[place]int)}
		b.keys[homeKey] = k
	}
	k.places[p]++
	if until.After(k.until) {
		k.until = until
	}
	return nil
}

// erase takes back a try that certainly did not run.
func (b *book) erase(homeKey string, p place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.keys[homeKey]
	if k == nil {
		return
	}
	if k.places[p]--; k.places[p] <= 0 {
		delete(k.places, p)
	}
	if len(k.places) == 0 {
		delete(b.keys, homeKey)
	}
}

// close ends dispatching and returns all that was booked.
func (b *book) close() []config.Dispatched {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.sweep(time.Now())
	var all []config.Dispatched
	for homeKey, k := range b.keys {
		for p := range k.places {
			all = append(all, config.Dispatched{Key: route.KeyHash(homeKey), Target: p.target, Incarnation: p.incarnation})
		}
	}
	return all
}

// has tells whether some try of the key may have run.
func (b *book) has(homeKey string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keys[homeKey] != nil
}

func (b *book) sweep(now time.Time) {
	if now.Before(b.nextSweep) {
		return
	}
	b.nextSweep = now.Add(bookSweep)
	for k, booking := range b.keys {
		if now.After(booking.until) {
			delete(b.keys, k)
		}
	}
}

// attest advances the book to a version and returns the statement for an agent.
func (b *book) attest(snap *config.Snapshot, p place, fleet string) *wire.DispatchReport {
	names := targetNames(snap.Targets(fleet))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version = max(b.version, snap.Version)
	b.sweep(time.Now())
	at := &wire.DispatchReport{Version: snap.Version, Targets: names}
	for homeKey, k := range b.keys {
		if k.fleet != fleet || !k.elsewhere(p) {
			continue
		}
		if home := route.HomeIndex(homeKey, names); home >= 0 && names[home] == p.target {
			at.Keys = append(at.Keys, route.KeyHash(homeKey))
		}
	}
	return at
}

func (k *booking) elsewhere(p place) bool {
	for other := range k.places {
		if other != p {
			return true
		}
	}
	return false
}

func targetNames(targets []config.Target) []string {
	names := make([]string, len(targets))
	for i, t := range targets {
		names[i] = t.Name
	}
	return names
}
