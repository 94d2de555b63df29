package placing

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// plainTargets returns targets of a plain service.
func plainTargets(ids ...string) []*serving.Target {
	var list []*serving.Target
	for _, id := range ids {
		list = append(list, &serving.Target{ID: id, Service: "p", Address: id, DataCentre: "a"})
	}
	return list
}

// excludeNone is an exclusion function for Place that excludes no target.
func excludeNone(*serving.Target) bool { return false }

// placementShare returns the share of placements that go to one target.
func placementShare(tr *Tracker, targets []*serving.Target, id string, now time.Time) float64 {
	const draws = 400
	hits := 0
	for range draws {
		if t := tr.Place(targets, excludeNone, now); t.ID == id {
			hits++
		}
	}
	return float64(hits) / draws
}

// A target breaks every connection for a second, and each entry uses it only every few seconds. Two
// entries fail a request there and report it; all other entries must stop sending there.
func TestTargetBrokenAtTwoEntriesIsEjectedAtAllEntries(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("x", "y", "z")
	one, two, third := entryTracker("one"), entryTracker("two"), entryTracker("third")
	g.Expect(one.RecordBrokenConnection(targets[0], now)).To(Equal(EjectionDecision{Ejected: true, Propagate: true}))
	g.Expect(placementShare(one, targets, "x", now)).To(BeZero(), "ejected at the entry that has seen the failure")
	g.Expect(propagates(third, one.FailureReports(now), now)).To(BeTrue())
	g.Expect(placementShare(third, targets, "x", now)).To(BeNumerically(">", 0.2), "a single entry may be partitioned itself")
	g.Expect(two.RecordBrokenConnection(targets[0], now).Ejected).To(BeTrue())
	g.Expect(propagates(third, two.FailureReports(now), now)).To(BeTrue())
	g.Expect(placementShare(third, targets, "x", now)).To(BeZero())
	g.Expect(propagates(third, two.FailureReports(now), now)).To(BeFalse(), "a known report is not propagated again")
	later := now.Add(3 * time.Second)
	g.Expect(placementShare(third, targets, "x", later)).To(BeNumerically(">", 0))
}

// Failure reports arrive again by way of other entries. If each arrival counted, the report of one
// broken connection would circulate and keep a target ejected for good.
func TestFailureReportReceivedTwiceCountsOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("x", "y", "z")
	one, two, third := entryTracker("one"), entryTracker("two"), entryTracker("third")
	one.RecordBrokenConnection(targets[0], now)
	two.MergeFailureReports(one.FailureReports(now), now)
	now = now.Add(20 * time.Millisecond)
	g.Expect(propagates(third, one.FailureReports(now), now)).To(BeTrue())
	g.Expect(propagates(third, two.FailureReports(now), now.Add(5*time.Millisecond))).To(BeFalse())
	g.Expect(propagates(one, third.FailureReports(now), now)).To(BeFalse())
	g.Expect(placementShare(third, targets, "x", now)).To(BeNumerically(">", 0.2))
	g.Expect(third.FailureReports(now.Add(failureReportTTL))).To(BeEmpty())
}

// The entries of one data centre are partitioned from a target that responds to all other entries.
// Newer successes at these other entries must prevent an ejection at them.
func TestTargetThatRespondsToOtherEntriesIsNotEjected(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("x", "y", "z")
	one, two, third := entryTracker("one"), entryTracker("two"), entryTracker("third")
	one.RecordBrokenConnection(targets[0], now)
	third.MergeFailureReports(one.FailureReports(now), now)
	two.RecordBrokenConnection(targets[0], now)
	now = now.Add(30 * time.Millisecond)
	third.RecordOutcome(targets[0], true, now)
	third.MergeFailureReports(two.FailureReports(now), now)
	g.Expect(placementShare(third, targets, "x", now)).To(BeNumerically(">", 0.2))
	fourth := entryTracker("fourth")
	fourth.MergeFailureReports(third.FailureReports(now), now)
	g.Expect(placementShare(fourth, targets, "x", now)).To(BeNumerically(">", 0.2), "the success is propagated too")
}

// Faulty entries report every target as broken. At most half of the targets are ejected, so
// requests are still served.
func TestFalseFailureReportsDoNotEjectAllTargets(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("w", "x", "y", "z")
	tr := entryTracker("one")
	var falseReports []FailureReport
	for _, target := range targets {
		for _, faulty := range []string{"p", "q", "r"} {
			falseReports = append(falseReports, FailureReport{Entry: faulty, Run: target.Run(), LastBroken: now})
		}
	}
	tr.MergeFailureReports(falseReports, now)
	served := make(map[string]int)
	for range 200 {
		served[tr.Place(targets, excludeNone, now).ID]++
	}
	g.Expect(len(served)).To(BeNumerically(">=", 2))
}

