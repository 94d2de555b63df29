package lockstep

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/peers"
)

// queryLoads sends a LoadsQuery to the agent of a rank, as an entry does.
func queryLoads(t *testing.T, f *simFleet, rank int, q *peers.LoadsQuery) *peers.Loads {
	t.Helper()
	g := NewWithT(t)
	payload, err := q.MarshalMsg(nil)
	g.Expect(err).NotTo(HaveOccurred())
	answer, err := f.agents[rank].handleLoads(payload)
	g.Expect(err).NotTo(HaveOccurred())
	return answer.(*peers.Loads)
}

// If only the leader served loads, each of a hundred entries could ask only twice a second and would
// place requests by stale loads. Every agent must serve loads, at most 5 % of them older than 250 ms.
func TestAnyAgentOfALargeGroupServesFreshLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(newSimGroup(largeGroupRanks, 1, largeGroupRanks, 7))
		f.smallVMs = true
		f.start()
		time.Sleep(2 * time.Second)
		var stale int
		const rounds = 10
		for range rounds {
			time.Sleep(70 * time.Millisecond)
			for rank := range f.agents {
				loads := queryLoads(t, f, rank, &peers.LoadsQuery{})
				g.Expect(loads.Known).To(BeTrue(), "rank %d", rank)
				g.Expect(loads.Engines).To(HaveLen(largeGroupRanks))
				g.Expect(loads.Running).To(HaveEach(BeEquivalentTo(4)))
				g.Expect(loads.AskOthers).To(Equal(rank == 0), "the leader refers entries to other agents")
				if time.Duration(loads.AgeMS)*time.Millisecond > 250*time.Millisecond {
					stale++
				}
			}
		}
		f.stop()
		g.Expect(stale).To(BeNumerically("<=", rounds*largeGroupRanks/20))
	})
}

// Entries report their queue counts to different agents, and divide the group's headroom by the
// total. If an entry knew only its own count, all entries would use the same headroom.
func TestQueueCountsOfAllEntriesAreSummed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(newSimGroup(treeTestRanks, 1, treeTestRanks, 7))
		f.start()
		time.Sleep(time.Second)
		for range 8 {
			for rank := range f.agents {
				queryLoads(t, f, rank, &peers.LoadsQuery{Entry: engineAddress(rank), QueuedOnTime: 2, QueuedLate: 1})
			}
			time.Sleep(50 * time.Millisecond)
		}
		loads := queryLoads(t, f, 5, &peers.LoadsQuery{})
		f.stop()
		g.Expect(loads.QueuedOnTime).To(BeEquivalentTo(2 * treeTestRanks))
		g.Expect(loads.QueuedLate).To(BeEquivalentTo(treeTestRanks))
	})
}
