package serving

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Of the routes of a host, the one with the longest matching prefix must be chosen. Prefixes end
// with a slash, so one route's name may begin with another's.
func TestRouteHasLongestMatchingPrefix(t *testing.T) {
	g := NewWithT(t)
	x := NewIndex(Config{Routes: []Route{
		{Name: "all", Host: "h", Prefix: "/a/"},
		{Name: "deep", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "o", Prefix: "/a/"},
	}})
	name := func(host, path string) string {
		if r := x.Route(host, path); r != nil {
			return r.Name
		}
		return ""
	}
	g.Expect(name("h", "/a/b/c")).To(Equal("deep"))
	g.Expect(name("h:80", "/a/bc")).To(Equal("all"))
	g.Expect(name("o", "/a/b/c")).To(Equal("other"))
	g.Expect(name("h", "/a")).To(BeEmpty())
	g.Expect(name("x", "/a/b")).To(BeEmpty())
}

// A split route distributes requests by weight; a weight of zero gets none.
func TestPickServiceFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	r := Route{ServiceWeights: []ServiceWeight{{"a", 3}, {"none", 0}, {"b", 1}}}
	count := make(map[string]int)
	for i := range 1000 {
		count[r.PickService(float64(i)/1000)]++
	}
	g.Expect(count).To(Equal(map[string]int{"a": 750, "b": 250}))
}

// Updates from the store and from peers arrive late, duplicated and in any order, mixed with
// snapshots. No record may be replaced by an older one, and the result must match the log.
func TestReplicaNeverReplacesRecordByOlderOne(t *testing.T) {
	for seed := range uint64(40) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 3))
		keys := []string{"a", "b", "c"}
		var log []Record
		for i := range 60 {
			rec := Record{Key: keys[rng.IntN(3)], Offset: uint64(i), Value: []byte{byte(i)}}
			if rng.IntN(6) == 0 {
				rec.Value = nil
			}
			log = append(log, rec)
		}
		r := NewReplica(nil)
		seen := make(map[string]uint64)
		for range 80 {
			from := rng.IntN(len(log))
			to := from + rng.IntN(len(log)-from) + 1
			if rng.IntN(3) == 0 {
				r.ApplySnapshot(newestRecords(log[:to]), uint64(to))
			} else {
				r.ApplyUpdate(ReplicaUpdate{Records: log[from:to], FromOffset: uint64(from), NextOffset: uint64(to)})
			}
			for key, rec := range r.records {
				g.Expect(rec.Offset).To(BeNumerically(">=", seen[key]), "seed %d key %s", seed, key)
				seen[key] = rec.Offset
			}
		}
		r.ApplySnapshot(newestRecords(log), uint64(len(log)))
		for _, want := range newestRecords(log) {
			g.Expect(r.records[want.Key].Value).To(Equal(want.Value), "seed %d key %s", seed, want.Key)
		}
	}
}

func newestRecords(log []Record) []Record {
	newest := make(map[string]Record)
	for _, rec := range log {
		newest[rec.Key] = rec
	}
	var list []Record
	for _, rec := range newest {
		if len(rec.Value) > 0 {
			list = append(list, rec)
		}
	}
	return list
}

// An update begins after the records that a replica knows. The gap could contain the removal of a
// target, which the replica would miss.
func TestUpdateAfterGapIsIgnored(t *testing.T) {
	g := NewWithT(t)
	r := NewReplica(nil)
	r.ApplyUpdate(ReplicaUpdate{Records: []Record{{Key: "a", Value: []byte("1"), Offset: 0}}, NextOffset: 1})
	g.Expect(r.ApplyUpdate(ReplicaUpdate{Records: []Record{{Key: "b", Value: []byte("1"), Offset: 5}}, FromOffset: 5, NextOffset: 6})).To(BeEmpty())
	g.Expect(r.NextOffset()).To(Equal(uint64(1)))
}

