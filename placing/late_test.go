package placing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// A group of ten places an entry is back after an outage, empty, and twenty requests wait
// that are late. Four requests come a second and stay for one: the late ones may take what
// these leave, and not all places, or whoever comes next waits and is late too.
func TestLateStreamsLeaveRoomForThoseThatCome(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := testBook()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	l := testLane(1, target)
	const most = 10
	lanes := oneLane(l, most)
	inTime := func() *Request { return &Request{Arrived: now, LatencyObjective: 500 * time.Millisecond} }
	for n := range 80 { // twenty seconds of calm
		now = now.Add(250 * time.Millisecond)
		b.prepare(lanes, demand{entered: n}, now)
		r := inTime()
		g.Expect(b.reserve(lanes, r, now)).To(Equal(target))
		b.EndAttempt(b.TargetState(target), r, now.Add(time.Second))
	}
	sent := 0
	late := func() *Request {
		return &Request{Arrived: now.Add(-2 * time.Second), LatencyObjective: 500 * time.Millisecond}
	}
	for b.lateMayGo(lanes) && b.reserve(lanes, late(), now) != nil {
		sent++
	}
	g.Expect(sent).To(BeNumerically("~", most-4, 1))
	for range most - sent {
		g.Expect(b.reserve(lanes, inTime(), now)).To(Equal(target), "who comes has a place at once")
	}
}

// A group is full, and requests wait that can't be in time any more. Those that can
// go first, at other entries too, so the late ones stay until there is room for all.
func TestLateRequestsLeaveScarceRoomToOthers(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	for wanting, goes := range map[int]bool{0: true, 50: false} {
		b := fullGroup(target, wanting, now)
		gt := new(AdmissionQueue)
		late := waiting(1, now.Add(-time.Second))
		late.LatencyObjective = 500 * time.Millisecond
		w, _, ok := gt.Enqueue(late, now)
		g.Expect(ok).To(BeTrue())
		l := testLane(fullEntries, target)
		l.Service.Engine, l.EventGapObjective = testModel(), 120*time.Millisecond
		Admit(gt, b, l, now)
		g.Expect(gt.Remove(w)).To(Equal(!goes), "%d want room for a few", wanting)
	}
}

// A group is back after an outage, and has room for a part of what waits for it by
// then, all of it late. The entries must not send all of that at once.
func TestLateRequestsShareWhatRoomIsLeft(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	target := &serving.Target{ID: "k", Service: "s", Address: "1"}
	const rounds, each = 50, 5
	sent := 0
	for range rounds * fullEntries {
		b := testBook()
		loads := map[string]RankLoad{target.Address: {Running: 6}}
		b.ApplyLoadReport("s", []*serving.Target{target}, loads, NewGroupState(loads, 1, 1, QueueCounts{Late: each * fullEntries}, now))
		l := testLane(fullEntries, target)
		lanes := oneLane(l, 10)
		b.prepare(lanes, demand{waiting: QueueCounts{Late: each}}, now)
		late := &Request{Arrived: now.Add(-time.Second), LatencyObjective: 500 * time.Millisecond}
		for range each {
			if b.lateMayGo(lanes) && b.reserve(lanes, late, now) != nil {
				sent++
			}
		}
	}
	g.Expect(float64(sent) / rounds).To(BeNumerically("~", 4, 1.5))
}
