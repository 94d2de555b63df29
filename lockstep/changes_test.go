package lockstep

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/peers"
)

// What differs between two maps must come out as it went in: a rank with other experts
// than the leader plans with makes every later plan a wrong one.
func TestChangesComeOutAsTheyWentIn(t *testing.T) {
	g := NewWithT(t)
	changes := []listChange{
		{set: 0, rank: 0, experts: []uint16{0, 257, 65535}},
		{set: 15, rank: 128, experts: []uint16{}},
		{set: 15, rank: 1, experts: []uint16{127, 128}},
	}
	g.Expect(unpackChanges(packChanges(changes))).To(Equal(changes))
}

// Whatever a peer sends, reading changes ends with some or an error, and takes no more
// memory than the message.
func FuzzChanges(f *testing.F) {
	f.Add(packChanges([]listChange{{set: 1, rank: 2, experts: []uint16{3, 300}}}))
	f.Add([]byte{0, 0, 0xff, 0xff, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		changes, err := unpackChanges(data)
		if err != nil {
			return
		}
		again, err := unpackChanges(packChanges(changes))
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(again).To(Equal(changes))
	})
}

// A group begins, with the map that engines start with, and all its passes are long until
// it has the first map for its demand. That one must not be sent in whole lists: for a
// large group they take a link many passes, and agents seem lost meanwhile.
func TestTheFirstMapIsSentAsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := gatherFleet()
		base := expert.InitialLayout(gatherTestRanks, f.group.experts)
		other := base.Clone()
		other[3] = append(other[3], 9)
		sent := &peers.RankOrder{
			Kind: peers.OrderPrepare, Epoch: 1, Version: 5,
			Changes:    packChanges(changesOf([]expert.Layout{base}, []expert.Layout{other})),
			InitialMap: peers.InitialMap{Sets: 1, Ranks: gatherTestRanks, Experts: uint16(f.group.experts)},
		}
		for r := range f.agents {
			result, err := f.agents[r].order(sent)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Accepted).To(BeTrue())
		}
		time.Sleep(2 * simCopy)
		f.group.mu.Lock()
		defer f.group.mu.Unlock()
		for r, rank := range f.group.ranks {
			g.Expect(rank.next).To(Equal([][]uint16{other[r]}), "rank %d", r)
		}
	})
}