// Many targets fail at once. A message must carry at most maxFailureReports of them.
func TestFailureReportsPerMessageAreBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	tr := entryTracker("one")
	for i := range 100 {
		tr.RecordBrokenConnection(&serving.Target{ID: string(rune('A' + i)), Service: "p"}, now)
	}
	g.Expect(tr.FailureReports(now)).To(HaveLen(maxFailureReports))
}

func entryTracker(name string) *Tracker {
	return NewTracker(name, "a", rand.New(rand.NewPCG(1, uint64(len(name)))))
}

// A target accepts requests and responds to none, and each entry uses it only every few seconds.
// Three timeouts at all entries together must eject it at all entries.
func TestThreeTimeoutsAcrossEntriesEjectTarget(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("x", "y", "z")
	fourth := entryTracker("fourth")
	for i, name := range []string{"one", "two", "three"} {
		g.Expect(placementShare(fourth, targets, "x", now)).To(BeNumerically(">", 0.2), "after %d timeouts", i)
		tr := entryTracker(name)
		tr.RecordTimeout(targets[0], false, now, now)
		fourth.MergeFailureReports(tr.FailureReports(now), now)
	}
	g.Expect(placementShare(fourth, targets, "x", now)).To(BeZero())
}

// One request in ten exceeds its time limit, wherever it runs. Successes at other entries lie
// between the timeouts, so no target may be ejected.
func TestOccasionalTimeoutsDoNotEjectTarget(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("x", "y", "z")
	one, two := entryTracker("one"), entryTracker("two")
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		one.RecordTimeout(targets[0], false, now, now)
		two.MergeFailureReports(one.FailureReports(now), now)
		now = now.Add(100 * time.Millisecond)
		two.RecordOutcome(targets[0], true, now)
		one.MergeFailureReports(two.FailureReports(now), now)
	}
	g.Expect(placementShare(one, targets, "x", now)).To(BeNumerically(">", 0.2))
	g.Expect(placementShare(two, targets, "x", now)).To(BeNumerically(">", 0.2))
}

// A rank does not respond while the passes of its group go on. Three timeouts eject it if other
// ranks have responded to later requests; in a stalled group no rank may be ejected.
func TestRankTimeoutsEjectOnlyWhileGroupMakesProgress(t *testing.T) {
	for _, progressing := range []bool{true, false} {
		g := NewWithT(t)
		now := time.Now()
		tr, pool := twoGroups(0, 0, now)
		sentAt := now
		for range maxTimeouts {
			now = now.Add(800 * time.Millisecond)
			if progressing {
				tr.RecordRankResponse(pool.Targets[1], sentAt.Add(time.Millisecond), now)
			}
			tr.RecordTimeout(pool.Targets[0], true, sentAt, now)
			sentAt = sentAt.Add(100 * time.Millisecond)
			now = sentAt
		}
		share := placementShare(tr, pool.Targets[:2], "a", now)
		g.Expect(share == 0).To(Equal(progressing))
	}
}

// Single timeouts and successes are sent with the next regular message. Notifying other entries of
// each one at once would flood the links between data centres.
func TestOnlyFailuresNearEjectionArePropagatedAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("x", "y", "z")
	one, two := entryTracker("one"), entryTracker("two")
	g.Expect(one.RecordTimeout(targets[0], false, now, now)).To(Equal(EjectionDecision{}))
	g.Expect(propagates(two, one.FailureReports(now), now)).To(BeFalse())
	one.RecordOutcome(targets[0], true, now.Add(100*time.Millisecond))
	g.Expect(propagates(two, one.FailureReports(now), now.Add(100*time.Millisecond))).To(BeFalse())
	now = now.Add(time.Second)
	g.Expect(one.RecordTimeout(targets[0], false, now, now)).To(Equal(EjectionDecision{}))
	g.Expect(one.RecordTimeout(targets[0], false, now, now)).To(Equal(EjectionDecision{Propagate: true}), "one more timeout ejects the target")
	g.Expect(one.RecordTimeout(targets[0], false, now, now).Ejected).To(BeTrue())
}

// propagates merges the reports into a tracker and returns whether to notify other entries at once.
func propagates(tr *Tracker, list []FailureReport, now time.Time) bool {
	_, propagate := tr.MergeFailureReports(list, now)
	return propagate
}

// One entry is partitioned from a data centre or slow itself, and its requests there fail. If the
// other entries also ejected those targets, half of a group would get no streams.
func TestFailuresAtOneEntryEjectOnlyThere(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("x", "y", "z")
	slow, other := entryTracker("slow"), entryTracker("other")
	for range 3 * maxTimeouts {
		now = now.Add(100 * time.Millisecond)
		slow.RecordTimeout(targets[0], false, now, now)
		slow.RecordBrokenConnection(targets[1], now)
		other.MergeFailureReports(slow.FailureReports(now), now)
	}
	g.Expect(placementShare(slow, targets, "x", now)).To(BeZero())
	g.Expect(placementShare(other, targets, "x", now)).To(BeNumerically(">", 0.2))
	g.Expect(placementShare(other, targets, "y", now)).To(BeNumerically(">", 0.2))
}
