package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// Records in the store tell an entry that starts whom it can ask. All others it hears of
// from these, so a few records are enough: every call to the store is paid for, and when
// all entries of a large fleet start at once, theirs are most of a day's calls.
const (
	// recordsWanted leaves several entries to ask when most of the fleet is gone.
	recordsWanted = 16
	// registerEvery is how often an entry without a record looks whether one is wanted.
	registerEvery = 2 * time.Second
	// registerPoll is how often an entry that starts looks whether it has read who the others
	// are: until the first records are written, all whose turn comes find nobody, and each reads
	// all topics and writes a record itself.
	registerPoll = 2 * time.Millisecond
	// startSpread: entries that start together read the store one after the other within
	// it, unless one that has read tells them before. Callers that come meanwhile wait, so
	// it is a part of their aim for a first event.
	startSpread = 300 * time.Millisecond
	// startWait is waited beyond that for what others tell or the store answers.
	startWait = 100 * time.Millisecond
	// startTime is for how long an entry that has just started takes from others what it
	// has never read itself.
	startTime = time.Second
)

// startDelay returns how long after its start this entry reads the store. It goes by the
// name, so that entries spread evenly without knowing of each other. The digest is one whose
// high bits differ for names that differ in their last letter only, as those of VMs do.
func (g *Gateway) startDelay() time.Duration {
	return time.Duration(float64(startSpread) * float64(xxhash.Sum64String(g.opts.Name)) / math.MaxUint64)
}

// aloneFirst is when an entry that knows no other looks for the first time whether there is
// one. Those that start together have mostly heard of each other by then.
const aloneFirst = 500 * time.Millisecond

// aloneAge returns how old the records of entries may get at an entry that knows no other; ok
// is false at one that does.
//
// Failure: a few entries start in the same moment, and each reads the records of the others
// before these have written any. Symptom: none knows another one, each tells callers of
// itself alone, and takes the whole room of a group for its own, until the next reading.
// So one that knows nobody looks again soon, and less and less often.
func (g *Gateway) aloneAge() (age time.Duration, ok bool) {
	if g.mesh.entries() > 1 {
		return 0, false
	}
	return min(max(time.Since(g.started)/2, aloneFirst), entriesEvery), true
}

// starting tells whether this entry has started just now.
func (g *Gateway) starting() bool { return time.Since(g.started) < startTime }

// awaitPeers waits until this entry is to read a topic for the first time, or has been
// told it. What it reads at its turn is which other entries there are: these tell it the rest,
// and each call to the store that a start of all entries does not make is one for each of them.
func (g *Gateway) awaitPeers(t serving.Topic) {
	turn := g.started.Add(g.startDelay())
	until := turn.Add(startWait)
	for time.Now().Before(until) && g.ctx.Err() == nil {
		if _, loaded := g.knowledge.position(t); loaded {
			return
		}
		if !time.Now().Before(turn) && (t == serving.TopicEntries || g.alone()) {
			return
		}
		sleep(g.ctx, min(untilNext(turn, until), startPoll))
	}
}

// untilNext returns how long it is until the first of two times that has not passed.
func untilNext(first, last time.Time) time.Duration {
	if wait := time.Until(first); wait > 0 {
		return wait
	}
	return time.Until(last)
}

// alone tells whether this entry has read which others there are, and found none.
func (g *Gateway) alone() bool {
	_, loaded := g.knowledge.position(serving.TopicEntries)
	return loaded && g.mesh.entries() == 1
}

// startPoll is a small part of startSpread.
const startPoll = 20 * time.Millisecond

// awaitView returns what requests are decided by. An entry that has just started waits for
// it a moment: callers connect to it at once, and a refusal would cost each of them a try.
// nil: it is not known.
func (g *Gateway) awaitView() *view {
	v := g.knowledge.view()
	for v == nil && time.Since(g.started) < startSpread+startWait && g.ctx.Err() == nil {
		sleep(g.ctx, startPoll)
		v = g.knowledge.view()
	}
	return v
}

// register writes this entry's record if the store has too few of entries that live.
func (g *Gateway) register() {
	pause := readPauseMin
	for g.ctx.Err() == nil {
		switch wanted, known := g.recordWanted(); {
		case !known && g.starting():
			sleep(g.ctx, registerPoll)
		case !known:
			sleep(g.ctx, readPauseMin)
		case !wanted:
			sleep(g.ctx, registerEvery)
		case g.writeRecord():
			return
		default:
			sleep(g.ctx, pause)
			pause = min(2*pause, readPauseMax)
		}
	}
}

func (g *Gateway) writeRecord() bool {
	p := g.mesh.presence()
	value, err := p.MarshalMsg(nil)
	if err == nil {
		err = g.opts.Store.Put(g.ctx, serving.TopicEntries, g.opts.Name, value)
	}
	if err != nil {
		g.opts.Log.Info("not registered yet", "error", err.Error())
		return false
	}
	g.opts.Log.Info("registered")
	return true
}

// recordWanted tells whether this entry is to write its record: if it has none, and too
// few entries that live have one, and not enough of those without one come before it.
// known is false as long as the records have not been read.
func (g *Gateway) recordWanted() (wanted, known bool) {
	if _, loaded := g.knowledge.position(serving.TopicEntries); !loaded {
		return false, false
	}
	records := g.knowledge.entryRecords()
	if records[g.opts.Name].PeerAddr == g.opts.PeerAddr {
		return false, true
	}
	have, before := 0, 0
	for _, p := range g.mesh.group.Table().Alive() {
		switch {
		case records[p.Name].PeerAddr == p.PeerAddr:
			have++
		case p.Name < g.opts.Name:
			before++
		}
	}
	return have+before < recordsWanted, true
}

// entryRecords returns the records of entries that can be read.
func (k *knowledge) entryRecords() map[string]peers.Presence {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make(map[string]peers.Presence, len(k.entries))
	for name, p := range k.entries {
		list[name] = p
	}
	return list
}

// applyEntry takes the record of an entry.
func (k *knowledge) applyEntry(rec *serving.Record) {
	var p peers.Presence
	if _, err := p.UnmarshalMsg(slices.Clone(rec.Value)); err != nil {
		k.log.Error(err, "record of an entry ignored", "entry", rec.Key)
		return
	}
	k.entries[rec.Key] = p
	k.met(p)
}
