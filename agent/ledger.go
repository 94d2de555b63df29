package agent

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrail/heatherrail/result"
)

// ledger remembers requests that must not run twice.
type ledger struct {
	mu      sync.Mutex
	entries map[ledgerKey]*ledgerEntry
}

type ledgerKey struct {
	team, service, key string
}

type ledgerEntry struct {
	body    uint64 // digest of the request body
	started time.Time
}

func newLedger() *ledger {
	return &ledger{entries: make(map[ledgerKey]*ledgerEntry)}
}

// claim books a key before its request runs. A key that is already booked is
// refused: the earlier try ran or is running.
func (l *ledger) claim(k ledgerKey, body []byte, now time.Time) error {
	digest := xxhash.Sum64(body)
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.entries[k]; ok {
		if e.body != digest {
			return result.New(result.KeyReused, "key was used with another body")
		}
		return result.New(result.KeyInDoubt, "first try began at %s", e.started.Format(time.RFC3339))
	}
	l.entries[k] = &ledgerEntry{body: digest, started: now}
	return nil
}

// release forgets a claim whose request certainly did not run.
func (l *ledger) release(k ledgerKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, k)
}
