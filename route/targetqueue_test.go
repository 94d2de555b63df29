package route_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/heatherrail/heatherrail/route"
)

func newItem(team string, weight float64, priority int8, cost float64) *route.FairItem {
	return &route.FairItem{Team: team, Weight: weight, Priority: priority, TokenCost: cost}
}

// Two teams that always have queued requests are served in proportion to their weights,
// whatever the cost of their requests.
func TestBackloggedTeamsAreServedByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		q := route.NewFairQueue()
		weights := map[string]float64{
			"a": float64(rapid.IntRange(1, 10).Draw(t, "a")),
			"b": float64(rapid.IntRange(1, 10).Draw(t, "b")),
		}
		costs := rapid.SliceOfN(rapid.Float64Range(50, 300), 2, 20).Draw(t, "costs")
		got := make(map[string]float64)
		next := 0
		push := func(team string) {
			q.Push(0, newItem(team, weights[team], 0, costs[next%len(costs)]))
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

func TestHigherPriorityIsServedFirstWithinATeam(t *testing.T) {
	g := NewWithT(t)
	q := route.NewFairQueue()
	q.Push(0, newItem("a", 1, 0, 10))
	q.Push(0, newItem("a", 1, 5, 10))
	q.Push(0, newItem("a", 1, 5, 20))
	g.Expect(q.Pop(0).TokenCost).To(Equal(10.0))
	g.Expect(q.Pop(0).TokenCost).To(Equal(20.0))
	g.Expect(q.Pop(0).Priority).To(Equal(int8(0)))
	g.Expect(q.Pop(0)).To(BeNil())
}

// A team has queued far more than its share. A request of a small team that arrives later
// starts before all queued ones, because the small team has received less than its share.
func TestRequestOfUnderservedTeamStartsNext(t *testing.T) {
	g := NewWithT(t)
	queue := route.NewTargetQueue(4, 1000)
	var running []*route.Job
	for range 200 {
		admission, _ := queue.Offer(0, newJob("large"), route.AdmissionBounds{})
		g.Expect(admission).To(Equal(route.Admitted))
		if j := queue.Next(0); j != nil {
			running = append(running, j)
		}
	}
	underserved := newJob("small")
	queue.Offer(0, underserved, route.AdmissionBounds{})
	g.Expect(queue.Next(0)).To(BeNil(), "all slots are busy")
	queue.RecordTokens(time.Second, running[0], 100, true)
	queue.Finish(time.Second, running[0], true)
	g.Expect(queue.Next(time.Second)).To(BeIdenticalTo(underserved))
}

func newJob(team string) *route.Job {
	j := &route.Job{Cost: route.Cost{Prompt: 100, Decode: 100}, Peer: "entry"}
	j.Team, j.Weight = team, 1
	return j
}

// Requests arrive, run, end and are removed in any order. The counts of work must return to
// zero: a leak would make the target look busy for ever, and its queue shorter than it is.
func TestWorkCountsReturnToZeroWhenAllJobsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		queue := route.NewTargetQueue(3, 20)
		var waiting, running []*route.Job
		now := time.Duration(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				j := &route.Job{Cost: route.Cost{Prompt: rapid.Float64Range(0, 900).Draw(t, "prompt"), Decode: 50}, Peer: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "peer"))}
				j.Team, j.Weight = fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "team")), 1
				if admission, _ := queue.Offer(now, j, route.AdmissionBounds{TimeLeft: time.Second}); admission == route.Admitted {
					waiting = append(waiting, j)
				}
			case 2:
				if len(running) > 0 {
					queue.RecordTokens(now, running[len(running)/2], 7, true)
				}
			case 3:
				if len(running) > 0 {
					at := len(running) / 2
					queue.Finish(now, running[at], at%2 == 0)
					running = append(running[:at], running[at+1:]...)
				}
			case 4:
				if len(waiting) > 0 && queue.Remove(waiting[0]) {
					waiting = waiting[1:]
				}
			}
			for j := queue.Next(now); j != nil; j = queue.Next(now) {
				waiting = remove(waiting, j)
				if !j.Expired {
					running = append(running, j)
				}
			}
			report := queue.LoadReport("0")
			g.Expect(report.Total.Requests).To(BeNumerically("==", len(waiting)+len(running)))
			g.Expect(queue.Running()).To(BeNumerically("<=", 3))
		}
		for _, j := range running {
			queue.Finish(now, j, false)
		}
		for _, j := range waiting {
			g.Expect(queue.Remove(j)).To(BeTrue())
		}
		report := queue.LoadReport("0")
		g.Expect(report.Total).To(Equal(route.Work{}))
		g.Expect(report.FromReceiver).To(Equal(route.Work{}))
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

