package gateway

import (
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// keptOrderTTL is how long an evacuation stays in force that the store has lost. The operator writes
// lost orders again; one that is still missing later has been withdrawn.
const keptOrderTTL = 30 * time.Second

// expireKeptOrders withdraws the evacuations that the store has lost and that were not written
// again. A configuration can only be replaced.
func (s *replicaState) expireKeptOrders(now time.Time) {
	s.mu.Lock()
	r := s.replicas[serving.TopicConfig]
	switch {
	case r.Kept() == 0:
		s.keptSince = time.Time{}
	case s.keptSince.IsZero():
		s.keptSince = now
	case now.Sub(s.keptSince) >= keptOrderTTL:
		s.applyRecords(serving.TopicConfig, r.DropKept(func(key string) bool {
			_, isEvacuation, _ := s.decodeEvacuation(key, nil)
			return !isEvacuation
		}))
		return
	}
	s.mu.Unlock()
}

// isOlderTarget reports whether a record of a target is certainly older than another one.
func (s *replicaState) isOlderTarget(id string, a, b []byte) bool {
	older, aErr := s.decodeTarget(id, a)
	newer, bErr := s.decodeTarget(id, b)
	return aErr == nil && bErr == nil && older.IsOlderThan(&newer)
}

// isOlderConfig reports whether a record of the configuration has a lower version than another one.
func (s *replicaState) isOlderConfig(key string, a, b []byte) bool {
	older, isConfig, aErr := s.decodeConfig(key, a)
	newer, _, bErr := s.decodeConfig(key, b)
	return isConfig && aErr == nil && bErr == nil && older.Version < newer.Version
}

// isOfEarlierEra reports whether a topic was last read in an earlier era of the store than another
// topic, so that it must be read again.
func (s *replicaState) isOfEarlierEra(t serving.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := serving.EraOf(s.replicas[t].NextOffset())
	return slices.ContainsFunc(s.replicas[:], func(r *serving.Replica) bool { return serving.EraOf(r.NextOffset()) > era })
}

// eraOf returns the era of the store in which a topic was last read.
func (s *replicaState) eraOf(t serving.Topic) uint64 {
	next, _ := s.readOffset(t)
	return serving.EraOf(next)
}

// enterEra records that a topic is about to be replaced by its content in a new era of the store. For
// targets this counts as the end of an outage: those that the store has lost write their records
// again.
func (s *replicaState) enterEra(t serving.Topic, end serving.Position) {
	r := s.replicas[t]
	if !r.IsLoaded() || serving.EraOf(end) <= serving.EraOf(r.NextOffset()) {
		return
	}
	if t == serving.TopicTargets {
		s.outageEndedAt = time.Now()
		s.targets.ExtendLapsed(s.outageEndedAt.Add(serving.LapsedGrace))
	}
	s.metrics.Count("store_restores", 1)
	s.log.Info("store has come back from an older copy", "topic", t.String(), "era", serving.EraOf(end),
		"end", serving.OffsetOf(end), "known", serving.OffsetOf(r.NextOffset()))
}

// logGone logs that the store does not hold the records from a position on that this entry asked for,
// and that the entry has read the newest records instead, up to end. It logs once for each end.
func (s *replicaState) logGone(t serving.Topic, from, end serving.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loggedGone[t] == end {
		return
	}
	s.loggedGone[t] = end
	s.log.Info("store does not hold the records asked for", "topic", t.String(), "era", serving.EraOf(from),
		"from", serving.OffsetOf(from), "store_era", serving.EraOf(end), "end", serving.OffsetOf(end))
}
