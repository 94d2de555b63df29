package route_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/heatherrail/heatherrail/route"
)

func item(team string, weight float64, priority int8, price float64) *route.FairItem {
	return &route.FairItem{Team: team, Weight: weight, Priority: priority, TokenCost: price}
}

// Two teams that always wait get tokens in the proportion of their weights,
// whatever the sizes of their requests.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		q := route.NewFairQueue()
		weights := map[string]float64{
			"a": float64(rapid.IntRange(1, 10).Draw(t, "a")),
			"b": float64(rapid.IntRange(1, 10).Draw(t, "b")),
		}
		prices := rapid.SliceOfN(rapid.Float64Range(50, 300), 2, 20).Draw(t, "prices")
		got := make(map[string]float64)
		next := 0
		push := func(team string) {
			q.Push(0, item(team, weights[team], 0, prices[next%len(prices)]))
			next++
		}
		push("a")
		push("b")
		for range 4000 {
			it := q.Pop(0)
			got[it.Team] += it.TokenCost
			push(it.Team)
		}
		share := got["a"] / (got["a"] + got["b"])
		want := weights["a"] / (weights["a"] + weights["b"])
		g.Expect(share).To(BeNumerically("~", want, 0.1))
	})
}

func TestPriorityIsStrictWithinATeam(t *testing.T) {
	g := NewWithT(t)
	q := route.NewFairQueue()
	q.Push(0, item("a", 1, 0, 10))
	q.Push(0, item("a", 1, 5, 10))
	q.Push(0, item("a", 1, 5, 20))
	g.Expect(q.Pop(0).TokenCost).To(Equal(10.0))
	g.Expect(q.Pop(0).TokenCost).To(Equal(20.0))
	g.Expect(q.Pop(0).Priority).To(Equal(int8(0)))
	g.Expect(q.Pop(0)).To(BeNil())
}

// A team has filled the target's queue with ten times its share. A small team's
// request arrives: it starts next, before all that waits, since its team has had
// less than its share.
func TestSmallTeamGoesFirst(t *testing.T) {
	g := NewWithT(t)
	gate := route.NewAdmissionQueue(4, 1000)
	var running []*route.Job
	for range 200 {
		said, _ := gate.Offer(0, job("large"), route.AdmissionBounds{})
		g.Expect(said).To(Equal(route.Admitted))
		if j := gate.Next(0); j != nil {
			running = append(running, j)
		}
	}
	small := job("small")
	gate.Offer(0, small, route.AdmissionBounds{})
	g.Expect(gate.Next(0)).To(BeNil(), "all slots are busy")
	gate.RecordTokens(time.Second, running[0], 100, true)
	gate.Finish(time.Second, running[0], true)
	g.Expect(gate.Next(time.Second)).To(BeIdenticalTo(small))
}

func job(team string) *route.Job {
	j := &route.Job{Cost: route.Cost{Prompt: 100, Decode: 100}, Peer: "entry"}
	j.Team, j.Weight = team, 1
	return j
}

// Requests arrive, run, end and leave in any order. The books must be empty when
// nothing is left: a leak would make the target look busy for ever, and its queue
// shorter than it is.
func TestGateBooksReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		gate := route.NewAdmissionQueue(3, 20)
		var waiting, running []*route.Job
		now := time.Duration(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				j := &route.Job{Cost: route.Cost{Prompt: rapid.Float64Range(0, 900).Draw(t, "prompt"), Decode: 50}, Peer: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "peer"))}
				j.Team, j.Weight = fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "team")), 1
				if said, _ := gate.Offer(now, j, route.AdmissionBounds{TimeLeft: time.Second}); said == route.Admitted {
					waiting = append(waiting, j)
				}
			case 2:
				if len(running) > 0 {
					gate.RecordTokens(now, running[len(running)/2], 7, true)
				}
			case 3:
				if len(running) > 0 {
					at := len(running) / 2
					gate.Finish(now, running[at], at%2 == 0)
					running = append(running[:at], running[at+1:]...)
				}
			case 4:
				if len(waiting) > 0 && gate.Remove(waiting[0]) {
					waiting = waiting[1:]
				}
			}
			for j := gate.Next(now); j != nil; j = gate.Next(now) {
				waiting = remove(waiting, j)
				if !j.Expired {
					running = append(running, j)
				}
			}
			a := gate.LoadReport("0")
			g.Expect(a.Total.Requests).To(BeNumerically("==", len(waiting)+len(running)))
			g.Expect(gate.Running()).To(BeNumerically("<=", 3))
		}
		for _, j := range running {
			gate.Finish(now, j, false)
		}
		for _, j := range waiting {
			g.Expect(gate.Remove(j)).To(BeTrue())
		}
		a := gate.LoadReport("0")
		g.Expect(a.Total).To(Equal(route.Work{}))
		g.Expect(a.FromReceiver).To(Equal(route.Work{}))
	})
}

