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
	r := Route{Shares: []Share{{"a", 3}, {"none", 0}, {"b", 1}}}
	count := make(map[string]int)
	for i := range 1000 {
		count[r.Service(float64(i)/1000)]++
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
				r.Reset(newestOf(log[:to]), uint64(to))
			} else {
				r.Adopt(log[from:to], uint64(from), uint64(to))
			}
			for key, rec := range r.records {
				g.Expect(rec.Offset).To(BeNumerically(">=", seen[key]), "seed %d key %s", seed, key)
				seen[key] = rec.Offset
			}
		}
		r.Reset(newestOf(log), uint64(len(log)))
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
	r.Adopt([]Record{{Key: "a", Value: []byte("1"), Offset: 0}}, 0, 1)
	g.Expect(r.Adopt([]Record{{Key: "b", Value: []byte("1"), Offset: 5}}, 5, 6)).To(BeEmpty())
	g.Expect(r.Next()).To(Equal(uint64(1)))
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
	believe := now.Add(ReturnWait)
	g.Expect(s.Remove("back", now, believe)).To(BeFalse())
	g.Expect(s.Remove("gone", now, believe)).To(BeFalse())
	g.Expect(s.ByService()["s"]).To(HaveLen(2))
	s.Put(Target{ID: "back", Service: "s", Address: "a"}, 3)
	g.Expect(s.Expire(now.Add(ReturnWait/2), false)).To(BeFalse())
	s.Expire(now.Add(2*ReturnWait), true)
	g.Expect(s.ByService()["s"]).To(HaveLen(2), "the store is away again")
	g.Expect(s.Expire(now.Add(4*ReturnWait), false)).To(BeTrue())
	left := s.ByService()["s"]
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
	lists := s.ByService()
	g.Expect(lists["s"]).To(HaveLen(1))
	g.Expect(lists["s"][0].ID).To(Equal("a-new"))
	g.Expect(lists["t"]).To(HaveLen(1))
	now := time.Now()
	g.Expect(s.Remove("z-old", now, now)).To(BeTrue())
	g.Expect(s.ByService()["s"]).To(HaveLen(1))
}
