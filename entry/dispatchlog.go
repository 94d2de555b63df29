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
	// dispatchLogSlack is how long a dispatch record is kept after the deduplication window. It
	// covers the time between dispatch and run. Agents add the same slack when they check a key
	// against the dispatch reports.
	dispatchLogSlack         = 2 * time.Minute
	dispatchLogSweepInterval = 10 * time.Second
	// maxLoggedKeys bounds the keys in the dispatch log, over all targets.
	maxLoggedKeys = 1 << 20
)

// destination is one run of an agent process that a request may have reached.
type destination struct {
	target      string
	incarnation uint64
}

// dispatchLog records the idempotency keys that this entry has dispatched, and to which
// agents. An agent whose own records do not cover the whole deduplication window relies on
// dispatch reports, which are made from the dispatch log.
type dispatchLog struct {
	mu         sync.Mutex
	minVersion uint64 // requests under an older configuration version are rejected
	records    map[string]*dispatchRecord
	nextSweep  time.Time
	closed     bool
	off        safeguard.Off
}

type dispatchRecord struct {
	fleet        string
	destinations map[destination]int // number of attempts that may have run, by destination
	expiresAt    time.Time
}

func newDispatchLog(off safeguard.Off) *dispatchLog {
	return &dispatchLog{records: make(map[string]*dispatchRecord), off: off}
}

// record logs an attempt before the entry hands it to a connection. It returns
// StaleVersion if version is older than minVersion: agents have been told that this
// entry dispatches nothing more under older versions.
func (d *dispatchLog) record(dedupKey, fleet string, dest destination, version uint64, expiresAt, now time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.off.DispatchLog {
		return nil
	}
	if d.closed {
		return result.New(result.EntryLeaving, "the entry is leaving and dispatches no more requests")
	}
	if version < d.minVersion {
		return result.New(result.StaleVersion, "version %d was superseded by version %d", version, d.minVersion)
	}
	d.removeExpired(now)
	rec := d.records[dedupKey]
	if rec == nil {
		if len(d.records) >= maxLoggedKeys {
			return result.New(result.DedupFull, "the dispatch log holds %d keys, limit %d", len(d.records), maxLoggedKeys)
		}
		rec = &dispatchRecord{fleet: fleet, destinations: make(map[destination]int)}
		d.records[dedupKey] = rec
	}
	rec.destinations[dest]++
	if expiresAt.After(rec.expiresAt) {
		rec.expiresAt = expiresAt
	}
	return nil
}

// remove undoes record for an attempt that certainly did not run.
func (d *dispatchLog) remove(dedupKey string, dest destination) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rec := d.records[dedupKey]
	if rec == nil {
		return
	}
	if rec.destinations[dest]--; rec.destinations[dest] <= 0 {
		delete(rec.destinations, dest)
	}
	if len(rec.destinations) == 0 {
		delete(d.records, dedupKey)
	}
}

// close rejects all further dispatches and returns the remaining records.
func (d *dispatchLog) close() []config.Dispatched {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	d.removeExpired(time.Now())
	var all []config.Dispatched
	for dedupKey, rec := range d.records {
		for dest := range rec.destinations {
			all = append(all, config.Dispatched{Key: route.KeyHash(dedupKey), Target: dest.target, Incarnation: dest.incarnation})
		}
	}
	return all
}

// contains reports whether an attempt with this key may have run.
func (d *dispatchLog) contains(dedupKey string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.records[dedupKey] != nil
}

// removeExpired deletes expired records, at most once per sweep interval. The caller
// holds mu.
func (d *dispatchLog) removeExpired(now time.Time) {
	if now.Before(d.nextSweep) {
		return
	}
	d.nextSweep = now.Add(dispatchLogSweepInterval)
	for dedupKey, rec := range d.records {
		if now.After(rec.expiresAt) {
			delete(d.records, dedupKey)
		}
	}
}

// report raises minVersion to the version of snap and returns the dispatch report for the agent
// dest. The report lists each key that this entry has sent to another destination although the
// home target of the key (the only one that may run it) is the target of dest.
func (d *dispatchLog) report(snap *config.Snapshot, dest destination, fleet string) *wire.DispatchReport {
	names := targetNames(snap.Targets(fleet))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.minVersion = max(d.minVersion, snap.Version)
	d.removeExpired(time.Now())
	msg := &wire.DispatchReport{Version: snap.Version, Targets: names}
	for dedupKey, rec := range d.records {
		if rec.fleet != fleet || !rec.sentElsewhere(dest) {
			continue
		}
		if home := route.HomeIndex(dedupKey, names); home >= 0 && names[home] == dest.target {
			msg.Keys = append(msg.Keys, route.KeyHash(dedupKey))
		}
	}
	return msg
}

// sentElsewhere reports whether an attempt went to any destination other than dest.
func (rec *dispatchRecord) sentElsewhere(dest destination) bool {
	for other := range rec.destinations {
		if other != dest {
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