func remove(jobs []*route.Job, j *route.Job) []*route.Job {
	for i, other := range jobs {
		if other == j {
			return append(jobs[:i:i], jobs[i+1:]...)
		}
	}
	return jobs
}

// All targets are slow and the queue is long. A request whose deadline can't be
// met hears so at once and before it waits; one with enough time is taken.
func TestDeadlineIsRefusedBeforeQueueing(t *testing.T) {
	g := NewWithT(t)
	gate := route.NewAdmissionQueue(2, 1000)
	for range 100 {
		j := &route.Job{Cost: route.Cost{Decode: 1000}, Peer: "entry"}
		j.Team, j.Weight = "a", 1
		gate.Offer(0, j, route.AdmissionBounds{})
		gate.Next(0)
	}
	late := &route.Job{Cost: route.Cost{Decode: 10}, Peer: "entry"}
	late.Team, late.Weight = "a", 1
	said, wait := gate.Offer(0, late, route.AdmissionBounds{TimeLeft: time.Second})
	g.Expect(said).To(Equal(route.RejectedDeadline))
	g.Expect(wait).To(BeNumerically(">", time.Second))
	said, _ = gate.Offer(0, late, route.AdmissionBounds{TimeLeft: time.Hour})
	g.Expect(said).To(Equal(route.Admitted))
}

// An engine is far too slow for some minutes, so that no deadline can be met, and
// then as fast as before. Callers must be served by it again: if all that came
// were refused by the speed learnt in the slow time, nothing would run by which the
// gate could learn better, and the target would be lost for good.
func TestSlowEngineIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	gate := route.NewAdmissionQueue(4, 100)
	now := time.Duration(0)
	serve := func(took time.Duration) int {
		var running []*route.Job
		for range 4 {
			said, _ := gate.Offer(now, job("a"), route.AdmissionBounds{TimeLeft: time.Second})
			if said == route.Admitted {
				running = append(running, gate.Next(now))
			}
		}
		now += took
		for _, j := range running {
			gate.RecordTokens(now, j, 100, true)
			gate.Finish(now, j, true)
		}
		now += time.Millisecond
		return len(running)
	}
	for range 200 {
		serve(50 * time.Millisecond)
	}
	for range 60 {
		serve(10 * time.Second)
	}
	g.Expect(serve(10*time.Second)).To(BeNumerically("<", 4), "most are refused")
	for range 400 {
		serve(50 * time.Millisecond)
	}
	g.Expect(serve(50 * time.Millisecond)).To(Equal(4))
}

// Cache events of a target are lost. The index goes on, believes that target
// less, and comes back to full trust with whole batches; doubled ones count once.
func TestCacheEventGapsLowerTrust(t *testing.T) {
	g := NewWithT(t)
	x := route.NewCacheIndex(64)
	blocks := route.BlockHashes("team", make([]byte, 4*route.BlockTokens*4), nil)
	for _, b := range blocks {
		x.Add(3, b)
	}
	g.Expect(x.AcceptBatch(3, 10)).To(BeTrue())
	g.Expect(x.CachedTokens(3, blocks)).To(Equal(4.0 * route.BlockTokens))
	g.Expect(x.AcceptBatch(3, 10)).To(BeFalse(), "doubled")
	g.Expect(x.AcceptBatch(3, 14)).To(BeTrue(), "a gap")
	g.Expect(x.CachedTokens(3, blocks)).To(BeNumerically("<", 3*route.BlockTokens))
	for seq := uint64(15); seq < 100; seq++ {
		x.AcceptBatch(3, seq)
	}
	g.Expect(x.Confidence(3)).To(BeNumerically(">", 0.95))
	x.Remove(3, blocks[1])
	g.Expect(x.CachedTokens(3, blocks)).To(BeNumerically("<=", route.BlockTokens))
	x.RemoveTarget(3)
	g.Expect(x.CachedTokens(3, blocks)).To(BeZero())
}

// Two rivals send the same text: their blocks share nothing.
func TestBlocksAreSaltedByTeam(t *testing.T) {
	g := NewWithT(t)
	text := make([]byte, 8*route.BlockTokens*4)
	a, b := route.BlockHashes("a", text, nil), route.BlockHashes("b", text, nil)
	g.Expect(a).To(HaveLen(8))
	for _, h := range b {
		g.Expect(a).NotTo(ContainElement(h))
	}
	text[0] = 1
	g.Expect(route.BlockHashes("a", text, nil)[7]).NotTo(Equal(a[7]), "chained")
}
