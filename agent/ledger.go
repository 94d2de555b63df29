package agent

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

// Bounds of what the ledger keeps of answers, in bytes. Beyond them answers are
// dropped, oldest first, and their keys stay.
const (
	answerLimit = 1 << 20
	keptLimit   = 32 << 20
	sweepEvery  = time.Second
)

// ledger remembers requests that must not run twice.
type ledger struct {
	mu        sync.Mutex
	records   map[ledgerKey]*record
	finished  []*record // kept answers, oldest first
	kept      int       // bytes of them
	nextSweep time.Time
	forgetful bool // a test's switch: forget claims at once
}

type ledgerKey struct {
	team, service, key string
}

func keyOf(req *wire.Request) ledgerKey {
	return ledgerKey{team: req.Team, service: req.Service, key: req.Key}
}

func (k ledgerKey) home() string { return route.DedupKey(k.team, k.service, k.key) }

func newLedger() *ledger {
	return &ledger{records: make(map[ledgerKey]*record)}
}

// find returns the record of a key, nil if the key is unknown. A key that was
// used with another body is refused.
func (l *ledger) find(k ledgerKey, digest uint64) (*record, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[k]
	if r != nil && r.body != digest {
		return nil, result.New(result.KeyReused, "key was used with another body")
	}
	return r, nil
}

// claim books a key before its request runs. fresh: this caller runs it; else
// another one was first. At the limit a new key is refused: to forget an older
// one would let its repeat run.
func (l *ledger) claim(k ledgerKey, digest uint64, limit int, window time.Duration, now time.Time) (r *record, fresh bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	if r := l.records[k]; r != nil {
		if r.body != digest {
			return nil, false, result.New(result.KeyReused, "key was used with another body")
		}
		return r, false, nil
	}
	if limit > 0 && len(l.records) >= limit {
		return nil, false, result.New(result.DedupFull, "%d keys are remembered, limit %d", len(l.records), limit)
	}
	r = newRecord(digest, window)
	if !l.forgetful {
		l.records[k] = r
	}
	return r, true, nil
}

// sweep drops records whose window has passed since they ended.
func (l *ledger) sweep(now time.Time) {
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(sweepEvery)
	for k, r := range l.records {
		if end, ok := r.endedAt(); ok && now.Sub(end) > r.window {
			delete(l.records, k)
			r.drop()
		}
	}
}

// release forgets a claim whose request certainly did not run.
func (l *ledger) release(k ledgerKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.records, k)
}

// keep bounds the bytes of finished answers.
func (l *ledger) keep(r *record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = append(l.finished, r)
	l.kept += r.size()
	for l.kept > keptLimit {
		oldest := l.finished[0]
		l.finished = l.finished[1:]
		l.kept -= oldest.size()
		oldest.drop()
	}
}

func digestOf(body []byte) uint64 { return xxhash.Sum64(body) }
