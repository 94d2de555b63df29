package route_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/route"
)

func partOf(n int) uint64 { return route.PartFingerprint("s", fmt.Sprint(n)) }

// crashWith records crashes of different targets, 10 s apart, at which parts were running.
func crashWith(q *route.Quarantine, from time.Time, crashes int, parts ...uint64) time.Time {
	now := from
	for range crashes {
		now = now.Add(10 * time.Second)
		q.RecordCrash(uint64(now.Unix()), false, parts, now, now)
	}
	return now.Add(time.Second)
}

// A part that was mended was refused for good, or all requests with it were sent again at once.
func TestMendedPartIsServedAgainAfterOneProbe(t *testing.T) {
	g := NewWithT(t)
	q, start := route.NewQuarantine(entryPolicy), time.Unix(9000, 0)
	part := partOf(1)
	now := crashWith(q, start, route.MaxPartCrashes-1, part)
	action, _, _ := q.CheckParts([]uint64{part}, now)
	g.Expect(action).To(Equal(route.QuarantineAllow))
	now = crashWith(q, now, 1, part)
	action, cause, until := q.CheckParts([]uint64{part}, now)
	g.Expect(action).To(Equal(route.QuarantineReject))
	g.Expect(cause).To(Equal(part))
	g.Expect(until.Sub(now)).To(BeNumerically("~", 5*time.Minute, 10*time.Second))

	now = until.Add(time.Second)
	action, _, _ = q.CheckParts([]uint64{part}, now)
	g.Expect(action).To(Equal(route.QuarantineRunAlone))
	g.Expect(q.StartTrial(part, route.Trial{Entry: "a", Seq: 1, Target: 7, Until: now.Add(time.Minute)}, now)).To(BeTrue())
	g.Expect(q.StartTrial(part, route.Trial{Entry: "b", Seq: 1, Target: 8, Until: now.Add(time.Minute)}, now)).To(BeFalse(), "one probe over all entries")
	q.Prove([]uint64{part}, now)
	action, _, _ = q.CheckParts([]uint64{part}, now)
	g.Expect(action).To(Equal(route.QuarantineAllow))
}

// A request that has some of the parts that can't be told apart was refused with those that have all of them.
func TestRequestWithSomeOfTheBlamedPartsRuns(t *testing.T) {
	g := NewWithT(t)
	q := route.NewQuarantine(entryPolicy)
	first, beside := partOf(1), partOf(2)
	now := crashWith(q, time.Unix(9000, 0), route.MaxPartCrashes, first, beside)
	action, _, _ := q.CheckParts([]uint64{first, beside}, now)
	g.Expect(action).To(Equal(route.QuarantineReject))
	action, _, _ = q.CheckParts([]uint64{first, partOf(3)}, now)
	g.Expect(action).To(Equal(route.QuarantineAllow))
	q.Prove([]uint64{first, partOf(3)}, now)
	action, cause, _ := q.CheckParts([]uint64{first, beside}, now)
	g.Expect(action).To(Equal(route.QuarantineReject))
	g.Expect(cause).To(Equal(beside))
	action, _, _ = q.CheckParts([]uint64{first}, now)
	g.Expect(action).To(Equal(route.QuarantineAllow))
}

// Two processes that each saw some of the crashes, or of the answers, decided differently.
func TestQuarantinesThatMergePartsDecideAlike(t *testing.T) {
	g := NewWithT(t)
	a, b := route.NewQuarantine(entryPolicy), route.NewQuarantine(entryPolicy)
	first, deadly := partOf(1), partOf(2)
	start := time.Unix(9000, 0)
	b.Prove([]uint64{first}, start)
	now := crashWith(a, start, 3, first, deadly)
	now = crashWith(b, now, 2, first, deadly)
	for _, part := range []uint64{first, deadly} {
		fromA, fromB := a.State(part), b.State(part)
		a.Merge(fromB, now)
		b.Merge(fromA, now)
	}
	for _, q := range []*route.Quarantine{a, b} {
		action, cause, _ := q.CheckParts([]uint64{first, deadly}, now)
		g.Expect(action).To(Equal(route.QuarantineReject))
		g.Expect(cause).To(Equal(deadly))
		action, _, _ = q.CheckParts([]uint64{first}, now)
		g.Expect(action).To(Equal(route.QuarantineAllow))
	}
}

// Thousands of parts beside crashes filled the memory, or drove out the one that crashes targets or the suspected requests.
func TestSuspectedPartsStayBounded(t *testing.T) {
	g := NewWithT(t)
	q, now := route.NewQuarantine(entryPolicy), time.Unix(9000, 0)
	deadly, request := partOf(-1), uint64(77)
	q.RecordCrash(1, false, []uint64{request}, now, now)
	for crash := range 20 {
		now = now.Add(time.Second)
		parts := []uint64{deadly}
		for n := range 400 {
			parts = append(parts, partOf(crash*400+n))
		}
		q.RecordCrash(uint64(100+crash), false, parts, now, now)
	}
	states := q.AllStates(1<<20, now)
	g.Expect(len(states)).To(BeNumerically("<=", 2*1024))
	g.Expect(q.Crashes(deadly)).To(BeNumerically(">=", route.MaxPartCrashes))
	g.Expect(q.Crashes(request)).To(Equal(1))
	action, _, _ := q.CheckParts([]uint64{deadly}, now.Add(time.Second))
	g.Expect(action).To(Equal(route.QuarantineReject))
	for n := range 10_000 {
		q.Prove([]uint64{partOf(n)}, now)
	}
	g.Expect(q.Crashes(deadly)).To(BeNumerically(">=", route.MaxPartCrashes))
}

// A request was taken for a part, or a part for a request, by the tag in the fingerprint.
func TestFingerprintsTellPartsFromRequests(t *testing.T) {
	g := NewWithT(t)
	for n := range 200_000 {
		g.Expect(route.IsPart(route.RequestFingerprint([][]byte{fmt.Append(nil, n)}, "team", "path"))).To(BeFalse())
	}
	g.Expect(route.IsPart(partOf(1))).To(BeTrue())
	g.Expect(partOf(1)).NotTo(Equal(partOf(2)))
	g.Expect(route.PartFingerprint("other", "1")).NotTo(Equal(partOf(1)))
}
