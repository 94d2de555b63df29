package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

func loadOf(seq uint64, total, mine int) *wire.Load {
	return &wire.Load{Seq: seq, EngineUp: true, Total: wire.Work{Requests: total, Decode: 100 * total}, FromReceiver: wire.Work{Requests: mine, Decode: 100 * mine}}
}

func held(l *link) float64 {
	var t route.Target
	others, _ := l.read(&t)
	return others.Requests + t.Own.Requests
}

// Reports come late, doubled or not at all. The entry's own requests are counted
// exactly once all the same: its books hold them, and the report's part that is
// the entry's own is taken out, whether or not the agent had seen them yet.
func TestOwnRequestsAreCountedOnce(t *testing.T) {
	g := NewWithT(t)
	l, old := newLink(&Entry{}, "t", ""), new(wire.Conn)
	s := &wire.Sched{Prompt: 50, Decode: 100}
	first, second := l.count(s), l.count(s)
	l.takeLoad(old, loadOf(5, 3, 0)) // the agent had seen neither
	g.Expect(held(l)).To(Equal(5.0))
	l.takeLoad(old, loadOf(6, 4, 1)) // one of them
	g.Expect(held(l)).To(Equal(5.0))
	l.takeLoad(old, loadOf(6, 9, 0)) // doubled
	l.takeLoad(old, loadOf(4, 9, 0)) // late
	g.Expect(held(l)).To(Equal(5.0))
	first.Ended()
	first.Ended() // a stream that ends and is closed
	g.Expect(held(l)).To(Equal(4.0))
	second.Arrived([]byte("data: a\n\ndata: b\n\n"))
	var target route.Target
	l.read(&target)
	g.Expect(target.Own).To(Equal(route.Work{Requests: 1, Decode: 98}))
	second.Ended()
	second.Arrived([]byte("data: late\n\n"))
	l.read(&target)
	g.Expect(target.Own).To(Equal(route.Work{}))
}

// An agent restarts, or its VM is replaced and the new one is linked before the
// old connection has ended: reports begin again at one. The first of them must
// count although the last one before had a higher number.
func TestReportsOfARestartedAgent(t *testing.T) {
	g := NewWithT(t)
	old, next := new(wire.Conn), new(wire.Conn)
	l := newLink(&Entry{}, "t", "")
	l.takeLoad(old, loadOf(1000, 40, 0))
	l.takeLoad(next, loadOf(1, 2, 0))
	g.Expect(held(l)).To(Equal(2.0))
	l.drop()
	l.takeLoad(next, loadOf(1, 3, 0))
	g.Expect(held(l)).To(Equal(3.0))
}
