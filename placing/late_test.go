package placing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// A group is idle again after an outage, and twenty late requests wait. They must leave slots for
// the four on-time requests that arrive each second, or these become late too.
func TestLateStreamsLeaveSlotsForArrivals(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	tr := testTracker()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	pool := testPool(1, target)
	const maxStreams = 10
	pools := singlePool(pool, maxStreams)
	onTime := func() *Request { return &Request{Arrived: now, LatencyObjective: 500 * time.Millisecond} }
	for n := range 80 { // twenty seconds of steady load
		now = now.Add(250 * time.Millisecond)
		tr.updateHeadroom(pools, demand{enqueued: n}, now)
		r := onTime()
		g.Expect(tr.reserve(pools, r, now)).To(Equal(target))
		tr.EndAttempt(tr.TargetState(target), r, now.Add(time.Second))
	}
	sent := 0
	late := func() *Request {
		return &Request{Arrived: now.Add(-2 * time.Second), LatencyObjective: 500 * time.Millisecond}
	}
	for tr.canAdmitLate(pools, now) && tr.reserve(pools, late(), now) != nil {
		sent++
	}
	g.Expect(sent).To(BeNumerically("~", maxStreams-4, 1))
	for range maxStreams - sent {
		g.Expect(tr.reserve(pools, onTime(), now)).To(Equal(target), "an on-time request gets a slot at once")
	}
}

// Late and on-time requests for a nearly full group wait at several entries. Late requests may be
// sent only if there is headroom for all on-time ones.
func TestLateRequestsYieldScarceHeadroom(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	for queued, admitted := range map[int]bool{0: true, 50: false} {
		tr := newFullGroup(target, queued, now)
		q := new(AdmissionQueue)
		late := newWaitingRequest(1, now.Add(-time.Second))
		late.LatencyObjective = 500 * time.Millisecond
		w, _, ok := q.Enqueue(late, now)
		g.Expect(ok).To(BeTrue())
		pool := testPool(fullGroupEntries, target)
		pool.Service.Engine, pool.EventGapObjective = testModel(), 120*time.Millisecond
		Admit(q, tr, pool, now)
		g.Expect(q.Remove(w)).To(Equal(!admitted), "%d on-time requests queued", queued)
	}
}

// After an outage a group has headroom for only a part of the late requests that wait. The entries
// must not send all of them at once.
func TestLateRequestsShareRemainingHeadroom(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	const rounds, perEntry = 50, 5
	sent := 0
	for range rounds * fullGroupEntries {
		tr := testTracker()
		loads := map[string]RankLoad{target.Address: {Running: 6}}
		tr.ApplyLoadReport("s", []*serving.Target{target}, loads, NewGroupState(loads, 1, 1, QueueCounts{Late: perEntry * fullGroupEntries}, now))
		pool := testPool(fullGroupEntries, target)
		pools := singlePool(pool, 10)
		tr.updateHeadroom(pools, demand{queued: QueueCounts{Late: perEntry}}, now)
		late := &Request{Arrived: now.Add(-time.Second), LatencyObjective: 500 * time.Millisecond}
		for range perEntry {
			if tr.canAdmitLate(pools, now) && tr.reserve(pools, late, now) != nil {
				sent++
			}
		}
	}
	g.Expect(float64(sent) / rounds).To(BeNumerically("~", 4, 1.5))
}
