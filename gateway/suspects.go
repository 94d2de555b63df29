package gateway

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/serving"
)

// Limits on the suspects of one message.
const (
	maxGossipSuspects     = 64
	oldSuspectInterval    = 8 // one message of so many carries a suspect that other entries should know already
	maxFullStateSuspects  = 1024
	suspectKeyPrefix      = "suspect/"
	keepRejectionAttempts = 5
)

// suspectMessages returns suspects for other entries; see route.Quarantine.States.
func (c *cluster) suspectMessages() []peers.Suspect {
	w, now := c.g.crashes, time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	shuffle := func(list []uint64) {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	older := 0
	if rand.IntN(oldSuspectInterval) == 0 {
		older = 1
	}
	return packSuspects(w.quarantine.States(maxGossipSuspects, older, shuffle, now), now)
}

// allSuspectMessages returns the suspects for an entry that asks for the full state.
func (c *cluster) allSuspectMessages() []peers.Suspect {
	w, now := c.g.crashes, time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	return packSuspects(w.quarantine.AllStates(maxFullStateSuspects, now), now)
}

func packSuspects(states []route.SuspectState, now time.Time) (messages []peers.Suspect) {
	for i := range states {
		messages = append(messages, suspectMessage(&states[i], now))
	}
	return messages
}

func suspectMessage(state *route.SuspectState, now time.Time) peers.Suspect {
	m := peers.Suspect{Fingerprint: state.Fingerprint}
	for _, c := range state.Crashes {
		m.Crashes = append(m.Crashes, peers.SuspectCrash{Target: c.ID, AgeMS: clampMS(now.Sub(c.At)), Cleared: c.Cleared})
	}
	for _, t := range state.Trials {
		m.Trials = append(m.Trials, peers.Trial{Entry: t.Entry, Seq: t.Seq, Target: t.Target, LeftMS: clampMS(t.Until.Sub(now)), Ended: t.Ended})
	}
	return m
}

func clampMS(d time.Duration) uint32 { return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32)) }

// suspectState converts a message with the ages as of a time.
func suspectState(m *peers.Suspect, asOf time.Time) route.SuspectState {
	state := route.SuspectState{Fingerprint: m.Fingerprint}
	for _, c := range m.Crashes {
		state.Crashes = append(state.Crashes, route.SuspectCrash{ID: c.Target, At: asOf.Add(-time.Duration(c.AgeMS) * time.Millisecond), Cleared: c.Cleared})
	}
	for _, t := range m.Trials {
		if !peers.IsName(t.Entry) {
			continue
		}
		state.Trials = append(state.Trials, route.Trial{Entry: t.Entry, Seq: t.Seq, Target: t.Target, Until: asOf.Add(time.Duration(t.LeftMS) * time.Millisecond), Ended: t.Ended})
	}
	return state
}

// applySuspectMessages merges suspects from another entry. It returns true if other entries should be
// notified at once.
func (c *cluster) applySuspectMessages(messages []peers.Suspect) (changed bool) {
	now := time.Now()
	for i := range messages {
		state := suspectState(&messages[i], now)
		isNew, rejected := c.g.crashes.merge(state, "by others", now)
		changed = changed || isNew
		// The crashes may have been seen by several entries, none of which knew of all.
		if position, _ := c.readerPosition(); rejected && position == 0 {
			c.g.keepRejection(c.g.crashes.state(state.Fingerprint), now)
		}
	}
	return changed
}

// merge merges what others know of a suspect. It returns whether it was news, and whether the request is
// refused from now on.
func (w *crashWatch) merge(state route.SuspectState, seen string, now time.Time) (changed, rejected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed, rejected = w.quarantine.Merge(state, now)
	rejected = rejected && !route.IsPart(state.Fingerprint) // parts are reported by reportRejectedParts
	if rejected {
		w.logQuarantined(state.Fingerprint, seen)
	}
	return changed, rejected
}

func (w *crashWatch) state(fingerprint uint64) route.SuspectState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.quarantine.State(fingerprint)
}

