package placing

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// plainTargets are the targets of a plain service.
func plainTargets(ids ...string) []*serving.Target {
	var list []*serving.Target
	for _, id := range ids {
		list = append(list, &serving.Target{ID: id, Service: "p", Address: id, DataCentre: "a"})
	}
	return list
}

// none excludes no target.
func none(*serving.Target) bool { return false }

// shareOf returns the part of placements that one target gets.
func shareOf(b *Tracker, targets []*serving.Target, id string, now time.Time) float64 {
	const draws = 400
	n := 0
	for range draws {
		if t := b.Place(targets, none, now); t.ID == id {
			n++
		}
	}
	return float64(n) / draws
}

// Thirty entries share three targets, and one of these breaks off each connection for a
// second. Each entry sees it every few seconds only. Two entries fail a request there and
// tell; none of the others sends there any more, so they fail none.
func TestWhatTwoEntriesHaveSeenAllKnow(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("x", "y", "z")
	one, two, third := entryBook("one"), entryBook("two"), entryBook("third")
	g.Expect(one.RecordBrokenConnection(targets[0], now)).To(Equal(EjectionDecision{Ejected: true, Propagate: true}))
	g.Expect(shareOf(one, targets, "x", now)).To(BeZero(), "who has seen it keeps it out")
	g.Expect(tells(third, one.FailureReports(now), now)).To(BeTrue())
	g.Expect(shareOf(third, targets, "x", now)).To(BeNumerically(">", 0.2), "one may be cut off itself")
	g.Expect(two.RecordBrokenConnection(targets[0], now).Ejected).To(BeTrue())
	g.Expect(tells(third, two.FailureReports(now), now)).To(BeTrue())
	g.Expect(shareOf(third, targets, "x", now)).To(BeZero())
	g.Expect(tells(third, two.FailureReports(now), now)).To(BeFalse(), "it is told once")
	later := now.Add(3 * time.Second)
	g.Expect(shareOf(third, targets, "x", later)).To(BeNumerically(">", 0))
}

// Doubts are passed on by who only heard them, and by several ways. Heard again they are
// no news and count for the entry that saw them, or one broken connection would be told
// round and round and keep a target out for good.
func TestADoubtThatComesRoundCountsOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("x", "y", "z")
	one, two, third := entryBook("one"), entryBook("two"), entryBook("third")
	one.RecordBrokenConnection(targets[0], now)
	two.MergeFailureReports(one.FailureReports(now), now)
	now = now.Add(20 * time.Millisecond)
	g.Expect(tells(third, one.FailureReports(now), now)).To(BeTrue())
	g.Expect(tells(third, two.FailureReports(now), now.Add(5*time.Millisecond))).To(BeFalse())
	g.Expect(tells(one, third.FailureReports(now), now)).To(BeFalse())
	g.Expect(shareOf(third, targets, "x", now)).To(BeNumerically(">", 0.2))
	g.Expect(third.FailureReports(now.Add(doubtTTL))).To(BeEmpty())
}

// The entries of a data centre are cut off from one that they send to, and tell so. A target
// there answers the others all the while: their word that it is well is newer, so only those
// that are cut off keep it out.
func TestATargetThatAnswersOthersIsNotKeptOut(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("x", "y", "z")
	one, two, third := entryBook("one"), entryBook("two"), entryBook("third")
	one.RecordBrokenConnection(targets[0], now)
	third.MergeFailureReports(one.FailureReports(now), now)
	two.RecordBrokenConnection(targets[0], now)
	now = now.Add(30 * time.Millisecond)
	third.RecordOutcome(targets[0], true, now)
	third.MergeFailureReports(two.FailureReports(now), now)
	g.Expect(shareOf(third, targets, "x", now)).To(BeNumerically(">", 0.2))
	fourth := entryBook("fourth")
	fourth.MergeFailureReports(third.FailureReports(now), now)
	g.Expect(shareOf(fourth, targets, "x", now)).To(BeNumerically(">", 0.2), "the good word is told too")
}

// Liars tell that every target is broken. At most half of them are kept out, so requests
// are still served.
func TestFalseDoubtsDoNotEmptyAService(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("w", "x", "y", "z")
	b := entryBook("one")
	var lies []FailureReport
	for _, target := range targets {
		for _, liar := range []string{"p", "q", "r"} {
			lies = append(lies, FailureReport{Entry: liar, Run: target.Run(), LastBroken: now})
		}
	}
	b.MergeFailureReports(lies, now)
	served := make(map[string]int)
	for range 200 {
		served[b.Place(targets, none, now).ID]++
	}
	g.Expect(len(served)).To(BeNumerically(">=", 2))
}

// A message never carries more than a few doubts, whatever was seen.
func TestDoubtsInAMessageAreBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := entryBook("one")
	for i := range 100 {
		b.RecordBrokenConnection(&serving.Target{ID: string(rune('A' + i)), Service: "p"}, now)
	}
	g.Expect(b.FailureReports(now)).To(HaveLen(maxDoubts))
}

