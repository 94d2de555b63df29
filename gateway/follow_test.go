package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// testLoadFollower returns a follower of a service with four engines, and its targets.
func testLoadFollower() (*loadFollower, []*serving.Target) {
	k := testReplicaState()
	var targets []*serving.Target
	for _, id := range []string{"a", "b", "c", "d"} {
		targets = append(targets, &serving.Target{ID: id, Service: "s", Address: id})
	}
	k.current.Store(&snapshot{targets: map[string][]*serving.Target{"s": targets}})
	return newLoadFollower(&Gateway{state: k}, "s"), targets
}

// A service has two groups. The first reader finds one of them; as long as engines are left
// that are not of it, a second one asks these, and each group is read by one.
func TestEachGroupOfAServiceIsRead(t *testing.T) {
	g := NewWithT(t)
	f, targets := testLoadFollower()
	first, second, third := &loadReader{follower: f}, &loadReader{follower: f}, &loadReader{follower: f}
	g.Expect(f.tryBeginSearch()).To(BeTrue())
	g.Expect(f.tryBeginSearch()).To(BeFalse(), "one looks already")
	g.Expect(f.candidates(first, targets)).To(Equal(targets))
	g.Expect(f.stopIfUnneeded(first)).To(BeFalse(), "nobody else would look")
	g.Expect(f.claimGroup(first, "g")).To(BeTrue())
	f.setEngines("g", []string{"a", "b"})

	g.Expect(f.tryBeginSearch()).To(BeTrue())
	g.Expect(f.candidates(second, targets)).To(Equal(targets[2:]))
	g.Expect(f.claimGroup(second, "g")).To(BeFalse())
	g.Expect(f.claimGroup(second, "h")).To(BeTrue())
	f.setEngines("h", []string{"c", "d"})
	g.Expect(f.candidates(first, targets)).To(Equal(targets[:2]))
	g.Expect(f.tryBeginSearch()).To(BeFalse(), "all engines are read of")

	f.setEngines("h", []string{"c"})
	g.Expect(f.tryBeginSearch()).To(BeTrue())
	third.engineAddr = "d"
	g.Expect(f.stopIfUnneeded(third)).To(BeTrue())
	g.Expect(f.tryBeginSearch()).To(BeFalse(), "an engine that is down is not asked all the time")
	f.noGroupAt["d"] = time.Now().Add(-engineRetryDelay)
	g.Expect(f.tryBeginSearch()).To(BeTrue(), "it may be up by now")
}

// After a restart of everything an entry finds the groups one by one, and some engines are not
// up yet. One that was asked in vain must not keep the entry from asking others: a group that
// is not found gets no requests.
func TestAnEngineThatIsDownDoesNotHideItsGroup(t *testing.T) {
	g := NewWithT(t)
	f, targets := testLoadFollower()
	first, second := &loadReader{follower: f}, &loadReader{follower: f, engineAddr: "c"}
	g.Expect(f.tryBeginSearch()).To(BeTrue())
	g.Expect(f.claimGroup(first, "g")).To(BeTrue())
	f.setEngines("g", []string{"a", "b"})
	g.Expect(f.tryBeginSearch()).To(BeTrue())
	g.Expect(f.stopIfUnneeded(second)).To(BeTrue())
	g.Expect(f.tryBeginSearch()).To(BeTrue())
	g.Expect(f.candidates(&loadReader{follower: f}, targets)).To(Equal(targets[3:]))
}

// The engines of a group are gone, or have joined another one. Its reader ends, and what is
// left is read by others.
func TestAReaderWhoseGroupIsGoneEnds(t *testing.T) {
	g := NewWithT(t)
	f, _ := testLoadFollower()
	first, second := &loadReader{follower: f}, &loadReader{follower: f}
	g.Expect(f.claimGroup(first, "g")).To(BeTrue())
	f.setEngines("g", []string{"a", "b"})
	g.Expect(f.stopIfUnneeded(first)).To(BeFalse(), "an answer is missing now and then")
	f.setEngines("g", []string{"x"})
	g.Expect(f.stopIfUnneeded(first)).To(BeTrue())
	g.Expect(f.claimGroup(second, "g")).To(BeTrue())
	g.Expect(f.claimGroup(second, "h")).To(BeTrue(), "its engines have joined another group")
	g.Expect(f.readers).To(HaveLen(1))
}
