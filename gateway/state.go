package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// snapshot is the configuration and the targets that requests are handled with. It is immutable.
type snapshot struct {
	index   *serving.Index
	targets map[string][]*serving.Target // targets, by service
}

// replicaState is the gateway's replica of the store's topics. Updates come from the store and
// from peers.
type replicaState struct {
	decodeConfig     func(string, []byte) (serving.Config, bool, error)
	decodeEvacuation func(string, []byte) (string, bool, error)
	decodeTarget     func(string, []byte) (serving.Target, error)
	outageThreshold  time.Duration
	log              logr.Logger
	metrics          *metrics.Set
	current          atomic.Pointer[snapshot]

	mu             sync.Mutex
	replicas       [serving.NumTopics]*serving.Replica
	completeAt     [serving.NumTopics]time.Time // when the replica was last known to be complete
	config         *serving.Index
	targets        *serving.TargetSet
	evacuated      map[string]bool           // data centres whose targets get no requests
	outageEndedAt  time.Time                 // end of the last outage in which no entry reached the store
	storeFailing   bool                      // this entry's last call to the store failed
	entryPresences map[string]peers.Presence // by entry name, from the records in the store
	onEntryRecord  func(p peers.Presence)    // called for each record of an entry
	// onSuspectRecord is called for each record of a rejected request.
	onSuspectRecord func(key string, value []byte) error
	suspectRecords  map[string]bool                     // keys of the records of rejected requests
	loggedGone      [serving.NumTopics]serving.Position // end of the topic when a read of records that the store does not hold was last logged
	keptSince       time.Time                           // since when the replica of the configuration topic has kept records that the store has lost; zero: it keeps none
}

// outageHeartbeats defines an outage of the store: no entry has read the targets for this many
// heartbeat intervals of targets. Target records lapse after three intervals without a heartbeat,
// and the first of these may have passed just before the outage, so no record lapses in a shorter
// outage.
const outageHeartbeats = 2

func newReplicaState(o *Options) *replicaState {
	s := &replicaState{
		decodeConfig:     o.DecodeConfig,
		decodeEvacuation: o.DecodeEvacuation,
		decodeTarget:     o.DecodeTarget,
		outageThreshold:  outageHeartbeats * o.TargetHeartbeatInterval,
		log:              o.Log,
		metrics:          o.Metrics,
		targets:          serving.NewTargetSet(),
		evacuated:        make(map[string]bool),
		entryPresences:   make(map[string]peers.Presence),
		onEntryRecord:    func(peers.Presence) {},
		onSuspectRecord:  func(string, []byte) error { return nil },
		suspectRecords:   make(map[string]bool),
	}
	for i := range s.replicas {
		s.replicas[i] = serving.NewPermanentReplica()
	}
	s.replicas[serving.TopicTargets] = serving.NewReplica(s.isSameTarget)
	s.replicas[serving.TopicTargets].SetRestorePolicy(serving.RestorePolicy{IsOlder: s.isOlderTarget, IgnoreRemoved: true})
	s.replicas[serving.TopicConfig] = serving.NewReplica(nil)
	s.replicas[serving.TopicConfig].SetRestorePolicy(serving.RestorePolicy{IsOlder: s.isOlderConfig, KeepMissing: true})
	return s
}

// isSameTarget reports whether two records of a target have the same meaning.
func (s *replicaState) isSameTarget(id string, old, new []byte) bool {
	oldTarget, oldErr := s.decodeTarget(id, old)
	newTarget, newErr := s.decodeTarget(id, new)
	return oldErr == nil && newErr == nil && oldTarget.Equivalent(newTarget)
}

// snapshot returns the current snapshot, nil until there is a configuration.
func (s *replicaState) snapshot() *snapshot { return s.current.Load() }

// readOffset returns the position from which a topic is to be read next, and whether the topic has
// been read completely.
func (s *replicaState) readOffset(t serving.Topic) (next serving.Position, loaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[t].NextOffset(), s.replicas[t].IsLoaded()
}

// topicState returns what this entry announces of its replica of a topic to peers.
func (s *replicaState) topicState(t serving.Topic, now time.Time) peers.TopicState {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.replicas[t]
	if !r.IsLoaded() {
		return peers.TopicState{}
	}
	return peers.TopicState{Next: r.NextOffset(), Kept: r.Kept(), AgeMS: ceilMS(min(now.Sub(s.completeAt[t]), time.Hour)), Read: true}
}

