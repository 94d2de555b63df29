package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// A starting entry finds its first peers by the entry records in the store. It learns all other
// entries from these peers, so a few records suffice. Each call to the store is billed, and a
// simultaneous start of a large fleet causes most calls of a day.
const (
	// minEntryRecords is the number of live entries that should have a record. It leaves several
	// entries to contact when most of the fleet is lost.
	minEntryRecords = 16
	// registerCheckInterval is how often an entry without a record checks whether more records
	// are needed.
	registerCheckInterval = 2 * time.Second
	// startupCheckInterval is how often a starting entry checks whether it has read the entry
	// records. It is short because until the first records are written, each starting entry finds
	// no peers, reads all topics and writes a record itself.
	startupCheckInterval = 2 * time.Millisecond
	// startupSpread is the time over which entries that start together read the store one after
	// the other. An entry that has got the topics from a peer by its turn does not read. Requests
	// that arrive meanwhile wait, so the spread is a fraction of their latency objective.
	startupSpread = 300 * time.Millisecond
	// startupWait is how much longer an entry waits for updates from peers or the store.
	startupWait = 100 * time.Millisecond
	// startupPeriod is how long after its start an entry accepts from peers even topics that it
	// has never read itself.
	startupPeriod = time.Second
)

// startupDelay returns the delay between the start of this entry and its first read of the store.
// It is derived from a hash of the name, so that entries spread evenly without coordination. The
// high bits of xxhash differ for names that differ only in the last letter, as VM names do.
func (g *Gateway) startupDelay() time.Duration {
	return time.Duration(float64(startupSpread) * float64(xxhash.Sum64String(g.opts.Name)) / math.MaxUint64)
}

// firstAloneReadAge is when an entry without known peers first reads the entry records again.
// Entries that start together have usually found each other by then.
const firstAloneReadAge = 500 * time.Millisecond

// aloneReadAge returns the maximum age of the replica of the entry records at an entry that knows no
// live peers. At this age the entry reads the records again. ok is false if the entry knows live
// peers.
//
// When a few entries start at the same moment, each may read the entry records before the others
// have written theirs. Until the next read each entry would announce only itself to callers. It
// would also use the full headroom of a group and leave no part to the other entries. So an entry
// without peers reads again soon, and then at growing intervals.
func (g *Gateway) aloneReadAge() (age time.Duration, ok bool) {
	if g.cluster.liveCount() > 1 {
		return 0, false
	}
	return min(max(time.Since(g.started)/2, firstAloneReadAge), entriesReadInterval), true
}

// isStarting reports whether this entry has started within startupPeriod.
func (g *Gateway) isStarting() bool { return time.Since(g.started) < startupPeriod }

// awaitFirstRead waits until this entry should read a topic for the first time, or has received
// the topic from a peer. At its turn an entry reads only the entry records; then it gets the other
// topics from its peers. If all entries start together, this saves a store call per entry and
// topic.
func (g *Gateway) awaitFirstRead(t serving.Topic) {
	turn := g.started.Add(g.startupDelay())
	end := turn.Add(startupWait)
	for time.Now().Before(end) && g.ctx.Err() == nil {
		if _, loaded := g.state.readOffset(t); loaded {
			return
		}
		if !time.Now().Before(turn) && (t == serving.TopicEntries || g.isAlone()) {
			return
		}
		sleep(g.ctx, min(untilNext(turn, end), startupPollInterval))
	}
}

// untilNext returns the time until first or, if first has passed, until last.
func untilNext(first, last time.Time) time.Duration {
	if wait := time.Until(first); wait > 0 {
		return wait
	}
	return time.Until(last)
}

// isAlone reports whether this entry has read the entry records and knows no other live entry.
func (g *Gateway) isAlone() bool {
	_, loaded := g.state.readOffset(serving.TopicEntries)
	return loaded && g.cluster.liveCount() == 1
}

// startupPollInterval is how often a starting entry checks whether a topic or the first snapshot
// has arrived. It is a small fraction of startupSpread.
const startupPollInterval = 20 * time.Millisecond

// awaitSnapshot returns the current snapshot. During startup it waits briefly for the first one:
// callers connect at once, and a refusal would cost each of them an attempt. It returns nil if
// there is still no snapshot.
func (g *Gateway) awaitSnapshot() *snapshot {
	snap := g.state.snapshot()
	for snap == nil && time.Since(g.started) < startupSpread+startupWait && g.ctx.Err() == nil {
		sleep(g.ctx, startupPollInterval)
		snap = g.state.snapshot()
	}
	return snap
}

// register writes this entry's record if the store has records of too few live entries. It writes the
// record again if the store has lost it.
func (g *Gateway) register() {
	delay := minReadDelay
	writtenInEra := noEra
	for g.ctx.Err() == nil {
		era := g.state.eraOf(serving.TopicEntries)
		switch needed, known := g.needsRecord(); {
		case !known && g.isStarting():
			sleep(g.ctx, startupCheckInterval)
		case !known:
			sleep(g.ctx, minReadDelay)
		case !needed || era == writtenInEra:
			sleep(g.ctx, registerCheckInterval)
		case g.writeRecord():
			writtenInEra, delay = era, minReadDelay
		default:
			sleep(g.ctx, delay)
			delay = min(2*delay, maxReadDelay)
		}
	}
}

// noEra is not an era of the store.
const noEra uint64 = math.MaxUint64

func (g *Gateway) writeRecord() bool {
	p := g.cluster.presence()
	value, err := p.MarshalMsg(nil)
	if err == nil {
		err = g.opts.Store.Put(g.ctx, serving.TopicEntries, g.opts.Name, value)
	}
	if err != nil {
		g.opts.Log.Info("registering the entry failed", "error", err.Error())
		return false
	}
	g.opts.Log.Info("registered")
	return true
}

// needsRecord reports whether this entry should write its record. It should if it has none, and if
// fewer than minEntryRecords other live entries either have a record or come before this entry by
// name. known is false until the records have been read.
func (g *Gateway) needsRecord() (needed, known bool) {
	if _, loaded := g.state.readOffset(serving.TopicEntries); !loaded || g.state.isOfEarlierEra(serving.TopicEntries) {
		return false, false
	}
	records := g.state.copyEntryPresences()
	if records[g.opts.Name].PeerAddr == g.opts.PeerAddr {
		return false, true
	}
	recorded, earlier := 0, 0
	for _, p := range g.cluster.membership.Table().Alive() {
		switch {
		case records[p.Name].PeerAddr == p.PeerAddr:
			recorded++
		case p.Name < g.opts.Name:
			earlier++
		}
	}
	return recorded+earlier < minEntryRecords, true
}

// copyEntryPresences returns a copy of the valid entry records.
func (s *replicaState) copyEntryPresences() map[string]peers.Presence {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make(map[string]peers.Presence, len(s.entryPresences))
	for name, p := range s.entryPresences {
		list[name] = p
	}
	return list
}

// applyEntry applies the record of an entry.
func (s *replicaState) applyEntry(rec *serving.Record) {
	if isSuspectRecord(rec.Key) {
		s.applySuspect(rec)
		return
	}
	if len(rec.Value) == 0 { // the store has lost the record
		delete(s.entryPresences, rec.Key)
		return
	}
	var p peers.Presence
	if _, err := p.UnmarshalMsg(slices.Clone(rec.Value)); err != nil {
		s.log.Error(err, "record of an entry ignored", "entry", rec.Key)
		return
	}
	s.entryPresences[rec.Key] = p
	s.onEntryRecord(p)
}
