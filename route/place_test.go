package route_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/route"
)

// fixedPool is a TargetPool with given loads.
type fixedPool struct {
	targets []route.Target
	near    int
	index   *route.CacheIndex
}

func (pool *fixedPool) Len() int       { return len(pool.targets) }
func (pool *fixedPool) NearCount() int { return pool.near }
func (pool *fixedPool) Read(i int, r *route.Request, t *route.Target) {
	*t = pool.targets[i]
	if pool.index != nil && i < route.IndexTargets {
		t.CachedTokens = pool.index.CachedTokens(i, r.Blocks)
	}
}
func (pool *fixedPool) LongestCached(r *route.Request, dst []int) int {
	if pool.index == nil {
		return 0
	}
	return pool.index.LongestMatch(r.Blocks, r.Seed, dst)
}

func newPool(n, near int) *fixedPool {
	pool := &fixedPool{near: near}
	for i := range n {
		dc := "far"
		if i < near {
			dc = "near"
		}
		pool.targets = append(pool.targets, route.Target{
			Name: fmt.Sprintf("t%d", i), DataCentre: dc, Reachable: true, EngineUp: true,
			Slots: 32, TokensPerSec: 3000, PrefillPerSec: 30000,
		})
	}
	return pool
}

func pick(pool *fixedPool, r route.Request) (*route.Decision, string) {
	d := new(route.Decision)
	route.DefaultPlacer().Pick(&r, pool, d)
	if best := d.Best(); best != nil {
		return d, best.Target.Name
	}
	return d, ""
}

func TestPickSelectsOnlyUsableTargets(t *testing.T) {
	g := NewWithT(t)
	pool := newPool(6, 3)
	pool.targets[0].Leaving = true
	pool.targets[1].EngineUp = false
	pool.targets[2].Reachable = false
	pool.targets[3].Ejected = true
	for seed := range uint64(200) {
		_, picked := pick(pool, route.Request{DataCentre: "near", Seed: seed, Avoid: map[string]bool{"t4": true}})
		g.Expect(picked).To(Equal("t5"))
	}
	pool.targets[5].Leaving = true
	d, picked := pick(pool, route.Request{Avoid: map[string]bool{"t4": true}})
	g.Expect(picked).To(BeEmpty())
	g.Expect(d.Best()).To(BeNil())
}

func TestPickSelectsRemoteTargetsWhenLocalOnesAreFull(t *testing.T) {
	g := NewWithT(t)
	pool := newPool(4, 2)
	for seed := range uint64(100) {
		_, picked := pick(pool, route.Request{DataCentre: "near", Seed: seed})
		g.Expect(picked).To(BeElementOf("t0", "t1"), "with equal load a target in the entry's data centre")
	}
	for i := range 2 {
		pool.targets[i].Others = route.Work{Requests: 40, Prompt: 20000, Decode: 4000}
	}
	for seed := range uint64(100) {
		_, picked := pick(pool, route.Request{DataCentre: "near", Seed: seed})
		g.Expect(picked).To(BeElementOf("t2", "t3"), "a target elsewhere if the local ones are full")
	}
}

// The target that has cached the prompt is chosen although it is not sampled, unless the
// wait in its queue is longer than the prefill of the prompt elsewhere.
func TestPickPrefersCachedPrefixUnlessQueueIsLonger(t *testing.T) {
	g := NewWithT(t)
	pool := newPool(60, 60)
	pool.index = route.NewCacheIndex(1024)
	prompt := make([]byte, 40*route.BlockTokens*4)
	blocks := route.BlockHashes("team", prompt, nil)
	for _, b := range blocks {
		pool.index.Add(17, b)
	}
	req := route.Request{DataCentre: "near", Cost: route.Cost{Prompt: 2560}, Blocks: blocks}
	for seed := range uint64(50) {
		req.Seed = seed
		_, picked := pick(pool, req)
		g.Expect(picked).To(Equal("t17"))
	}
	pool.targets[17].Own = route.Work{Requests: 31, Prompt: 12000, Decode: 3000}
	_, picked := pick(pool, req)
	g.Expect(picked).NotTo(Equal("t17"))
}

// A report one second old shows slightly less load than the mean. If eight entries acted on it in full,
// its target would get all requests. An idle target's report among full ones keeps its weight.
func TestStaleReportsAreDiscounted(t *testing.T) {
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

func TestRejectedRequestEndsAtTargetWithShortestWait(t *testing.T) {
	g := NewWithT(t)
	var history route.RejectionHistory
	slack := route.DefaultWaitSlack
	g.Expect(history.MaxWait(slack)).To(Equal(slack))
	history.Add("a", 3*slack)
	history.Add("b", 2*slack)
	g.Expect(history.MaxWait(slack)).To(Equal(2 * slack))
	_, isFinal := history.FinalTarget()
	g.Expect(isFinal).To(BeFalse())
	history.Add("c", 4*slack)
	target, isFinal := history.FinalTarget()
	g.Expect(isFinal).To(BeTrue())
	g.Expect(target).To(Equal("b"))
}

// Each target is used by the same number of entries, and an entry that leaves changes only
// the subsets that it was in.
func TestSubsetsAreEvenAndStable(t *testing.T) {
	g := NewWithT(t)
	var entries []route.Node
	for i := range 110 {
		entries = append(entries, route.Node{Name: fmt.Sprintf("e%d", i), DataCentre: fmt.Sprintf("dc%d", i%5)})
	}
	usedBy := func(list []route.Node, target int) map[string]bool {
		used := make(map[string]bool)
		for _, e := range list {
			if route.UsesTarget(e, list, fmt.Sprintf("t%d", target), fmt.Sprintf("dc%d", target%5), 300) {
				used[e.Name] = true
			}
		}
		return used
	}
	for target := range 300 {
		before := usedBy(entries, target)
		g.Expect(before).To(HaveLen(route.EntriesNear + route.EntriesFar))
		after := usedBy(entries[1:], target)
		for name := range before {
			g.Expect(name == "e0" || after[name]).To(BeTrue())
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 157, 1100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			pool := newPool(n, n/3)
			pool.index = route.NewCacheIndex(1 << 15)
			blocks := route.BlockHashes("team", make([]byte, route.MaxBlocks*route.BlockTokens*4), nil)
			for _, block := range blocks {
				pool.index.Add(3, block)
			}
			p := route.DefaultPlacer()
			r := route.Request{DataCentre: "near", Cost: route.Cost{Prompt: 600, Decode: 100}, Blocks: blocks}
			d := new(route.Decision)
			b.ReportAllocs()
			for b.Loop() {
				r.Seed++
				p.Pick(&r, pool, d)
			}
		})
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	g := NewWithT(t)
	pool := newPool(157, 50)
	p, d := route.DefaultPlacer(), new(route.Decision)
	r := route.Request{DataCentre: "near"}
	g.Expect(testing.AllocsPerRun(100, func() {
		r.Seed++
		p.Pick(&r, pool, d)
	})).To(BeZero())
}
