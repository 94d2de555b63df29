package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/heatherrail/heatherrail/route"
)

var entryPolicy = route.QuarantinePolicy{AloneAfter: 2, AloneFor: 10 * time.Minute}

func actionOf(q *route.Quarantine, fingerprint uint64, now time.Time) route.QuarantineAction {
	action, _ := q.Check(fingerprint, now)
	return action
}

// Guards against counting one crash several times: entries report it once each, with the requests
// that each had on the target.
func TestThreeCrashedTargetsRejectARequest(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	q := route.NewQuarantine(entryPolicy)
	for range 5 {
		g.Expect(q.RecordCrash(1, false, []uint64{10, 11}, now, now)).To(BeEmpty())
	}
	g.Expect(q.Crashes(10)).To(Equal(1))
	g.Expect(actionOf(q, 10, now)).To(Equal(route.QuarantineAllow))
	q.RecordCrash(2, false, []uint64{10}, now, now)
	g.Expect(actionOf(q, 10, now)).To(Equal(route.QuarantineRunAlone))
	g.Expect(q.RecordCrash(3, false, []uint64{10, 12}, now, now)).To(Equal([]uint64{10}))
	g.Expect(actionOf(q, 10, now)).To(Equal(route.QuarantineReject))
	g.Expect(actionOf(q, 11, now)).To(Equal(route.QuarantineAllow))
	g.Expect(actionOf(q, 12, now)).To(Equal(route.QuarantineAllow))
}

// Guards against rejecting a popular request that was on many crashed targets and also completes.
func TestRequestThatCompletesIsClearedEverywhere(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	a, b := route.NewQuarantine(entryPolicy), route.NewQuarantine(entryPolicy)
	for crash := range uint64(3) {
		a.RecordCrash(crash, false, []uint64{10}, now, now)
	}
	before := a.State(10)
	b.Merge(before, now)
	g.Expect(actionOf(b, 10, now)).To(Equal(route.QuarantineReject))
	g.Expect(a.Clear(10, now)).To(BeTrue())
	g.Expect(a.Clear(10, now)).To(BeFalse(), "nothing is left to clear")
	changed, _ := b.Merge(a.State(10), now)
	g.Expect(changed).To(BeTrue())
	g.Expect(actionOf(b, 10, now)).To(Equal(route.QuarantineAllow))
	changed, _ = b.Merge(before, now)
	g.Expect(changed).To(BeFalse(), "a late message does not bring the crashes back")
	g.Expect(actionOf(b, 10, now)).To(Equal(route.QuarantineAllow))
}

// A rejection ends, so that a request is tried again after the engines have been mended, and each
// further crash makes it longer.
func TestRejectionEndsAndGrowsWithEachCrash(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	q := route.NewQuarantine(entryPolicy)
	for crash := range uint64(3) {
		q.RecordCrash(crash, false, []uint64{10}, now, now)
	}
	for crash, rejection := range []time.Duration{5 * time.Minute, 10 * time.Minute, 20 * time.Minute, 40 * time.Minute, 40 * time.Minute} {
		g.Expect(actionOf(q, 10, now.Add(rejection-time.Second))).To(Equal(route.QuarantineReject))
		now = now.Add(rejection + time.Second)
		g.Expect(actionOf(q, 10, now)).NotTo(Equal(route.QuarantineReject))
		g.Expect(q.RecordCrash(uint64(100+crash), false, []uint64{10}, now, now)).To(Equal([]uint64{10}))
	}
	g.Expect(q.AllStates(10, now.Add(81*time.Minute))).To(BeEmpty())
}

// Guards against a suspect that outlives its time because processes tell each other of it for ever.
func TestSuspectsExpireAlthoughProcessesTellEachOther(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	quarantines := []*route.Quarantine{route.NewQuarantine(entryPolicy), route.NewQuarantine(entryPolicy)}
	quarantines[0].RecordCrash(1, false, []uint64{10}, now, now)
	delay := 200 * time.Millisecond
	for range 12 * 600 {
		now = now.Add(100 * time.Millisecond)
		for i, q := range quarantines {
			for _, s := range q.AllStates(64, now) {
				for c := range s.Crashes {
					s.Crashes[c].At = s.Crashes[c].At.Add(delay) // ages are as of the sending
				}
				quarantines[1-i].Merge(s, now.Add(delay))
			}
		}
	}
	for _, q := range quarantines {
		g.Expect(q.AllStates(64, now)).To(BeEmpty())
	}
}

// State is bounded: the least suspect requests are dropped, never one that is rejected.
func TestSuspectsAreBoundedAndRejectedOnesAreKept(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	q := route.NewQuarantine(entryPolicy)
	for crash := range uint64(3) {
		q.RecordCrash(crash, false, []uint64{10}, now, now)
	}
	for n := range uint64(20_000) {
		q.RecordCrash(100+n/100, false, []uint64{1000 + n}, now, now)
	}
	g.Expect(len(q.AllStates(1<<20, now))).To(BeNumerically("<=", 1024))
	g.Expect(actionOf(q, 10, now)).To(Equal(route.QuarantineReject))
}

