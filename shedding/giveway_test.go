package shedding

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Bodies that have stalled give way to any other; those that have for longest go first.
func TestStalledBodiesGiveWay(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(Limits{Connections: 100, Bytes: 16 * mb})
	first := holding(t, a, 1, 0, Body, 6*mb)
	second := holding(t, a, 2, 10, Body, 6*mb)
	trickle := holding(t, a, 3, 20, Body, mb)
	for ms := range 200 {
		trickle.Arrived(16, at(20+10*ms)) // some bytes now and then are no progress
	}
	moving := holding(t, a, 4, 30, Body, mb)
	moving.Arrived(progressBytes, at(1900))
	needs := opened(t, a, 5, 2000)
	needs.SetState(Body, at(2000))
	d := needs.Grow(mb, at(2000))
	g.Expect(d.Granted || d.Refused).To(BeFalse())
	g.Expect(d.GiveWay).To(Equal([]*Holder{first}))
	again := needs.Grow(mb, at(2001))
	g.Expect(again.GiveWay).To(BeEmpty(), "the first has been told already")
	g.Expect(first.Grow(1, at(2001)).Refused).To(BeTrue())
	first.Close()
	g.Eventually(d.Released).Should(BeClosed())
	g.Expect(needs.Grow(mb, at(2002)).Granted).To(BeTrue())
	d = needs.Grow(6*mb, at(2003))
	g.Expect(d.GiveWay).To(Equal([]*Holder{second}))
	second.Close()
	g.Expect(needs.Grow(6*mb, at(2004)).Granted).To(BeTrue())
	d = needs.Grow(mb/2, at(2005))
	g.Expect(d.Granted || d.Refused || d.GiveWay != nil).To(BeTrue())
	g.Expect(moving.leaving).To(BeFalse())
}

// Of many bodies that come at once as many are served as fit, and not all refused at the moment at which the memory is full.
func TestBodiesAtOnceAreServedAsFarAsTheyFit(t *testing.T) {
	g := NewWithT(t)
	const bodies, body, step = 60, 4 * mb, 64 << 10
	a := NewAccount(Limits{Connections: 1000, Bytes: 24 * mb})
	held := make(map[*Holder]int)
	for i := range bodies {
		h := opened(t, a, i, 0)
		h.SetState(Body, at(0))
		held[h] = 0
	}
	whole := 0
	for ms := 1; len(held) > 0; ms++ {
		var refused []*Holder
		for h := range held {
			d := h.Grow(step, at(ms))
			switch {
			case d.Granted:
				h.Arrived(step, at(ms))
				if held[h] += step; held[h] == body {
					h.SetState(Running, at(ms))
					delete(held, h)
					whole++
				}
			case d.Refused:
				refused = append(refused, h)
			}
		}
		for _, h := range refused { // they have given their memory back only after all others have asked
			h.Close()
			delete(held, h)
		}
		g.Expect(ms).To(BeNumerically("<", 10_000))
	}
	g.Expect(whole).To(Equal(5), "as many as fit beside the part of short requests")
}

// Connections that have stalled must not keep their memory because it would not be enough for the one that needs it.
func TestStalledConnectionsGiveWayToARefusedOne(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(Limits{Connections: 100, Bytes: 16 * mb})
	stalled := holding(t, a, 1, 0, Body, mb)
	for i := range 6 {
		holding(t, a, 2+i, 0, Running, 2*mb)
	}
	needs := opened(t, a, 20, 2000)
	needs.SetState(Body, at(2000))
	d := needs.Grow(6*mb, at(2000))
	g.Expect(d.Refused).To(BeTrue())
	g.Expect(d.GiveWay).To(Equal([]*Holder{stalled}))
}

// Requests that arrive while others hold the memory are refused; those with a short body find room.
func TestSmallBodiesFindRoom(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(Limits{Connections: 1000, Bytes: 16 * mb})
	for i := range 7 {
		holding(t, a, i, 0, Running, 2*mb)
	}
	large := holding(t, a, 100, 1, Body, SmallBytes)
	g.Expect(large.Grow(mb, at(2)).Refused).To(BeTrue())
	small := 0
	for i := range 20 {
		holding(t, a, 200+i, 3, Running, SmallBytes/2)
		small++
	}
	g.Expect(small).To(Equal(20))
}