func entryBook(name string) *Tracker {
	return NewTracker(name, "a", rand.New(rand.NewPCG(1, uint64(len(name)))))
}

// A target takes requests and answers none. Each entry learns that when the time of a request
// is over, and sees the target every few seconds. Three requests at all entries together are
// enough for all of them to keep it out.
func TestATargetThatHangsIsKnownByAFewRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("x", "y", "z")
	fourth := entryBook("fourth")
	for i, name := range []string{"one", "two", "three"} {
		g.Expect(shareOf(fourth, targets, "x", now)).To(BeNumerically(">", 0.2), "after %d", i)
		b := entryBook(name)
		b.RecordTimeout(targets[0], false, now, now)
		fourth.MergeFailureReports(b.FailureReports(now), now)
	}
	g.Expect(shareOf(fourth, targets, "x", now)).To(BeZero())
}

// One request in ten takes longer than its time, wherever it runs. Answers to others lie in
// between, so no target is kept out for it.
func TestRequestsThatAreTooLongByThemselvesKeepNothingOut(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("x", "y", "z")
	one, two := entryBook("one"), entryBook("two")
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		one.RecordTimeout(targets[0], false, now, now)
		two.MergeFailureReports(one.FailureReports(now), now)
		now = now.Add(100 * time.Millisecond)
		two.RecordOutcome(targets[0], true, now)
		one.MergeFailureReports(two.FailureReports(now), now)
	}
	g.Expect(shareOf(one, targets, "x", now)).To(BeNumerically(">", 0.2))
	g.Expect(shareOf(two, targets, "x", now)).To(BeNumerically(">", 0.2))
}

// A few ranks of a group take requests and answer none, for seconds, while passes go on. Each
// entry sends one of them a request now and then. Three requests that others, sent later, have
// overtaken are enough. When the whole group stands still nobody is overtaken, and no rank is
// kept out: the others would run all the streams once it goes on.
func TestARankThatHangsIsToldFromAGroupThatStandsStill(t *testing.T) {
	for _, moving := range []bool{true, false} {
		g := NewWithT(t)
		now := time.Now()
		b, l := twoGroups(0, 0, now)
		sent := now
		for range maxHung {
			now = now.Add(800 * time.Millisecond)
			if moving {
				b.RecordRankResponse(l.Targets[1], sent.Add(time.Millisecond), now)
			}
			b.RecordTimeout(l.Targets[0], true, sent, now)
			sent = sent.Add(100 * time.Millisecond)
			now = sent
		}
		kept := shareOf(b, l.Targets[:2], "a", now)
		g.Expect(kept == 0).To(Equal(moving))
	}
}

// Single requests that are too long by themselves, and answers of a target in doubt, are told
// with the next messages and not pushed to others at once.
func TestOnlyWhatMayKeepATargetOutIsPushed(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("x", "y", "z")
	one, two := entryBook("one"), entryBook("two")
	g.Expect(one.RecordTimeout(targets[0], false, now, now)).To(Equal(EjectionDecision{}))
	g.Expect(tells(two, one.FailureReports(now), now)).To(BeFalse())
	one.RecordOutcome(targets[0], true, now.Add(100*time.Millisecond))
	g.Expect(tells(two, one.FailureReports(now), now.Add(100*time.Millisecond))).To(BeFalse())
	now = now.Add(time.Second)
	g.Expect(one.RecordTimeout(targets[0], false, now, now)).To(Equal(EjectionDecision{}))
	g.Expect(one.RecordTimeout(targets[0], false, now, now)).To(Equal(EjectionDecision{Propagate: true}), "one more, and it is kept out")
	g.Expect(one.RecordTimeout(targets[0], false, now, now).Ejected).To(BeTrue())
}

// tells takes what others have seen, and returns whether it is to be told on at once.
func tells(b *Tracker, list []FailureReport, now time.Time) bool {
	_, tell := b.MergeFailureReports(list, now)
	return tell
}

// One entry is cut off from a data centre, or its VM is slow: none of its requests there is
// answered in time. It keeps those targets out by itself. The other entries, which get their
// answers, must not: half of a group would get no streams.
func TestOneEntryAloneKeepsNothingOutElsewhere(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	targets := plainTargets("x", "y", "z")
	slow, other := entryBook("slow"), entryBook("other")
	for range 3 * maxHung {
		now = now.Add(100 * time.Millisecond)
		slow.RecordTimeout(targets[0], false, now, now)
		slow.RecordBrokenConnection(targets[1], now)
		other.MergeFailureReports(slow.FailureReports(now), now)
	}
	g.Expect(shareOf(slow, targets, "x", now)).To(BeZero())
	g.Expect(shareOf(other, targets, "x", now)).To(BeNumerically(">", 0.2))
	g.Expect(shareOf(other, targets, "y", now)).To(BeNumerically(">", 0.2))
}
