package placing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

const permitWindow = 4 * time.Second

// mostIn returns the most moments in any window.
func mostIn(at []time.Time, window time.Duration) int {
	slices.SortFunc(at, time.Time.Compare)
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) >= window {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// Guards against permits that come faster than the rate, however often they are asked for and
// whenever the rate changes.
func TestPermitsKeepTheRateInEveryWindow(t *testing.T) {
	for seed := range uint64(30) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		b, begun := permitBook(), time.Unix(1000, 0)
		var granted []time.Time
		now, highest := begun, 0.0
		for range 4000 {
			now = now.Add(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
			if rng.IntN(500) == 0 || now.Equal(begun) || highest == 0 {
				rate := 0.2 + 8*rng.Float64()
				highest = max(highest, rate)
				b.RecordRateLimit(RateLimit{Run: limitedRun, Rate: rate}, TimeBounds{Earliest: now, Latest: now.Add(1)}, now)
			}
			q := PermitQuery{MaxWait: time.Duration(rng.Int64N(int64(300 * time.Millisecond))), RejectIfDenied: rng.IntN(2) == 0}
			if permit := b.IssuePermit(limitedRun, 1, q, now); permit.Granted {
				g.Expect(permit.Wait).To(BeNumerically("<=", q.MaxWait))
				granted = append(granted, now.Add(permit.Wait))
			}
		}
		g.Expect(granted).NotTo(BeEmpty())
		g.Expect(float64(mostIn(granted, permitWindow))).To(BeNumerically("<=", highest*permitWindow.Seconds()+1), "seed %d", seed)
	}
}

func permitBook() *Tracker { return NewTracker("e", "a", rand.New(rand.NewPCG(1, 2))) }

func nameRate(b *Tracker, run serving.Run, rate float64, now time.Time) {
	b.RecordRateLimit(RateLimit{Run: run, Rate: rate}, TimeBounds{Earliest: now, Latest: now}, now)
}

// Guards against two entries that grant permits at a time, as one begins to issue them while the
// other has not heard of it.
func TestNoPermitIsGrantedRightAfterTakingOver(t *testing.T) {
	g := NewWithT(t)
	b, now := permitBook(), time.Unix(1000, 0)
	nameRate(b, limitedRun, 10, now)
	g.Expect(b.IssuePermit(limitedRun, 1, PermitQuery{}, now)).To(Equal(Permit{Wait: takeOver}))
	g.Expect(b.IssuePermit(limitedRun, 1, PermitQuery{}, now.Add(takeOver)).Granted).To(BeTrue())
	b.StopIssuingPermits(limitedRun)
	later := now.Add(time.Minute)
	g.Expect(b.IssuePermit(limitedRun, 1, PermitQuery{}, later).Granted).To(BeFalse())
}

// Guards against a fleet that has split, whose sides grant the whole rate each.
func TestEachSideOfASplitFleetHasItsPartOfTheRate(t *testing.T) {
	g := NewWithT(t)
	var granted []time.Time
	begun := time.Unix(1000, 0)
	for _, part := range []float64{3.0 / 8, 5.0 / 8} {
		b := permitBook()
		nameRate(b, limitedRun, 2, begun)
		for at := time.Duration(0); at < 30*time.Second; at += 10 * time.Millisecond {
			if b.IssuePermit(limitedRun, part, PermitQuery{}, begun.Add(at)).Granted {
				granted = append(granted, begun.Add(at))
			}
		}
	}
	g.Expect(len(granted)).To(BeNumerically("~", 60, 4))
	g.Expect(mostIn(granted, permitWindow)).To(BeNumerically("<=", 10), "what the rate allows, and one for each side")
}

// Guards against refused callers who all come back for the same permit.
func TestRefusedCallersComeBackOneAfterTheOther(t *testing.T) {
	g := NewWithT(t)
	b, now := permitBook(), time.Unix(1000, 0)
	nameRate(b, limitedRun, 2, now)
	now = now.Add(2 * time.Second)
	b.IssuePermit(limitedRun, 1, PermitQuery{}, now)
	now = now.Add(takeOver)
	g.Expect(b.IssuePermit(limitedRun, 1, PermitQuery{}, now).Granted).To(BeTrue())
	refuse := PermitQuery{MaxWait: 100 * time.Millisecond, RejectIfDenied: true}
	for i := 1; i <= 10; i++ {
		g.Expect(b.IssuePermit(limitedRun, 1, refuse, now).RetryAfter).To(Equal(time.Duration(i) * 500 * time.Millisecond))
	}
	for range 100 {
		g.Expect(b.IssuePermit(limitedRun, 1, refuse, now).RetryAfter).To(BeNumerically("<=", maxPromise+500*time.Millisecond))
	}
}

// Guards against a target that wants nothing for a while and is never sent anything again, so
// that nobody hears when it wants more.
func TestATargetThatWantsNothingIsTriedNowAndThen(t *testing.T) {
	g := NewWithT(t)
	b, now := permitBook(), time.Unix(1000, 0)
	nameRate(b, limitedRun, 0, now)
	var granted []time.Time
	for at := time.Duration(0); at < 2*time.Minute; at += 50 * time.Millisecond {
		if b.IssuePermit(limitedRun, 1, PermitQuery{}, now.Add(at)).Granted {
			granted = append(granted, now.Add(at))
		}
	}
	g.Expect(len(granted)).To(And(BeNumerically(">=", 3), BeNumerically("<=", 4)))
	raised := granted[len(granted)-1].Add(time.Second)
	nameRate(b, limitedRun, 5, raised)
	g.Expect(b.IssuePermit(limitedRun, 1, PermitQuery{}, raised).Granted).To(BeTrue(), "an earlier, lower rate delays nothing")
}

// Guards against requests that wait at the gate for targets which none of them may go to.
func TestNobodyWaitsAtTheGateIfAllTargetsNameARate(t *testing.T) {
	g := NewWithT(t)
	b, gt, now := permitBook(), new(AdmissionQueue), time.Unix(1000, 0)
	targets := []*serving.Target{{ID: "i1", Service: "s"}, {ID: "i2", Service: "s"}}
	lane := TargetPool{Service: &serving.Service{Name: "s", Engine: &serving.EngineModel{Slots: 4}}, Targets: targets, Entries: 1}
	nameRate(b, targets[0].Run(), 1, now)
	b.RecordPermitDenied(targets[0].Run(), now.Add(time.Second))
	w, _, _ := gt.Enqueue(&Request{Arrived: now}, now)
	Admit(gt, b, lane, now)
	g.Expect(<-w.Granted()).To(Equal(targets[1]))

	nameRate(b, targets[1].Run(), 1, now)
	w, _, _ = gt.Enqueue(&Request{Arrived: now}, now)
	Admit(gt, b, lane, now)
	g.Expect(<-w.Granted()).To(BeNil())
	g.Expect(gt.HasWaiting()).To(BeFalse())
	all := func(*serving.Target) bool { return false }
	limited, unowned := b.PermitBoundTargets(targets, all, now)
	g.Expect(limited).To(Equal([]*serving.Target{targets[1], targets[0]}), "the one with a permit first")
	g.Expect(unowned).To(BeZero())
	b.RecordOwnerUnreachable(targets[1].Run(), now.Add(time.Second))
	limited, unowned = b.PermitBoundTargets(targets, all, now)
	g.Expect(limited).To(Equal(targets[:1]))
	g.Expect(unowned).To(Equal(time.Second))
}

// Guards against news of many rates that fill messages, and against such as are never told.
func TestAllRatesAreToldInMessagesOfAFewEach(t *testing.T) {
	g := NewWithT(t)
	b, now := permitBook(), time.Unix(1000, 0)
	told := make(map[string]bool)
	for i := range 200 {
		nameRate(b, serving.Run{ID: string(rune('a'+i%20)) + string(rune('a'+i/20))}, 1, now.Add(time.Duration(i)))
	}
	newest := serving.Run{ID: "newest"}
	nameRate(b, newest, 1, now.Add(time.Second))
	for range 200 {
		list := b.RateLimits(16)
		g.Expect(list).To(HaveLen(16))
		g.Expect(slices.ContainsFunc(list, func(o ReportedRateLimit) bool { return o.Run == newest })).To(BeTrue())
		for _, o := range list {
			told[o.Run.ID] = true
		}
	}
	g.Expect(told).To(HaveLen(201))
}
