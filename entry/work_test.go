package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

func loadOf(seq uint64, total, own int) *wire.Load {
	return &wire.Load{Seq: seq, EngineUp: true, Total: wire.Work{Requests: total, Decode: 100 * total}, FromReceiver: wire.Work{Requests: own, Decode: 100 * own}}
}

// requestsAt returns the number of requests at the link's target, as the entry counts them.
func requestsAt(l *link) float64 {
	var t route.Target
	others, _ := l.readTarget(&t)
	return others.Requests + t.Own.Requests
}

// Load reports arrive late, twice or not at all. The entry tracks its own requests itself, so
// the part of a report that is its own work must be left out, or it would count twice.
func TestOwnRequestsAreCountedOnce(t *testing.T) {
	g := NewWithT(t)
	l, old := newLink(&Entry{}, "t", ""), new(wire.Conn)
	s := &wire.Sched{Prompt: 50, Decode: 100}
	first, second := l.trackRequest(s), l.trackRequest(s)
	l.applyLoad(old, loadOf(5, 3, 0)) // the agent had received neither request
	g.Expect(requestsAt(l)).To(Equal(5.0))
	l.applyLoad(old, loadOf(6, 4, 1)) // the agent had received one of them
	g.Expect(requestsAt(l)).To(Equal(5.0))
	l.applyLoad(old, loadOf(6, 9, 0)) // duplicate
	l.applyLoad(old, loadOf(4, 9, 0)) // reordered
	g.Expect(requestsAt(l)).To(Equal(5.0))
	first.StreamEnded()
	first.StreamEnded() // the end and the close of one stream count once
	g.Expect(requestsAt(l)).To(Equal(4.0))
	second.ChunkReceived([]byte("data: a\n\ndata: b\n\n"))
	var target route.Target
	l.readTarget(&target)
	g.Expect(target.Own).To(Equal(route.Work{Requests: 1, Decode: 98}))
	second.StreamEnded()
	second.ChunkReceived([]byte("data: late\n\n"))
	l.readTarget(&target)
	g.Expect(target.Own).To(Equal(route.Work{}))
}

// An agent restarts, or a new VM is connected before the old connection ends, so report
// numbers start again at one. The first new report must apply despite its lower number.
func TestFirstReportOfARestartedAgentApplies(t *testing.T) {
	g := NewWithT(t)
	old, next := new(wire.Conn), new(wire.Conn)
	l := newLink(&Entry{}, "t", "")
	l.applyLoad(old, loadOf(1000, 40, 0))
	l.applyLoad(next, loadOf(1, 2, 0))
	g.Expect(requestsAt(l)).To(Equal(2.0))
	l.clearConn()
	l.applyLoad(next, loadOf(1, 3, 0))
	g.Expect(requestsAt(l)).To(Equal(3.0))
}
