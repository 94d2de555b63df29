package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// testLoadFollower returns a load follower of a service with four engines, and its targets.
func testLoadFollower() (*loadFollower, []*serving.Target) {
	s := testReplicaState()
	var targets []*serving.Target
	for _, id := range []string{"a", "b", "c", "d"} {
		targets = append(targets, &serving.Target{ID: id, Service: "s", Address: id})
	}
	s.current.Store(&snapshot{targets: map[string][]*serving.Target{"s": targets}})
	return newLoadFollower(&Gateway{state: s}, "s"), targets
}

// A service has two groups. Each group must have one reader of its load reports; while some engines
// are in no group with a reader, another reader must poll these engines.
func TestEachGroupOfServiceHasOneReader(t *testing.T) {
	g := NewWithT(t)
	f, targets := testLoadFollower()
	first, second, third := &loadReader{follower: f}, &loadReader{follower: f}, &loadReader{follower: f}
	g.Expect(f.tryBeginSearch()).To(BeTrue())
	g.Expect(f.tryBeginSearch()).To(BeFalse(), "a search is already running")
	g.Expect(f.candidates(first, targets)).To(Equal(targets))
	g.Expect(f.stopIfUnneeded(first)).To(BeFalse(), "it is the only reader")
	g.Expect(f.claimGroup(first, "g")).To(BeTrue())
	f.setEngines("g", []string{"a", "b"})

	g.Expect(f.tryBeginSearch()).To(BeTrue())
	g.Expect(f.candidates(second, targets)).To(Equal(targets[2:]))
	g.Expect(f.claimGroup(second, "g")).To(BeFalse())
	g.Expect(f.claimGroup(second, "h")).To(BeTrue())
	f.setEngines("h", []string{"c", "d"})
	g.Expect(f.candidates(first, targets)).To(Equal(targets[:2]))
	g.Expect(f.tryBeginSearch()).To(BeFalse(), "all engines belong to a group that is read")

	f.setEngines("h", []string{"c"})
	g.Expect(f.tryBeginSearch()).To(BeTrue())
	third.engineAddr = "d"
	g.Expect(f.stopIfUnneeded(third)).To(BeTrue())
	g.Expect(f.tryBeginSearch()).To(BeFalse(), "an unreachable engine is not polled again at once")
	f.noGroupAt["d"] = time.Now().Add(-engineRetryDelay)
	g.Expect(f.tryBeginSearch()).To(BeTrue(), "the engine may be reachable again")
}

// After a full restart some engines are not up yet. An engine that was polled without success must
// not block the search for other groups, as a group that is not found gets no requests.
func TestUnreachableEngineDoesNotBlockGroupSearch(t *testing.T) {
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

// The engines of a group have stopped or joined another group. The reader of the group must end,
// so that other readers can cover the remaining engines.
func TestReaderEndsWhenGroupHasNoEngines(t *testing.T) {
	g := NewWithT(t)
	f, _ := testLoadFollower()
	first, second := &loadReader{follower: f}, &loadReader{follower: f}
	g.Expect(f.claimGroup(first, "g")).To(BeTrue())
	f.setEngines("g", []string{"a", "b"})
	g.Expect(f.stopIfUnneeded(first)).To(BeFalse(), "one failed poll does not end a reader")
	f.setEngines("g", []string{"x"})
	g.Expect(f.stopIfUnneeded(first)).To(BeTrue())
	g.Expect(f.claimGroup(second, "g")).To(BeTrue())
	g.Expect(f.claimGroup(second, "h")).To(BeTrue(), "the engines of the reader have joined another group")
	g.Expect(f.readers).To(HaveLen(1))
}
