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

// view is what requests are decided by. It does not change.
type view struct {
	index   *serving.Index
	targets map[string][]*serving.Target // by service
}

// knowledge is the gateway's copy of the store's topics. News come from the
// store and from peers alike.
type knowledge struct {
	decodeConfig     func(string, []byte) (serving.Config, bool, error)
	decodeEvacuation func(string, []byte) (string, bool, error)
	decodeTarget     func(string, []byte) (serving.Target, error)
	outageGap        time.Duration
	log              logr.Logger
	metrics          *metrics.Set
	current          atomic.Pointer[view]

	mu        sync.Mutex
	replicas  [serving.NumTopics]*serving.Replica
	fresh     [serving.NumTopics]time.Time // when the replica was last known to be complete
	config    *serving.Index
	targets   *serving.TargetSet
	evacuated map[string]bool           // data centres whose targets get no work
	regained  time.Time                 // when the store was back after an outage for all entries
	failing   bool                      // our own calls to the store
	entries   map[string]peers.Presence // by name, from their records
	met       func(p peers.Presence)    // hears of each record of an entry
}

// outageBeats is how many of the targets' heartbeats nobody may have read the targets for
// an outage to count. Records lapse after three without a sign, the first of which may have
// been just before the outage, so a shorter one costs none.
const outageBeats = 2

func newKnowledge(o *Options) *knowledge {
	k := &knowledge{
		decodeConfig:     o.DecodeConfig,
		decodeEvacuation: o.DecodeEvacuation,
		decodeTarget:     o.DecodeTarget,
		outageGap:        outageBeats * o.TargetHeartbeatInterval,
		log:              o.Log,
		metrics:          o.Metrics,
		targets:          serving.NewTargetSet(),
		evacuated:        make(map[string]bool),
		entries:          make(map[string]peers.Presence),
		met:              func(peers.Presence) {},
	}
	for i := range k.replicas {
		k.replicas[i] = serving.NewPermanentReplica()
	}
	k.replicas[serving.TopicTargets] = serving.NewReplica(k.sameTarget)
	k.replicas[serving.TopicConfig] = serving.NewReplica(nil)
	return k
}

// sameTarget tells whether two records of a target say the same.
func (k *knowledge) sameTarget(id string, old, new []byte) bool {
	a, errA := k.decodeTarget(id, old)
	b, errB := k.decodeTarget(id, new)
	return errA == nil && errB == nil && a.Equivalent(b)
}

// view returns what is known now, nil before there is a configuration.
func (k *knowledge) view() *view { return k.current.Load() }

// position returns where to read a topic on, and whether it has been read whole.
func (k *knowledge) position(t serving.Topic) (next uint64, loaded bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replicas[t].NextOffset(), k.replicas[t].IsLoaded()
}

// age returns how long ago a topic was last known to be complete.
func (k *knowledge) age(t serving.Topic, now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.fresh[t])
}

// reachesStore tells whether our latest call to the store was answered.
func (k *knowledge) reachesStore() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.failing
}

// storeAnswered and storeFailed log when this entry loses and regains the store.
func (k *knowledge) storeAnswered() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failing {
		k.failing = false
		k.log.Info("store regained")
	}
}

func (k *knowledge) storeFailed(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.failing {
		k.failing = true
		k.log.Info("store lost", "error", err.Error())
	}
}

// changes takes records read from the store, complete up to next at the time asOf.
func (k *knowledge) changes(t serving.Topic, records []serving.Record, next uint64, asOf time.Time) {
	k.mu.Lock()
	news := k.replicas[t].Apply(records, next)
	k.noteFresh(t, asOf)
	k.apply(t, news)
}

// newest takes the newest records of all keys.
func (k *knowledge) newest(t serving.Topic, records []serving.Record, end uint64, asOf time.Time) {
	k.mu.Lock()
	news := k.replicas[t].ApplySnapshot(records, end)
	k.noteFresh(t, asOf)
	k.apply(t, news)
}

// adopt takes a peer's records.
func (k *knowledge) adopt(t serving.Topic, n serving.ReplicaUpdate, asOf time.Time) {
	k.mu.Lock()
	if n.FromOffset > k.replicas[t].NextOffset() {
		k.mu.Unlock()
		return
	}
	news := k.replicas[t].ApplyUpdate(n)
	k.noteFresh(t, asOf)
	k.apply(t, news)
}

// noteFresh notes that a topic was complete at a time, by our own reading or a
// peer's. A store that turned away this entry only was away for nobody else, and
// no target lost its record.
func (k *knowledge) noteFresh(t serving.Topic, asOf time.Time) {
	if !asOf.After(k.fresh[t]) {
		return
	}
	if t == serving.TopicTargets && !k.fresh[t].IsZero() && asOf.Sub(k.fresh[t]) > k.outageGap {
		k.regained = time.Now()
		k.log.Info("targets known again after an outage", "ms", asOf.Sub(k.fresh[t]).Milliseconds())
	}
	k.fresh[t] = asOf
}

