package route_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/route"
)

// fixedSet is a set of targets with known loads.
type fixedSet struct {
	targets []route.Target
	near    int
	index   *route.CacheIndex
}

func (s *fixedSet) Len() int       { return len(s.targets) }
func (s *fixedSet) NearCount() int { return s.near }
func (s *fixedSet) Read(i int, r *route.Request, t *route.Target) {
	*t = s.targets[i]
	if s.index != nil && i < route.IndexTargets {
		t.CachedTokens = s.index.CachedTokens(i, r.Blocks)
	}
}
func (s *fixedSet) LongestCached(r *route.Request, into []int) int {
	if s.index == nil {
		return 0
	}
	return s.index.LongestMatch(r.Blocks, r.Seed, into)
}

func newSet(n, near int) *fixedSet {
	s := &fixedSet{near: near}
	for i := range n {
		dc := "far"
		if i < near {
			dc = "near"
		}
		s.targets = append(s.targets, route.Target{
			Name: fmt.Sprintf("t%d", i), DataCentre: dc, Reachable: true, EngineUp: true,
			Slots: 32, TokensPerSec: 3000, PrefillPerSec: 30000,
		})
	}
	return s
}

func pick(s *fixedSet, r route.Request) (*route.Decision, string) {
	d := new(route.Decision)
	route.DefaultPlacer().Pick(&r, s, d)
	if best := d.Best(); best != nil {
		return d, best.Target.Name
	}
	return d, ""
}

func TestPickUsesOnlyUsableTargets(t *testing.T) {
	g := NewWithT(t)
	s := newSet(6, 3)
	s.targets[0].Leaving = true
	s.targets[1].EngineUp = false
	s.targets[2].Reachable = false
	s.targets[3].Ejected = true
	for seed := range uint64(200) {
		_, got := pick(s, route.Request{DataCentre: "near", Seed: seed, Avoid: map[string]bool{"t4": true}})
		g.Expect(got).To(Equal("t5"))
	}
	s.targets[5].Leaving = true
	d, got := pick(s, route.Request{Avoid: map[string]bool{"t4": true}})
	g.Expect(got).To(BeEmpty())
	g.Expect(d.Best()).To(BeNil())
}

func TestPickSpillsWhenItPays(t *testing.T) {
	g := NewWithT(t)
	s := newSet(4, 2)
	for seed := range uint64(100) {
		_, got := pick(s, route.Request{DataCentre: "near", Seed: seed})
		g.Expect(got).To(BeElementOf("t0", "t1"), "equal load: the entry's data centre")
	}
	for i := range 2 {
		s.targets[i].Others = route.Work{Requests: 40, Prompt: 20000, Decode: 4000}
	}
	for seed := range uint64(100) {
		_, got := pick(s, route.Request{DataCentre: "near", Seed: seed})
		g.Expect(got).To(BeElementOf("t2", "t3"), "full nearby: elsewhere")
	}
}

// A prompt's holder is chosen although it is not sampled, and left when its queue
// costs more than computing the prompt again: sticky only while it pays.
func TestPickFollowsThePrefixWhileItPays(t *testing.T) {
	g := NewWithT(t)
	s := newSet(60, 60)
	s.index = route.NewCacheIndex(1024)
	prompt := make([]byte, 40*route.BlockTokens*4)
	blocks := route.BlockHashes("team", prompt, nil)
	for _, b := range blocks {
		s.index.Add(17, b)
	}
	req := route.Request{DataCentre: "near", Cost: route.Cost{Prompt: 2560}, Blocks: blocks}
	for seed := range uint64(50) {
		req.Seed = seed
		_, got := pick(s, req)
		g.Expect(got).To(Equal("t17"))
	}
	s.targets[17].Own = route.Work{Requests: 31, Prompt: 12000, Decode: 3000}
	_, got := pick(s, req)
	g.Expect(got).NotTo(Equal("t17"))
}

// A report that is a second old says that one target is a little emptier than
// the mean. Eight entries read it; if each believed it, the target would get all
// their work. A target that was wholly idle among full ones is believed.
func TestOldReportsAreBelievedInPart(t *testing.T) {
	g := NewWithT(t)
	var m route.LoadMeans
	for range 200 {
		m.RecordSpeeds(&route.Target{TokensPerSec: 3000, PrefillPerSec: 30000}, 12)
		m.RecordLoad(route.Work{Requests: 15, Decode: 1500}, route.Work{Requests: 105, Decode: 10500}, 12)
	}
	fresh := m.DiscountStale(route.Work{Requests: 95, Decode: 9500}, 0)
	g.Expect(fresh.Requests).To(BeNumerically("~", 95, 1e-6))
	old := m.DiscountStale(route.Work{Requests: 95, Decode: 9500}, 1)
	g.Expect(old.Requests).To(BeNumerically(">", 103))
	idle := m.DiscountStale(route.Work{}, 1)
	g.Expect(idle.Requests).To(BeNumerically("<", 80))
}

func TestTrailEndsAtTheBestTold(t *testing.T) {
	g := NewWithT(t)
	var trail route.RejectionHistory
	patient := route.DefaultWaitSlack
	g.Expect(trail.MaxWait(patient)).To(Equal(patient))
	trail.Add("a", 3*patient)
	trail.Add("b", 2*patient)
	g.Expect(trail.MaxWait(patient)).To(Equal(2 * patient))
	_, settled := trail.FinalTarget()
	g.Expect(settled).To(BeFalse())
	trail.Add("c", 4*patient)
	target, settled := trail.FinalTarget()
	g.Expect(settled).To(BeTrue())
	g.Expect(target).To(Equal("b"))
}

// Targets choose their entries, so each is used by the same number of them, and an
// entry that leaves changes only the targets that it had.
func TestSubsetsCoverEvenlyAndStayStable(t *testing.T) {
	g := NewWithT(t)
	var entries []route.Node
	for i := range 110 {
		entries = append(entries, route.Node{Name: fmt.Sprintf("e%d", i), DataCentre: fmt.Sprintf("dc%d", i%5)})
	}
	serves := func(list []route.Node, target int) map[string]bool {
		used := make(map[string]bool)
		for _, e := range list {
			if route.UsesTarget(e, list, fmt.Sprintf("t%d", target), fmt.Sprintf("dc%d", target%5), 300) {
				used[e.Name] = true
			}
		}
		return used
	}
	for target := range 300 {
		before := serves(entries, target)
		g.Expect(before).To(HaveLen(route.EntriesNear + route.EntriesFar))
		after := serves(entries[1:], target)
		for name := range before {
			g.Expect(name == "e0" || after[name]).To(BeTrue())
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 157, 1100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSet(n, n/3)
			s.index = route.NewCacheIndex(1 << 15)
			blocks := route.BlockHashes("team", make([]byte, route.MaxBlocks*route.BlockTokens*4), nil)
			for _, block := range blocks {
				s.index.Add(3, block)
			}
			p := route.DefaultPlacer()
			r := route.Request{DataCentre: "near", Cost: route.Cost{Prompt: 600, Decode: 100}, Blocks: blocks}
			d := new(route.Decision)
			b.ReportAllocs()
			for b.Loop() {
				r.Seed++
				p.Pick(&r, s, d)
			}
		})
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	g := NewWithT(t)
	s := newSet(157, 50)
	p, d := route.DefaultPlacer(), new(route.Decision)
	r := route.Request{DataCentre: "near"}
	g.Expect(testing.AllocsPerRun(100, func() {
		r.Seed++
		p.Pick(&r, s, d)
	})).To(BeZero())
}