// The target is slow and its queue is long. A request whose deadline can't be met is
// rejected at once instead of being queued; a request with enough time is admitted.
func TestUnmeetableDeadlineIsRejectedBeforeQueueing(t *testing.T) {
	g := NewWithT(t)
	queue := route.NewTargetQueue(2, 1000)
	for range 100 {
		j := &route.Job{Cost: route.Cost{Decode: 1000}, Peer: "entry"}
		j.Team, j.Weight = "a", 1
		queue.Offer(0, j, route.AdmissionBounds{})
		queue.Next(0)
	}
	late := &route.Job{Cost: route.Cost{Decode: 10}, Peer: "entry"}
	late.Team, late.Weight = "a", 1
	admission, wait := queue.Offer(0, late, route.AdmissionBounds{TimeLeft: time.Second})
	g.Expect(admission).To(Equal(route.RejectedDeadline))
	g.Expect(wait).To(BeNumerically(">", time.Second))
	admission, _ = queue.Offer(0, late, route.AdmissionBounds{TimeLeft: time.Hour})
	g.Expect(admission).To(Equal(route.Admitted))
}

// An engine meets no deadline for some minutes and then recovers. If the old estimate still
// rejected all requests, no run could correct the estimate, and the target would stay unused.
func TestRecoveredEngineIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	queue := route.NewTargetQueue(4, 100)
	now := time.Duration(0)
	serve := func(duration time.Duration) int {
		var running []*route.Job
		for range 4 {
			admission, _ := queue.Offer(now, newJob("a"), route.AdmissionBounds{TimeLeft: time.Second})
			if admission == route.Admitted {
				running = append(running, queue.Next(now))
			}
		}
		now += duration
		for _, j := range running {
			queue.RecordTokens(now, j, 100, true)
			queue.Finish(now, j, true)
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
	g.Expect(serve(10*time.Second)).To(BeNumerically("<", 4), "most requests are rejected")
	for range 400 {
		serve(50 * time.Millisecond)
	}
	g.Expect(serve(50 * time.Millisecond)).To(Equal(4))
}

// Some cache events of a target are lost. The index lowers its confidence in the target and
// recovers it with further batches. Repeated batches count once.
func TestCacheEventGapsLowerConfidence(t *testing.T) {
	g := NewWithT(t)
	x := route.NewCacheIndex(64)
	blocks := route.BlockHashes("team", make([]byte, 4*route.BlockTokens*4), nil)
	for _, b := range blocks {
		x.Add(3, b)
	}
	g.Expect(x.AcceptBatch(3, 10)).To(BeTrue())
	g.Expect(x.CachedTokens(3, blocks)).To(Equal(4.0 * route.BlockTokens))
	g.Expect(x.AcceptBatch(3, 10)).To(BeFalse(), "repeated batch")
	g.Expect(x.AcceptBatch(3, 14)).To(BeTrue(), "batch after a gap")
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

// Two teams send the same text: their block hashes must differ.
func TestBlockHashesDifferBetweenTeams(t *testing.T) {
	g := NewWithT(t)
	text := make([]byte, 8*route.BlockTokens*4)
	a, b := route.BlockHashes("a", text, nil), route.BlockHashes("b", text, nil)
	g.Expect(a).To(HaveLen(8))
	for _, h := range b {
		g.Expect(a).NotTo(ContainElement(h))
	}
	text[0] = 1
	g.Expect(route.BlockHashes("a", text, nil)[7]).NotTo(Equal(a[7]), "hashes are chained")
}
