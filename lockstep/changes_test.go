package lockstep

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/peers"
)

// Decoding must return exactly the encoded changes: if a rank held other experts than the leader
// assumes, every later plan would be wrong.
func TestPackedChangesRoundTrip(t *testing.T) {
	g := NewWithT(t)
	changes := []listChange{
		{set: 0, rank: 0, experts: []uint16{0, 257, 65535}},
		{set: 15, rank: 128, experts: []uint16{}},
		{set: 15, rank: 1, experts: []uint16{127, 128}},
	}
	g.Expect(unpackChanges(packChanges(changes))).To(Equal(changes))
}

// For any input, decoding ends with changes or an error, and allocates no more than the size of the
// input.
func FuzzChanges(f *testing.F) {
	f.Add(packChanges([]listChange{{set: 1, rank: 2, experts: []uint16{3, 300}}}))
	f.Add([]byte{0, 0, 0xff, 0xff, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		changes, err := unpackChanges(data)
		if err != nil {
			return
		}
		repacked, err := unpackChanges(packChanges(changes))
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(repacked).To(Equal(changes))
	})
}

// Passes of a new group are slow until it has its first map for the demand. If that map were sent in
// full, the leader's link would be busy for many passes and agents of a large group would seem lost.
func TestFirstMapIsSentAsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newTreeFleet()
		base := expert.InitialLayout(treeTestRanks, f.group.experts)
		changed := base.Clone()
		changed[3] = append(changed[3], 9)
		sent := &peers.RankOrder{
			Kind: peers.OrderPrepare, Epoch: 1, Version: 5,
			Changes:    packChanges(diffLayouts([]expert.Layout{base}, []expert.Layout{changed})),
			InitialMap: peers.InitialMap{Sets: 1, Ranks: treeTestRanks, Experts: uint16(f.group.experts)},
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
			g.Expect(rank.next).To(Equal([][]uint16{changed[r]}), "rank %d", r)
		}
	})
}
