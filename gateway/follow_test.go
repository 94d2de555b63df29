package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// followed returns a follower of a service with four engines, and its targets.
func followed() (*follower, []*serving.Target) {
	k := testKnowledge()
	var targets []*serving.Target
	for _, id := range []string{"a", "b", "c", "d"} {
		targets = append(targets, &serving.Target{ID: id, Service: "s", Address: id})
	}
	k.current.Store(&view{targets: map[string][]*serving.Target{"s": targets}})
	return newFollower(&Gateway{knowledge: k}, "s"), targets
}

// A service has two groups. The first reader finds one of them; as long as engines are left
// that are not of it, a second one asks these, and each group is read by one.
func TestEachGroupOfAServiceIsRead(t *testing.T) {
	g := NewWithT(t)
	f, targets := followed()
	first, second, third := &loadReader{f: f}, &loadReader{f: f}, &loadReader{f: f}
	g.Expect(f.begin()).To(BeTrue())
	g.Expect(f.begin()).To(BeFalse(), "one looks already")
	g.Expect(f.mine(first, targets)).To(Equal(targets))
	g.Expect(f.needless(first)).To(BeFalse(), "nobody else would look")
	g.Expect(f.claim(first, "g")).To(BeTrue())
	f.covers("g", []string{"a", "b"})

	g.Expect(f.begin()).To(BeTrue())
	g.Expect(f.mine(second, targets)).To(Equal(targets[2:]))
	g.Expect(f.claim(second, "g")).To(BeFalse())
	g.Expect(f.claim(second, "h")).To(BeTrue())
	f.covers("h", []string{"c", "d"})
	g.Expect(f.mine(first, targets)).To(Equal(targets[:2]))
	g.Expect(f.begin()).To(BeFalse(), "all engines are read of")

	f.covers("h", []string{"c"})
	g.Expect(f.begin()).To(BeTrue())
	third.asked = "d"
	g.Expect(f.needless(third)).To(BeTrue())
	g.Expect(f.begin()).To(BeFalse(), "an engine that is down is not asked all the time")
	f.inVain["d"] = time.Now().Add(-vainPause)
	g.Expect(f.begin()).To(BeTrue(), "it may be up by now")
}

// After a restart of everything an entry finds the groups one by one, and some engines are not
// up yet. One that was asked in vain must not keep the entry from asking others: a group that
// is not found gets no requests.
func TestAnEngineThatIsDownDoesNotHideItsGroup(t *testing.T) {
	g := NewWithT(t)
	f, targets := followed()
	first, second := &loadReader{f: f}, &loadReader{f: f, asked: "c"}
	g.Expect(f.begin()).To(BeTrue())
	g.Expect(f.claim(first, "g")).To(BeTrue())
	f.covers("g", []string{"a", "b"})
	g.Expect(f.begin()).To(BeTrue())
	g.Expect(f.needless(second)).To(BeTrue())
	g.Expect(f.begin()).To(BeTrue())
	g.Expect(f.mine(&loadReader{f: f}, targets)).To(Equal(targets[3:]))
}

// The engines of a group are gone, or have joined another one. Its reader ends, and what is
// left is read by others.
func TestAReaderWhoseGroupIsGoneEnds(t *testing.T) {
	g := NewWithT(t)
	f, _ := followed()
	first, second := &loadReader{f: f}, &loadReader{f: f}
	g.Expect(f.claim(first, "g")).To(BeTrue())
	f.covers("g", []string{"a", "b"})
	g.Expect(f.needless(first)).To(BeFalse(), "an answer is missing now and then")
	f.covers("g", []string{"x"})
	g.Expect(f.needless(first)).To(BeTrue())
	g.Expect(f.claim(second, "g")).To(BeTrue())
	g.Expect(f.claim(second, "h")).To(BeTrue(), "its engines have joined another group")
	g.Expect(f.readers).To(HaveLen(1))
}