// When short requests have used their part too, the largest body that is arriving gives way to them.
func TestLargestBodyGivesWayToSmallOnes(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(Limits{Connections: 1000, Bytes: 16 * mb})
	body := holding(t, a, 1, 0, Body, 2*mb)
	response := holding(t, a, 2, 0, Response, 3*mb)
	for i := range 4 {
		holding(t, a, 3+i, 0, Running, 2*mb)
	}
	for i := 0; a.all.bytes+SmallBytes <= a.limits.Bytes; i++ {
		holding(t, a, 20+i, 1, Running, SmallBytes)
	}
	small := opened(t, a, 500, 2)
	small.SetState(Head, at(2))
	g.Expect(small.Grow(SmallBytes, at(2)).GiveWay).To(Equal([]*Holder{response}))
	response.Close()
	g.Expect(small.Grow(SmallBytes, at(3)).Granted).To(BeTrue())
	g.Expect(body.leaving).To(BeFalse())
}

// A response without end gives way to others, so that they are delivered.
func TestEndlessResponseGivesWay(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(Limits{Connections: 100, Bytes: 16 * mb})
	endless := holding(t, a, 1, 0, Response, 8*mb)
	for i := range 5 {
		holding(t, a, 2+i, 0, Running, mb)
	}
	response := holding(t, a, 20, 1, Response, mb)
	g.Expect(response.Grow(mb, at(2)).GiveWay).To(Equal([]*Holder{endless}))
	g.Expect(endless.Grow(mb, at(2)).Refused).To(BeTrue())
}

// Callers that do not read must not use up the memory, and those that read must not pay for them.
func TestSlowCallersShareTheMemory(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(Limits{Connections: 100, Bytes: 1000})
	long, short, reading := opened(t, a, 1, 0), opened(t, a, 2, 0), opened(t, a, 3, 0)
	now := at(20_000)
	stalled := func(h *Holder, bytes int, since time.Duration) []*Holder { return h.Stalled(bytes, since, now) }
	g.Expect(stalled(long, 500, 8*time.Second)).To(BeEmpty(), "within the bound")
	g.Expect(stalled(short, 400, 4*time.Second)).To(BeEmpty())
	g.Expect(stalled(reading, 400, time.Second)).To(Equal([]*Holder{long}), "the one that has read nothing for longest gives way")
	g.Expect(stalled(long, 500, 8*time.Second)).To(BeEmpty(), "it has been told")
	long.Close()
	g.Expect(stalled(short, 400, 5*time.Second)).To(BeEmpty(), "within the bound again")
	g.Expect(stalled(reading, 400, 2*time.Second)).To(BeEmpty())
	g.Expect(stalled(reading, 700, 2*time.Second)).To(Equal([]*Holder{short}), "a caller that reads is never cut off")
	short.Close()
	g.Expect(stalled(reading, 1200, 2*time.Second)).To(BeEmpty())
	g.Expect(stalled(reading, 0, 0)).To(BeEmpty())
	_, bytes := a.Usage()
	g.Expect(bytes).To(BeZero())
}

// A request that has become whole since it was chosen keeps its memory, and those that waited for it choose again.
func TestHolderThatStaysIsNotWaitedFor(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(Limits{Connections: 100, Bytes: 16 * mb})
	first := holding(t, a, 1, 0, Body, 7*mb)
	second := holding(t, a, 2, 10, Body, 7*mb)
	needs := opened(t, a, 3, 2000)
	needs.SetState(Body, at(2000))
	d := needs.Grow(mb, at(2000))
	g.Expect(d.GiveWay).To(Equal([]*Holder{first}))
	first.SetState(Running, at(2001))
	first.Stay()
	g.Eventually(d.Released).Should(BeClosed())
	g.Expect(needs.Grow(mb, at(2002)).GiveWay).To(Equal([]*Holder{second}))
}