// age returns the time since a topic was last known to be complete.
func (s *replicaState) age(t serving.Topic, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.completeAt[t])
}

// isStoreReachable reports whether this entry's latest call to the store succeeded.
func (s *replicaState) isStoreReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.storeFailing
}

// recordStoreSuccess logs that this entry reaches the store again.
func (s *replicaState) recordStoreSuccess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeFailing {
		s.storeFailing = false
		s.log.Info("store regained")
	}
}

func (s *replicaState) recordStoreFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.storeFailing {
		s.storeFailing = true
		s.log.Info("store lost", "error", err.Error())
	}
}

// applyChanges applies records read from the store that make the topic complete up to position next
// as of the time asOf.
func (s *replicaState) applyChanges(t serving.Topic, records []serving.Record, next serving.Position, asOf time.Time) {
	s.mu.Lock()
	applied := s.replicas[t].Apply(records, next)
	s.recordComplete(t, asOf)
	s.applyRecords(t, applied)
}

// applyNewest applies a read of the newest record of each key.
func (s *replicaState) applyNewest(t serving.Topic, records []serving.Record, end serving.Position, asOf time.Time) {
	s.mu.Lock()
	s.enterEra(t, end)
	applied := s.replicas[t].ApplySnapshot(records, end)
	s.recordComplete(t, asOf)
	s.applyRecords(t, applied)
}

// applyPeerUpdate applies records from a peer. It ignores an update that would leave a gap.
func (s *replicaState) applyPeerUpdate(t serving.Topic, update serving.ReplicaUpdate, asOf time.Time) {
	s.mu.Lock()
	if update.FromOffset > s.replicas[t].NextOffset() {
		s.mu.Unlock()
		return
	}
	if update.Full {
		s.enterEra(t, update.NextOffset)
	}
	applied := s.replicas[t].ApplyUpdate(update)
	s.recordComplete(t, asOf)
	s.applyRecords(t, applied)
}

// recordComplete records that a topic was complete as of a time, by a read of this entry or of a
// peer. If only this entry cannot reach the store, the peers keep its topics fresh. That is no
// outage: targets can renew their records.
func (s *replicaState) recordComplete(t serving.Topic, asOf time.Time) {
	if !asOf.After(s.completeAt[t]) {
		return
	}
	if t == serving.TopicTargets && !s.completeAt[t].IsZero() && asOf.Sub(s.completeAt[t]) > s.outageThreshold {
		s.outageEndedAt = time.Now()
		s.log.Info("targets known again after an outage", "ms", asOf.Sub(s.completeAt[t]).Milliseconds())
	}
	s.completeAt[t] = asOf
}

// isOutage reports whether no entry has reached the store for so long that target records may
// have lapsed.
func (s *replicaState) isOutage(now time.Time) bool {
	return now.Sub(s.completeAt[serving.TopicTargets]) > s.outageThreshold
}

// confirmComplete applies the report of a peer that its replica had all records before position next
// as of the time asOf. If this entry has these records too, its replica is as fresh as the peer's.
// isFresher is true if the gain in freshness is worth propagating.
func (s *replicaState) confirmComplete(t serving.Topic, next serving.Position, asOf time.Time) (isFresher bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if serving.OffsetOf(next) == 0 && !s.replicas[t].IsLoaded() {
		s.replicas[t].MarkEmpty(next)
	}
	if !s.replicas[t].IsLoaded() || s.replicas[t].NextOffset() < next {
		return false
	}
	isFresher = asOf.Sub(s.completeAt[t]) > minFreshnessGain
	s.recordComplete(t, asOf)
	return isFresher
}

// updateSince returns the update for a peer that has a topic up to position next and keeps records of
// earlier eras with a hash.
func (s *replicaState) updateSince(t serving.Topic, next serving.Position, kept uint64) serving.ReplicaUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[t].UpdateSince(next, kept)
}