// Whoever speaks as an entry can tell of trials of any number of entries. They must not add up, and an own trial must still be known.
func TestTrialsOfASuspectAreBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	q := route.NewQuarantine(entryPolicy)
	q.RecordCrash(1, false, []uint64{10}, now, now)
	trial := func(entry string, until time.Time) route.Trial {
		return route.Trial{Entry: entry, Seq: 1, Target: 7, Until: until}
	}
	for n := range 10_000 {
		q.Merge(route.SuspectState{Fingerprint: 10, Trials: []route.Trial{trial(fmt.Sprint("e", n), now.Add(time.Second))}}, now)
	}
	g.Expect(len(q.State(10).Trials)).To(BeNumerically("<=", 64))
	g.Expect(q.HasTrial(7, now)).To(BeTrue())
	now = now.Add(2 * time.Second)
	g.Expect(q.StartTrial(10, trial("self", now.Add(time.Second)), now)).To(BeTrue())
	g.Expect(q.HasTrial(7, now)).To(BeTrue())
	g.Expect(len(q.State(10).Trials)).To(BeNumerically("<=", 64))
}

// Guards against entries that decide differently: messages arrive in any order, twice or through others.
func TestQuarantinesThatMergeEachOtherDecideAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		quarantines := make([]*route.Quarantine, 3)
		for i := range quarantines {
			quarantines[i] = route.NewQuarantine(entryPolicy)
		}
		fingerprints := []uint64{10, 11, 12}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			q := quarantines[rapid.IntRange(0, 2).Draw(t, "at")]
			fingerprint := rapid.SampledFrom(fingerprints).Draw(t, "fingerprint")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				q.RecordCrash(rapid.Uint64Range(1, 5).Draw(t, "crash"), false, []uint64{fingerprint}, now, now)
			case 2:
				q.Clear(fingerprint, now)
			default:
				quarantines[rapid.IntRange(0, 2).Draw(t, "to")].Merge(q.State(fingerprint), now)
			}
		}
		for range 2 {
			for _, from := range quarantines {
				for _, to := range quarantines {
					for _, fingerprint := range fingerprints {
						to.Merge(from.State(fingerprint), now)
					}
				}
			}
		}
		for _, fingerprint := range fingerprints {
			want := actionOf(quarantines[0], fingerprint, now)
			for _, q := range quarantines[1:] {
				if got := actionOf(q, fingerprint, now); got != want {
					t.Fatalf("%d: %v and %v", fingerprint, got, want)
				}
			}
		}
	})
}

// The entry that runs a suspect is lost before it reports that the target crashed. The others must
// count the crash when one of them learns that the target has ended.
func TestTrialOfALostEntryCountsWhenItsTargetCrashes(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	lost, other := route.NewQuarantine(entryPolicy), route.NewQuarantine(entryPolicy)
	for crash := range uint64(2) {
		lost.RecordCrash(crash, false, []uint64{10}, now, now)
	}
	trial := route.Trial{Entry: "a", Seq: 1, Target: 7, Until: now.Add(4 * time.Second)}
	g.Expect(lost.StartTrial(10, trial, now)).To(BeTrue())
	other.Merge(lost.State(10), now)
	g.Expect(other.StartTrial(10, route.Trial{Entry: "b", Seq: 1, Target: 8, Until: now.Add(time.Second)}, now)).To(BeFalse(), "it runs elsewhere")
	g.Expect(other.RecordCrash(7, false, []uint64{99}, now, now)).To(Equal([]uint64{10}))
}

// Two entries start trials before either has heard of the other's. Exactly one may go on, and one
// entry may not run two suspects on one target.
func TestOnlyOneOfTwoConflictingTrialsGoesOn(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	a, b := route.NewQuarantine(entryPolicy), route.NewQuarantine(entryPolicy)
	for _, q := range []*route.Quarantine{a, b} {
		for crash := range uint64(2) {
			q.RecordCrash(crash, false, []uint64{10, 11}, now, now)
		}
	}
	ofA := route.Trial{Entry: "a", Seq: 1, Target: 7, Until: now.Add(time.Second)}
	ofB := route.Trial{Entry: "b", Seq: 5, Target: 7, Until: now.Add(time.Second)}
	g.Expect(a.StartTrial(10, ofA, now)).To(BeTrue())
	g.Expect(a.StartTrial(11, route.Trial{Entry: "a", Seq: 2, Target: 7, Until: now.Add(time.Second)}, now)).To(BeFalse())
	g.Expect(b.StartTrial(11, ofB, now)).To(BeTrue())
	a.Merge(b.State(11), now)
	b.Merge(a.State(10), now)
	g.Expect(a.HasPrecedence(10, ofA, now)).To(BeTrue())
	g.Expect(b.HasPrecedence(11, ofB, now)).To(BeFalse())
	a.EndTrial(10, ofA, now)
	b.Merge(a.State(10), now)
	g.Expect(b.HasPrecedence(11, ofB, now)).To(BeTrue())
}

// The cost of a check must not show beside the handling of a request, with as many suspects as are kept.
func BenchmarkQuarantineCheck(b *testing.B) {
	now := time.Unix(1000, 0)
	q := route.NewQuarantine(entryPolicy)
	for n := range uint64(1024) {
		q.RecordCrash(n/50, false, []uint64{n}, now, now)
	}
	for b.Loop() {
		q.Check(rand.Uint64N(2048), now)
	}
}

// The cost of choosing the suspects of a message, with as many as are kept.
func BenchmarkQuarantineStates(b *testing.B) {
	now := time.Unix(1000, 0)
	q := route.NewQuarantine(entryPolicy)
	for n := range uint64(1024) {
		q.RecordCrash(n/50, false, []uint64{n}, now, now)
	}
	for b.Loop() {
		q.States(64, 4, func([]uint64) {}, now.Add(time.Minute))
	}
}
