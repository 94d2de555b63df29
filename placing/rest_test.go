package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

func restTracker() *Tracker { return NewTracker("e", "a", rand.New(rand.NewPCG(1, 1))) }

func restTargets() (resting, free *serving.Target) {
	return &serving.Target{ID: "i1", Service: "s", Slots: 4}, &serving.Target{ID: "i2", Service: "s", Slots: 4}
}

func accepting(*serving.Target) bool { return false }

// Guards against a target that is placed on while it rests, or that never gets requests again.
func TestRestingTargetIsNotPlacedOn(t *testing.T) {
	g := NewWithT(t)
	tr, now := restTracker(), time.Unix(1000, 0)
	resting, free := restTargets()
	both := []*serving.Target{resting, free}
	g.Expect(tr.RecordRest(resting.Run(), 3*time.Second, now)).To(BeTrue())
	for range 20 {
		g.Expect(tr.Place(both, accepting, now.Add(2900*time.Millisecond))).To(Equal(free))
	}
	g.Expect(tr.Place([]*serving.Target{resting}, accepting, now)).To(BeNil())
	g.Expect(tr.RestOfAll(both, nil, now)).To(BeZero())
	g.Expect(tr.RestOfAll([]*serving.Target{resting}, nil, now.Add(time.Second))).To(Equal(2 * time.Second))
	g.Expect(tr.Place([]*serving.Target{resting}, accepting, now.Add(3*time.Second))).To(Equal(resting))
}

// Guards against a later response that shortens a rest, and against a rest that is dropped while the
// store does not list the target or kept for another run.
func TestRestEndsNoEarlierThanStated(t *testing.T) {
	g := NewWithT(t)
	tr, now := restTracker(), time.Unix(1000, 0)
	resting, _ := restTargets()
	tr.RecordRest(resting.Run(), 10*time.Second, now)
	g.Expect(tr.RecordRest(resting.Run(), time.Second, now.Add(time.Second))).To(BeFalse())
	tr.Prune(allKnown, now.Add(4*time.Second))
	tr.Prune(noneKnown, now.Add(5*time.Second))
	g.Expect(tr.Accepts(resting, now.Add(9*time.Second))).To(BeFalse())
	restarted := &serving.Target{ID: resting.ID, StartedAtMS: 7}
	g.Expect(tr.Accepts(restarted, now.Add(time.Second))).To(BeTrue())
	tr.Prune(func(serving.Run) bool { return true }, now.Add(time.Minute))
	g.Expect(tr.stated.rests).To(BeEmpty())
}

// Guards against requests that go to the targets with permits, past the admission queue, because
// a resting target without a rate limit counts as able to take them; and against the reverse.
func TestRestingTargetsDoNotHideRateLimits(t *testing.T) {
	g := NewWithT(t)
	tr, now := restTracker(), time.Unix(1000, 0)
	resting, limited := restTargets()
	both := []*serving.Target{resting, limited}
	reportRate(tr, limited.Run(), 1, now)
	g.Expect(tr.AllRateLimited(both, now)).To(BeFalse())
	tr.RecordRest(resting.Run(), 3*time.Second, now)
	g.Expect(tr.AllRateLimited(both, now)).To(BeTrue())
	tr.RecordRest(limited.Run(), time.Second, now)
	g.Expect(tr.AllRateLimited(both, now)).To(BeFalse())
	needing, _ := tr.TargetsNeedingPermits(both, accepting, now)
	g.Expect(needing).To(BeEmpty())
}

// Guards against queued requests that wait for targets that rest longer than they can wait, and
// against the release of requests that can wait.
func TestQueuedRequestsAreReleasedWhenAllTargetsRest(t *testing.T) {
	g := NewWithT(t)
	tr, now := restTracker(), time.Unix(1000, 0)
	resting, _ := restTargets()
	tr.RecordRest(resting.Run(), 2*time.Second, now)
	queue := new(AdmissionQueue)
	short, _, _ := queue.Enqueue(&Request{Arrived: now, MaxWait: time.Second}, now)
	long, _, _ := queue.Enqueue(&Request{Arrived: now, MaxWait: 3 * time.Second}, now)
	pool := TargetPool{Service: &serving.Service{Name: "s", Engine: &serving.EngineModel{Slots: 4, LayerSets: 1}}, Targets: []*serving.Target{resting}, EntryCount: 1}
	Admit(queue, tr, pool, now)
	g.Expect(short.Granted()).To(Receive(BeNil()))
	g.Expect(long.Granted()).NotTo(Receive())
	Admit(queue, tr, pool, now.Add(2*time.Second))
	g.Expect(long.Granted()).To(Receive(Equal(resting)))
}

// Guards against refused callers that all return at the end of the rest.
func TestRefusedCallersReturnOneAfterAnother(t *testing.T) {
	g := NewWithT(t)
	tr, now := restTracker(), time.Unix(1000, 0)
	resting, other := restTargets()
	targets := []*serving.Target{resting, other}
	seen := make(map[time.Duration]bool)
	for range 20 {
		wait := tr.RestRetryAfter("s", targets, 3*time.Second, 2, now)
		g.Expect(wait).To(And(BeNumerically(">=", 3*time.Second), BeNumerically("<=", 3*time.Second+maxRetrySpread)))
		g.Expect(seen[wait]).To(BeFalse())
		seen[wait] = true
	}
}

// restReactionTime is the time within which an answer that asks for rest takes effect. Source: the
// platform's rule.
const restReactionTime = 500 * time.Millisecond

// restBurstWindow is the time in which a target that has ended a rest takes no more requests than
// it can run at once, with two added for the ends of the window.
const restBurstWindow = time.Second

// A target has asked every entry for rest at about the same time. Guards against entries that all
// send to it as soon as the rest ends, whatever their number, and against requests in the rest.
func TestTargetComesOutOfRestWithoutBurstAtAnyFleetSize(t *testing.T) {
	for _, entries := range []int{8, 46, 410, 1000} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d entries, seed %d", entries, seed), func(t *testing.T) {
				g := NewWithT(t)
				f := newRateFleet(entries, seed)
				f.lossRate = 0.05
				f.slots = 8
				const offeredRate = 300.0 // requests a second for the target, at all entries together
				for _, e := range f.entries {
					f.generateRequests(e, offeredRate/float64(entries))
				}
				f.run(3 * time.Second)
				const rest = 3 * time.Second
				f.restAll(rest)
				f.run(restReactionTime)
				from := len(f.target.received)
				f.run(rest - restReactionTime)
				g.Expect(f.target.received[from:]).To(BeEmpty(), "the target rests")
				f.run(restRecovery)
				recovering := f.target.received[from:]
				g.Expect(maxInWindow(recovering, restBurstWindow)).To(BeNumerically("<=", f.slots+2))
				g.Expect(len(recovering)).To(BeNumerically(">=", f.slots/4), "the target gets requests again")
				g.Expect(float64(f.permitQueries)).To(BeNumerically("<=", offeredRate*restRecovery.Seconds()*1.2))
				f.run(time.Second)
				from = len(f.target.received)
				f.run(5 * time.Second)
				g.Expect(float64(len(f.target.received)-from)).To(BeNumerically(">=", offeredRate*5*0.8), "the target has recovered")
			})
		}
	}
}