// applyRecords applies changed records and replaces the snapshot if needed. The caller must hold the
// lock; applyRecords releases it.
func (s *replicaState) applyRecords(t serving.Topic, records []serving.Record) {
	now := time.Now()
	changed := false
	for i := range records {
		switch t {
		case serving.TopicConfig:
			changed = s.applyConfig(&records[i]) || s.applyEvacuation(&records[i]) || changed
		case serving.TopicTargets:
			changed = s.applyTarget(&records[i], now) || changed
		case serving.TopicEntries:
			s.applyEntry(&records[i])
		}
	}
	if s.targets.ExpireLapsed(now, s.isOutage(now)) {
		changed = true
	}
	if changed && s.config != nil {
		s.current.Store(&snapshot{index: s.config, targets: serving.MarkEvacuated(s.targets.ByService(s.config.HasService), s.evacuated)})
	}
	s.mu.Unlock()
}

func (s *replicaState) applyConfig(rec *serving.Record) bool {
	if len(rec.Value) == 0 {
		return false // a configuration can only be replaced, not removed
	}
	c, ok, err := s.decodeConfig(rec.Key, rec.Value)
	if !ok {
		return false
	}
	if err != nil {
		s.log.Error(err, "configuration ignored", "offset", serving.OffsetOf(rec.Offset))
		return false
	}
	if s.config != nil && c.Version <= s.config.Version {
		return false
	}
	s.config = serving.NewIndex(c)
	s.log.Info("configuration in force", "version", c.Version, "offset", serving.OffsetOf(rec.Offset),
		"routes", len(c.Routes), "services", len(c.Services), "teams", len(c.Teams))
	return true
}

// applyEvacuation applies an order to evacuate a data centre, or its withdrawal. An invalid
// record changes nothing.
func (s *replicaState) applyEvacuation(rec *serving.Record) bool {
	dataCentre, ok, err := s.decodeEvacuation(rec.Key, rec.Value)
	if !ok {
		return false
	}
	if err != nil {
		s.metrics.Count("evacuations_ignored", 1)
		s.log.Error(err, "order to evacuate ignored", "key", rec.Key, "offset", serving.OffsetOf(rec.Offset))
		return false
	}
	ordered := len(rec.Value) > 0
	if ordered == s.evacuated[dataCentre] {
		return false
	}
	if ordered {
		s.evacuated[dataCentre] = true
	} else {
		delete(s.evacuated, dataCentre)
	}
	s.log.Info("evacuation", "data_centre", dataCentre, "ordered", ordered, "targets", s.targets.CountInDataCentre(dataCentre), "offset", serving.OffsetOf(rec.Offset))
	return true
}

// applyTarget applies the record of a target. A removal soon after an outage may only mean that the
// record lapsed, so it takes effect serving.LapsedGrace after the end of the outage.
func (s *replicaState) applyTarget(rec *serving.Record, now time.Time) bool {
	if len(rec.Value) == 0 {
		removeAt := now
		if now.Sub(s.outageEndedAt) < serving.LapsedGrace {
			removeAt = s.outageEndedAt.Add(serving.LapsedGrace)
		}
		removed := s.targets.Remove(rec.Key, now, removeAt)
		s.log.Info("target gone", "target", rec.Key, "believed", removed, "after_outage_ms", now.Sub(s.outageEndedAt).Milliseconds())
		return removed
	}
	t, err := s.decodeTarget(rec.Key, rec.Value)
	if err != nil {
		// The newest record of the key is invalid, so the target counts as gone until it writes
		// its next record.
		s.metrics.Count("target_records_ignored", 1)
		s.log.Info("record of a target ignored", "target", rec.Key, "offset", serving.OffsetOf(rec.Offset), "error", err.Error())
		return s.targets.Remove(rec.Key, now, now)
	}
	if t.ColdRemaining > 0 {
		t.ColdUntil = now.Add(t.ColdRemaining)
	}
	if !s.targets.Put(t, rec.Offset) {
		return false
	}
	s.log.Info("target known", "target", t.ID, "service", t.Service, "address", t.Address, "leaving", t.Leaving, "born", t.StartedAtMS, "cold_ms", t.ColdRemaining.Milliseconds())
	return true
}

// expireTargets drops targets that have not written their records again after an outage of the
// store.
func (s *replicaState) expireTargets() {
	s.mu.Lock()
	s.applyRecords(serving.TopicTargets, nil)
}