// keepRejection writes a rejected request to the store, from which entries learn of it that start after
// all others were lost, or that no other entry reaches.
func (g *Gateway) keepRejection(state route.SuspectState, now time.Time) {
	record := peers.SuspectRecord{WrittenAtMS: now.UnixMilli(), Suspect: suspectMessage(&state, now)}
	record.Suspect.Trials = nil
	value, err := record.MarshalMsg(nil)
	if err != nil {
		g.opts.Log.Error(err, "encoding a rejected request failed")
		return
	}
	key := suspectKeyPrefix + contentID(state.Fingerprint)
	g.tasks.Go(func() { g.putWithRetries(g.ctx, key, value) })
}

// reportRejectedParts logs the parts of prompts that are rejected from now on. The first reader of the store writes their records for
// all entries.
func (w *crashWatch) reportRejectedParts() {
	position, _ := w.g.cluster.readerPosition()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	rejected := make(map[uint64]bool)
	for _, part := range w.quarantine.RejectedParts(now) {
		rejected[part] = true
		if w.reported[part] {
			continue
		}
		w.g.opts.Metrics.Count("parts_quarantined", 1)
		w.g.opts.Log.Info("prompt part quarantined", "part", contentID(part), "crashes", w.quarantine.Crashes(part))
		if position == 0 {
			w.g.keepRejection(w.quarantine.State(part), now)
		}
	}
	w.reported = rejected
}

// putWithRetries writes a record of an entry to the store, with growing pauses between attempts.
func (g *Gateway) putWithRetries(ctx context.Context, key string, value []byte) {
	delay := minReadDelay
	for range keepRejectionAttempts {
		err := g.opts.Store.Put(ctx, serving.TopicEntries, key, value)
		if err == nil || ctx.Err() != nil {
			return
		}
		g.opts.Log.Info("writing a rejected request to the store failed", "key", key, "error", err.Error())
		sleep(ctx, delay)
		delay = min(2*delay, maxReadDelay)
	}
}

// applySuspectRecord applies the store's record of a rejected request.
func (g *Gateway) applySuspectRecord(key string, value []byte) error {
	var record peers.SuspectRecord
	if _, err := record.UnmarshalMsg(slices.Clone(value)); err != nil {
		return fmt.Errorf("suspect record: %w", err)
	}
	if key != suspectKeyPrefix+contentID(record.Suspect.Fingerprint) {
		return fmt.Errorf("suspect record: key %q is not of content %s", key, contentID(record.Suspect.Fingerprint))
	}
	now := time.Now()
	writtenAt := now.Add(-max(now.Sub(time.UnixMilli(record.WrittenAtMS)), 0)) // the writer's clock may be ahead
	if changed, _ := g.crashes.merge(suspectState(&record.Suspect, writtenAt), "in the store", now); changed {
		g.cluster.notify()
	}
	return nil
}

// isSuspectRecord reports whether a record of serving.TopicEntries is of a rejected request.
func isSuspectRecord(key string) bool { return strings.HasPrefix(key, suspectKeyPrefix) }

// applySuspect applies the record of a rejected request. The lock must be held.
func (s *replicaState) applySuspect(rec *serving.Record) {
	if len(rec.Value) == 0 {
		delete(s.suspectRecords, rec.Key)
		return
	}
	s.suspectRecords[rec.Key] = true
	if err := s.onSuspectRecord(rec.Key, rec.Value); err != nil {
		s.log.Error(err, "record of a rejected request ignored", "key", rec.Key)
	}
}

func (s *replicaState) suspectRecordKeys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.suspectRecords))
}

// suspectRecordsInterval is how often records of requests that are not rejected any more are removed.
const suspectRecordsInterval = time.Minute

// dropSuspectRecords removes the records of requests that are not rejected any more. One entry does so
// for all.
func (g *Gateway) dropSuspectRecords() {
	if position, _ := g.cluster.readerPosition(); position != 0 {
		return
	}
	for _, key := range g.state.suspectRecordKeys() {
		if !g.crashes.isRejectedRecord(key) {
			g.putWithRetries(g.ctx, key, nil)
		}
	}
}

// isRejectedRecord reports whether the request, or the part of prompts, of a record in the store has crashed too many targets.
func (w *crashWatch) isRejectedRecord(key string) bool {
	fingerprint, err := strconv.ParseUint(strings.TrimPrefix(key, suspectKeyPrefix), 16, 64)
	switch {
	case err != nil:
		return false
	case route.IsPart(fingerprint):
		return w.crashCount(fingerprint) >= route.MaxPartCrashes
	}
	return w.crashCount(fingerprint) >= route.MaxCrashes
}