// A target whose record lapses during a store outage stays usable and may come back. If it
// does not, it is removed after the grace time, which does not pass while the store is down.
func TestLapsedTargetIsRemovedAfterGrace(t *testing.T) {
	g := NewWithT(t)
	s := NewTargetSet()
	now := time.Now()
	s.Put(Target{ID: "back", Service: "s", Address: "a"}, 1)
	s.Put(Target{ID: "gone", Service: "s", Address: "b"}, 2)
	expireAt := now.Add(LapsedGrace)
	g.Expect(s.Remove("back", now, expireAt)).To(BeFalse())
	g.Expect(s.Remove("gone", now, expireAt)).To(BeFalse())
	g.Expect(s.ByService(anyService)["s"]).To(HaveLen(2))
	s.Put(Target{ID: "back", Service: "s", Address: "a"}, 3)
	g.Expect(s.ExpireLapsed(now.Add(LapsedGrace/2), false)).To(BeFalse())
	s.ExpireLapsed(now.Add(2*LapsedGrace), true)
	g.Expect(s.ByService(anyService)["s"]).To(HaveLen(2), "the store is down again")
	g.Expect(s.ExpireLapsed(now.Add(4*LapsedGrace), false)).To(BeTrue())
	left := s.ByService(anyService)["s"]
	g.Expect(left).To(HaveLen(1))
	g.Expect(left[0].ID).To(Equal("back"))
}

// After a power loss targets come back as new runs at their addresses while the old records
// have not lapsed. Requests for the old runs would be rejected.
func TestLaterRunReplacesEarlierAtSameAddress(t *testing.T) {
	g := NewWithT(t)
	s := NewTargetSet()
	s.Put(Target{ID: "z-old", Service: "s", Address: "a"}, 5)
	s.Put(Target{ID: "a-new", Service: "s", Address: "a"}, 9)
	s.Put(Target{ID: "other", Service: "t", Address: "b"}, 6)
	lists := s.ByService(anyService)
	g.Expect(lists["s"]).To(HaveLen(1))
	g.Expect(lists["s"][0].ID).To(Equal("a-new"))
	g.Expect(lists["t"]).To(HaveLen(1))
	now := time.Now()
	g.Expect(s.Remove("z-old", now, now)).To(BeTrue())
	g.Expect(s.ByService(anyService)["s"]).To(HaveLen(1))
}

// A new entry's snapshot does not contain the removal of a target. A peer that read the store
// before the removal must still learn of it, or it would send requests to the target for ever.
func TestNewReplicaPropagatesRemovalsBeforeItsStart(t *testing.T) {
	g := NewWithT(t)
	peer, startedLater := NewReplica(nil), NewReplica(nil)
	peer.ApplySnapshot([]Record{{Key: "gone", Value: []byte("x"), Offset: 5}, {Key: "stays", Value: []byte("x"), Offset: 6}}, 7)
	startedLater.ApplySnapshot([]Record{{Key: "stays", Value: []byte("x"), Offset: 6}, {Key: "new", Value: []byte("x"), Offset: 8}}, 9)
	changes := peer.ApplyUpdate(startedLater.UpdateSince(peer.NextOffset(), peer.Kept()))
	g.Expect(peer.NextOffset()).To(Equal(uint64(9)))
	g.Expect(signedKeys(changes)).To(ConsistOf("-gone", "+new"))
}

// A reader whose offset was trimmed finds a removal by reading a snapshot. The removal must
// reach a peer that has read further than the removed record.
func TestRemovalFoundAfterTrimReachesPeers(t *testing.T) {
	g := NewWithT(t)
	reader, peer := NewReplica(nil), NewReplica(nil)
	old := []Record{{Key: "gone", Value: []byte("x"), Offset: 5}, {Key: "stays", Value: []byte("x"), Offset: 6}}
	reader.ApplySnapshot(old, 7)
	peer.ApplySnapshot(old, 7)
	peer.Apply([]Record{{Key: "late", Value: []byte("x"), Offset: 7}}, 8)
	reader.ApplySnapshot([]Record{{Key: "stays", Value: []byte("x"), Offset: 6}}, 10)
	changes := peer.ApplyUpdate(reader.UpdateSince(peer.NextOffset(), peer.Kept()))
	g.Expect(signedKeys(changes)).To(ConsistOf("-gone", "-late"))
}

// signedKeys returns the key of each change, with a "-" before removed keys and a "+" before
// others.
func signedKeys(changes []Record) []string {
	var keys []string
	for _, r := range changes {
		sign := "+"
		if len(r.Value) == 0 {
			sign = "-"
		}
		keys = append(keys, sign+r.Key)
	}
	return keys
}

