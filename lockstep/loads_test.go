package lockstep

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/peers"
)

// askLoads asks the agent of a rank for loads, as an entry does.
func askLoads(t *testing.T, f *simFleet, rank int, q *peers.LoadsQuery) *peers.Loads {
	t.Helper()
	g := NewWithT(t)
	payload, err := q.MarshalMsg(nil)
	g.Expect(err).NotTo(HaveOccurred())
	answer, err := f.agents[rank].answerLoads(payload)
	g.Expect(err).NotTo(HaveOccurred())
	return answer.(*peers.Loads)
}

// A large group on small VMs, and entries that ask its agents for loads. If only the leader
// told them, each of a hundred entries could ask twice a second, and would place requests
// where others already have. Any agent must tell them, hardly a quarter of a second old.
func TestAnyAgentOfALargeGroupTellsFreshLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(newSimGroup(smallRanks, 1, smallRanks, 7))
		f.small = true
		f.start()
		time.Sleep(2 * time.Second)
		var old int
		const looks = 10
		for range looks {
			time.Sleep(70 * time.Millisecond)
			for rank := range f.agents {
				loads := askLoads(t, f, rank, &peers.LoadsQuery{})
				g.Expect(loads.Known).To(BeTrue(), "rank %d", rank)
				g.Expect(loads.Engines).To(HaveLen(smallRanks))
				g.Expect(loads.Running).To(HaveEach(BeEquivalentTo(4)))
				g.Expect(loads.AskOthers).To(Equal(rank == 0), "entries are sent away from the leader")
				if time.Duration(loads.AgeMS)*time.Millisecond > 250*time.Millisecond {
					old++
				}
			}
		}
		f.stop()
		g.Expect(old).To(BeNumerically("<=", looks*smallRanks/20))
	})
}

// Entries ask different agents, and tell each how many requests wait. Each must hear how
// many wait at all entries: room is divided by that, and if each knew its own only, all
// would take the same room.
func TestWhatWaitsAtAllEntriesIsAddedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(newSimGroup(gatherTestRanks, 1, gatherTestRanks, 7))
		f.start()
		time.Sleep(time.Second)
		for range 8 {
			for rank := range f.agents {
				askLoads(t, f, rank, &peers.LoadsQuery{Entry: engineAddress(rank), QueuedInTime: 2, QueuedLate: 1})
			}
			time.Sleep(50 * time.Millisecond)
		}
		loads := askLoads(t, f, 5, &peers.LoadsQuery{})
		f.stop()
		g.Expect(loads.QueuedInTime).To(BeEquivalentTo(2 * gatherTestRanks))
		g.Expect(loads.QueuedLate).To(BeEquivalentTo(gatherTestRanks))
	})
}
