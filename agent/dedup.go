package agent

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

// Bounds of the answers in the deduplication table, in bytes. Beyond them the oldest
// answers are dropped; their keys stay.
const (
	maxAnswerBytes   = 1 << 20
	maxRetainedBytes = 32 << 20
	sweepInterval    = time.Second
)

// dedupTable is the deduplication table: the requests that must not run twice, by key.
type dedupTable struct {
	mu            sync.Mutex
	records       map[dedupKey]*record
	retained      []*record // records whose answers are retained, oldest first
	retainedBytes int       // size of the retained answers
	nextSweep     time.Time
	dropClaims    bool // do not store claims; for tests that must detect the missing safeguard
}

type dedupKey struct {
	team, service, key string
}

func dedupKeyOf(req *wire.Request) dedupKey {
	return dedupKey{team: req.Team, service: req.Service, key: req.Key}
}

func (k dedupKey) homeKey() string { return route.DedupKey(k.team, k.service, k.key) }

func newDedupTable() *dedupTable {
	return &dedupTable{records: make(map[dedupKey]*record)}
}

// lookup returns the record of a key, or nil if the key is unknown. It refuses a key that
// was used with another body.
func (t *dedupTable) lookup(k dedupKey, digest uint64) (*record, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[k]
	if r != nil && r.bodyDigest != digest {
		return nil, result.New(result.KeyReused, "idempotency key was used with another body")
	}
	return r, nil
}

// claim registers a key before its request runs. If fresh is true the caller runs the
// request; otherwise the record belongs to an earlier request. At the limit a new key is
// refused, because evicting an older key would let a repeat of its request run.
func (t *dedupTable) claim(k dedupKey, digest uint64, limit int, window time.Duration, now time.Time) (r *record, fresh bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if r := t.records[k]; r != nil {
		if r.bodyDigest != digest {
			return nil, false, result.New(result.KeyReused, "idempotency key was used with another body")
		}
		return r, false, nil
	}
	if limit > 0 && len(t.records) >= limit {
		return nil, false, result.New(result.DedupFull, "deduplication table holds %d keys, limit %d", len(t.records), limit)
	}
	r = newRecord(digest, window)
	if !t.dropClaims {
		t.records[k] = r
	}
	return r, true, nil
}

// sweep deletes records whose deduplication window has passed since their request finished;
// mu is held.
func (t *dedupTable) sweep(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(sweepInterval)
	for k, r := range t.records {
		if end, ok := r.endedAt(); ok && now.Sub(end) > r.window {
			delete(t.records, k)
			r.dropAnswer()
		}
	}
}

// release deletes a claim whose request certainly did not run.
func (t *dedupTable) release(k dedupKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, k)
}

// retainAnswer retains the answer of a finished record, and drops the oldest answers
// beyond maxRetainedBytes.
func (t *dedupTable) retainAnswer(r *record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retained = append(t.retained, r)
	t.retainedBytes += r.size()
	for t.retainedBytes > maxRetainedBytes {
		oldest := t.retained[0]
		t.retained = t.retained[1:]
		t.retainedBytes -= oldest.size()
		oldest.dropAnswer()
	}
}

func bodyDigestOf(body []byte) uint64 { return xxhash.Sum64(body) }
