package serving

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A request goes by the longest prefix of its host's routes; a prefix ends with a
// slash, so one route's name may begin another's.
func TestTheLongestPrefixDecides(t *testing.T) {
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

// Weights of a route that is split decide by shares; a weight of zero gets nothing.
func TestARouteIsSplitByWeight(t *testing.T) {
	g := NewWithT(t)
	r := Route{ServiceWeights: []ServiceWeight{{"a", 3}, {"none", 0}, {"b", 1}}}
	count := make(map[string]int)
	for i := range 1000 {
		count[r.PickService(float64(i)/1000)]++
	}
	g.Expect(count).To(Equal(map[string]int{"a": 750, "b": 250}))
}

// Records come from the store and from peers, late, doubled and in any order, with
// resets in between. What a replica holds of a key never gets older, and in the end
// it holds what the log says.
func TestAReplicaNeverGoesBack(t *testing.T) {
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
				r.ApplySnapshot(newestOf(log[:to]), uint64(to))
			} else {
				r.ApplyUpdate(ReplicaUpdate{Records: log[from:to], FromOffset: uint64(from), NextOffset: uint64(to)})
			}
			for key, rec := range r.records {
				g.Expect(rec.Offset).To(BeNumerically(">=", seen[key]), "seed %d key %s", seed, key)
				seen[key] = rec.Offset
			}
		}
		r.ApplySnapshot(newestOf(log), uint64(len(log)))
		for _, want := range newestOf(log) {
			g.Expect(r.records[want.Key].Value).To(Equal(want.Value), "seed %d key %s", seed, want.Key)
		}
	}
}

func newestOf(log []Record) []Record {
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

// A peer's news that do not join what is known would leave a gap, and a target's
// leaving could lie in it: they are refused.
func TestNewsWithAGapAreRefused(t *testing.T) {
	g := NewWithT(t)
	r := NewReplica(nil)
	r.ApplyUpdate(ReplicaUpdate{Records: []Record{{Key: "a", Value: []byte("1"), Offset: 0}}, NextOffset: 1})
	g.Expect(r.ApplyUpdate(ReplicaUpdate{Records: []Record{{Key: "b", Value: []byte("1"), Offset: 5}}, FromOffset: 5, NextOffset: 6})).To(BeEmpty())
	g.Expect(r.NextOffset()).To(Equal(uint64(1)))
}

// A target's record lapses while the store is away and comes back with the store:
// it was never unusable. One that does not come back is gone after the wait, and
// not before; nothing can come back while the store is still away.
func TestLapsedTargetsAreKeptForAWhile(t *testing.T) {
	g := NewWithT(t)
	s := NewTargetSet()
	now := time.Now()
	s.Put(Target{ID: "back", Service: "s", Address: "a"}, 1)
	s.Put(Target{ID: "gone", Service: "s", Address: "b"}, 2)
	believe := now.Add(LapsedGrace)
	g.Expect(s.Remove("back", now, believe)).To(BeFalse())
	g.Expect(s.Remove("gone", now, believe)).To(BeFalse())
	g.Expect(s.ByService(anyService)["s"]).To(HaveLen(2))
	s.Put(Target{ID: "back", Service: "s", Address: "a"}, 3)
	g.Expect(s.ExpireLapsed(now.Add(LapsedGrace/2), false)).To(BeFalse())
	s.ExpireLapsed(now.Add(2*LapsedGrace), true)
	g.Expect(s.ByService(anyService)["s"]).To(HaveLen(2), "the store is away again")
	g.Expect(s.ExpireLapsed(now.Add(4*LapsedGrace), false)).To(BeTrue())
	left := s.ByService(anyService)["s"]
	g.Expect(left).To(HaveLen(1))
	g.Expect(left[0].ID).To(Equal("back"))
}

// All targets lose power and come back as new runs at their addresses, while the
// records of the old runs have not lapsed. Only the new runs take requests; a
// request for an old one would be turned away.
func TestALaterRunReplacesAnEarlierAtItsAddress(t *testing.T) {
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

// An entry starts after a target's record was removed. It reads the newest records,
// which do not tell of that, and answers a peer that read last before the removal. The
// peer must learn that the target is gone: believing that it now knows everything up
// to the newcomer's offset, it would send to the target for good.
func TestANewcomerTellsOfRemovalsBeforeItsStart(t *testing.T) {
	g := NewWithT(t)
	peer, newcomer := NewReplica(nil), NewReplica(nil)
	peer.ApplySnapshot([]Record{{Key: "gone", Value: []byte("x"), Offset: 5}, {Key: "stays", Value: []byte("x"), Offset: 6}}, 7)
	newcomer.ApplySnapshot([]Record{{Key: "stays", Value: []byte("x"), Offset: 6}, {Key: "new", Value: []byte("x"), Offset: 8}}, 9)
	news := peer.ApplyUpdate(newcomer.UpdateSince(peer.NextOffset()))
	g.Expect(peer.NextOffset()).To(Equal(uint64(9)))
	g.Expect(keysOf(news)).To(ConsistOf("-gone", "+new"))
}

// An entry finds its place in the history dropped, and reads the newest records. A
// removal that it notices so must reach a peer that has read further than the record
// that was removed.
func TestARemovalFoundAfterAGapReachesPeers(t *testing.T) {
	g := NewWithT(t)
	reader, peer := NewReplica(nil), NewReplica(nil)
	old := []Record{{Key: "gone", Value: []byte("x"), Offset: 5}, {Key: "stays", Value: []byte("x"), Offset: 6}}
	reader.ApplySnapshot(old, 7)
	peer.ApplySnapshot(old, 7)
	peer.Apply([]Record{{Key: "late", Value: []byte("x"), Offset: 7}}, 8)
	reader.ApplySnapshot([]Record{{Key: "stays", Value: []byte("x"), Offset: 6}}, 10)
	news := peer.ApplyUpdate(reader.UpdateSince(peer.NextOffset()))
	g.Expect(keysOf(news)).To(ConsistOf("-gone", "-late"))
}

// keysOf names what news add and remove.
func keysOf(news []Record) []string {
	var keys []string
	for _, r := range news {
		sign := "+"
		if len(r.Value) == 0 {
			sign = "-"
		}
		keys = append(keys, sign+r.Key)
	}
	return keys
}

// Some replicas read the log, some start late with its newest records, and all tell
// each other what they lack, in any order. Whoever knows all records before an offset
// must hold just the keys that exist there: a removal that gets lost on such a way is
// told by nobody any more.
func TestReplicasThatTellEachOtherAgreeWithTheLog(t *testing.T) {
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
					r.ApplySnapshot(newestOf(log), uint64(len(log)))
				}
			case 3:
				if rng.IntN(8) == 0 {
					replicas[rng.IntN(len(replicas))] = NewReplica(nil)
				}
			default:
				r.ApplyUpdate(replicas[rng.IntN(len(replicas))].UpdateSince(r.NextOffset()))
			}
			for _, r := range replicas {
				g.Expect(existing(r)).To(ConsistOf(keysAt(log[:r.NextOffset()])), "seed %d, offset %d", seed, r.NextOffset())
			}
		}
	}
}