// outage tells whether the store has been away for all entries for so long that
// records of targets may have lapsed.
func (k *knowledge) outage(now time.Time) bool {
	return now.Sub(k.fresh[serving.TopicTargets]) > k.outageGap
}

// confirm notes that a peer knew all records before next at the time asOf; if we
// know them too, ours are as fresh. fresher tells that this is worth telling others.
func (k *knowledge) confirm(t serving.Topic, next uint64, asOf time.Time) (fresher bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if next == 0 {
		k.replicas[t].MarkEmpty()
	}
	if !k.replicas[t].IsLoaded() || k.replicas[t].NextOffset() < next {
		return false
	}
	fresher = asOf.Sub(k.fresh[t]) > fresherBy
	k.noteFresh(t, asOf)
	return fresher
}

// since returns what a peer lacks of a topic.
func (k *knowledge) since(t serving.Topic, next uint64) serving.ReplicaUpdate {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replicas[t].UpdateSince(next)
}

// apply works news into the view. It is called with the lock held and releases it.
func (k *knowledge) apply(t serving.Topic, news []serving.Record) {
	now := time.Now()
	changed := false
	for i := range news {
		switch t {
		case serving.TopicConfig:
			changed = k.applyConfig(&news[i]) || k.applyEvacuation(&news[i]) || changed
		case serving.TopicTargets:
			changed = k.applyTarget(&news[i], now) || changed
		case serving.TopicEntries:
			k.applyEntry(&news[i])
		}
	}
	if k.targets.ExpireLapsed(now, k.outage(now)) {
		changed = true
	}
	if changed && k.config != nil {
		k.current.Store(&view{index: k.config, targets: serving.MarkEvacuated(k.targets.ByService(k.config.HasService), k.evacuated)})
	}
	k.mu.Unlock()
}

func (k *knowledge) applyConfig(rec *serving.Record) bool {
	if len(rec.Value) == 0 {
		return false // a configuration is never taken back, only replaced
	}
	c, ok, err := k.decodeConfig(rec.Key, rec.Value)
	if !ok {
		return false
	}
	if err != nil {
		k.log.Error(err, "configuration ignored", "offset", rec.Offset)
		return false
	}
	if k.config != nil && c.Version <= k.config.Version {
		return false
	}
	k.config = serving.NewIndex(c)
	k.log.Info("configuration in force", "version", c.Version, "offset", rec.Offset,
		"routes", len(c.Routes), "services", len(c.Services), "teams", len(c.Teams))
	return true
}

// applyEvacuation applies an order to evacuate a data centre, or its withdrawal. A record that
// can't be read changes nothing.
func (k *knowledge) applyEvacuation(rec *serving.Record) bool {
	dataCentre, ok, err := k.decodeEvacuation(rec.Key, rec.Value)
	if !ok {
		return false
	}
	if err != nil {
		k.metrics.Count("evacuations_ignored", 1)
		k.log.Error(err, "order to evacuate ignored", "key", rec.Key, "offset", rec.Offset)
		return false
	}
	ordered := len(rec.Value) > 0
	if ordered == k.evacuated[dataCentre] {
		return false
	}
	if ordered {
		k.evacuated[dataCentre] = true
	} else {
		delete(k.evacuated, dataCentre)
	}
	k.log.Info("evacuation", "data_centre", dataCentre, "ordered", ordered, "targets", k.targets.CountInDataCentre(dataCentre), "offset", rec.Offset)
	return true
}

func (k *knowledge) applyTarget(rec *serving.Record, now time.Time) bool {
	if len(rec.Value) == 0 {
		believe := now
		if now.Sub(k.regained) < serving.LapsedGrace {
			believe = k.regained.Add(serving.LapsedGrace)
		}
		gone := k.targets.Remove(rec.Key, now, believe)
		k.log.Info("target gone", "target", rec.Key, "believed", gone, "after_outage_ms", now.Sub(k.regained).Milliseconds())
		return gone
	}
	t, err := k.decodeTarget(rec.Key, rec.Value)
	if err != nil {
		// The newest record of the key names no target, so there is none until the
		// target's own next record.
		k.metrics.Count("target_records_ignored", 1)
		k.log.Info("record of a target ignored", "target", rec.Key, "offset", rec.Offset, "error", err.Error())
		return k.targets.Remove(rec.Key, now, now)
	}
	if t.ColdRemaining > 0 {
		t.ColdUntil = now.Add(t.ColdRemaining)
	}
	if !k.targets.Put(t, rec.Offset) {
		return false
	}
	k.log.Info("target known", "target", t.ID, "service", t.Service, "address", t.Address, "leaving", t.Leaving, "born", t.StartedAtMS, "cold_ms", t.ColdRemaining.Milliseconds())
	return true
}

// expire drops targets that have not come back after an outage.
func (k *knowledge) expire() {
	k.mu.Lock()
	k.apply(serving.TopicTargets, nil)
}