// Replicas read the log, start late with a snapshot, and update each other in any order. A
// replica that knows all records before an offset must hold exactly the keys that exist there.
func TestReplicasThatUpdateEachOtherMatchLog(t *testing.T) {
	for seed := range uint64(60) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 8))
		keys := []string{"a", "b", "c", "d", "e"}
		var log []Record
		replicas := []*Replica{NewReplica(nil), NewReplica(nil), NewReplica(nil), NewReplica(nil)}
		for range 400 {
			r := replicas[rng.IntN(len(replicas))]
			switch rng.IntN(6) {
			case 0:
				rec := Record{Key: keys[rng.IntN(len(keys))], Offset: uint64(len(log))}
				if rng.IntN(2) == 0 {
					rec.Value = []byte{1}
				}
				log = append(log, rec)
			case 1:
				if r.IsLoaded() {
					r.Apply(log[r.NextOffset():], uint64(len(log)))
				}
			case 2:
				if rng.IntN(4) == 0 {
					r.ApplySnapshot(newestRecords(log), uint64(len(log)))
				}
			case 3:
				if rng.IntN(8) == 0 {
					replicas[rng.IntN(len(replicas))] = NewReplica(nil)
				}
			default:
				r.ApplyUpdate(replicas[rng.IntN(len(replicas))].UpdateSince(r.NextOffset(), r.Kept()))
			}
			for _, r := range replicas {
				g.Expect(existingKeys(r)).To(ConsistOf(newestKeys(log[:r.NextOffset()])), "seed %d, offset %d", seed, r.NextOffset())
			}
		}
	}
}

func existingKeys(r *Replica) []string {
	var keys []string
	for key, rec := range r.records {
		if len(rec.Value) > 0 {
			keys = append(keys, key)
		}
	}
	return keys
}

func newestKeys(log []Record) []string {
	var keys []string
	for _, rec := range newestRecords(log) {
		keys = append(keys, rec.Key)
	}
	return keys
}

func anyService(string) bool { return true }

// The store may apply a target's earlier records last: those from before its restart, or from before
// it began to leave. Such a stale record must not give a leaving target requests again.
func TestStaleRecordDoesNotReplaceNewerOne(t *testing.T) {
	g := NewWithT(t)
	s := NewTargetSet()
	s.Put(Target{ID: "i", StartedAtMS: 1, Sequence: 9, Service: "s", Address: "a", Leaving: true}, 5)
	g.Expect(s.Put(Target{ID: "i", StartedAtMS: 1, Sequence: 8, Service: "s", Address: "a"}, 6)).To(BeFalse())
	g.Expect(s.ByService(anyService)["s"][0].Leaving).To(BeTrue())
	g.Expect(s.Put(Target{ID: "i", StartedAtMS: 2, Sequence: 1, Service: "s", Address: "a"}, 7)).To(BeTrue())
	g.Expect(s.Put(Target{ID: "i", StartedAtMS: 1, Sequence: 10, Service: "s", Address: "a", Leaving: true}, 8)).To(BeFalse())
	g.Expect(s.ByService(anyService)["s"][0].Run()).To(Equal(Run{ID: "i", StartedAtMS: 2}))
	g.Expect(s.ByService(anyService)["s"][0].Leaving).To(BeFalse())
}

// Another writer's later record has a target's address and an unconfigured service. The target
// must stay listed.
func TestRecordOfUnconfiguredServiceHidesNoTarget(t *testing.T) {
	g := NewWithT(t)
	s := NewTargetSet()
	s.Put(Target{ID: "i", Service: "s", Address: "a"}, 1)
	s.Put(Target{ID: "x", Service: "unconfigured", Address: "a"}, 2)
	lists := s.ByService(func(service string) bool { return service == "s" })
	g.Expect(lists).To(HaveLen(1))
	g.Expect(lists["s"]).To(HaveLen(1))
}

// A topic without records must count as read, or entries could not notify each other of it.
func TestEmptyTopicCountsAsLoaded(t *testing.T) {
	g := NewWithT(t)
	r := NewReplica(nil)
	r.MarkEmpty(0)
	g.Expect(r.IsLoaded()).To(BeTrue())
	g.Expect(r.NextOffset()).To(BeZero())
	g.Expect(r.Apply([]Record{{Key: "a", Value: []byte("x"), Offset: 0}}, 1)).To(HaveLen(1))
}