func existing(r *Replica) []string {
	var keys []string
	for key, rec := range r.records {
		if len(rec.Value) > 0 {
			keys = append(keys, key)
		}
	}
	return keys
}

func keysAt(log []Record) []string {
	var keys []string
	for _, rec := range newestOf(log) {
		keys = append(keys, rec.Key)
	}
	return keys
}

func anyService(string) bool { return true }

// A target leaves and starts again under its id. The store carries out a write of
// before the restart last, and a write of before the leaving. Neither may lie on top
// of what came after it: a leaving target would get work again.
func TestAnOlderRecordDoesNotReplaceANewerOne(t *testing.T) {
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

// Another writer names a target's address with a service that nobody configured. The
// target itself is still there, though its record is the earlier one.
func TestAnUnknownServiceHidesNoTarget(t *testing.T) {
	g := NewWithT(t)
	s := NewTargetSet()
	s.Put(Target{ID: "i", Service: "s", Address: "a"}, 1)
	s.Put(Target{ID: "x", Service: "nobody's", Address: "a"}, 2)
	lists := s.ByService(func(service string) bool { return service == "s" })
	g.Expect(lists).To(HaveLen(1))
	g.Expect(lists["s"]).To(HaveLen(1))
}

// Guards against a topic without records that counts as never read, so that nobody can be told it.
func TestATopicWithoutRecordsMayBeKnown(t *testing.T) {
	g := NewWithT(t)
	r := NewReplica(nil)
	r.MarkEmpty()
	g.Expect(r.IsLoaded()).To(BeTrue())
	g.Expect(r.NextOffset()).To(BeZero())
	g.Expect(r.Apply([]Record{{Key: "a", Value: []byte("x"), Offset: 0}}, 1)).To(HaveLen(1))
}
