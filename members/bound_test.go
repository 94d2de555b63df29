package members

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/peers"
)

// Entries that others tell of must not use up the memory; those in the store are known all the same.
func TestTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := NewTable(peers.Presence{Name: "self", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
	presence := func(name string) peers.Presence { return peers.Presence{Name: name, Incarnation: 1, PeerAddr: "a"} }
	table.MergeOwnPresence(presence("known"), now)
	for i := range MaxMembers {
		table.MergeMembers([]peers.Member{{Entry: presence(fmt.Sprint(i))}}, now)
		table.MergeOwnPresence(presence(fmt.Sprint("own-", i)), now)
	}
	_, known := table.Counts()
	g.Expect(known).To(Equal(MaxMembers+1), "with the entry itself")
	g.Expect(table.AddFromRecord(presence("recorded"), now)).To(BeTrue())
	later := presence("known")
	later.Revision = 7
	changed, _ := table.MergeOwnPresence(later, now)
	g.Expect(changed).To(BeTrue(), "a known entry is followed")
	long := presence("recorded")
	long.DataCentre, long.Revision = strings.Repeat("x", peers.MaxNameBytes+1), 7
	changed, _ = table.MergeOwnPresence(long, now)
	g.Expect(changed).To(BeFalse())
	self := presence("self")
	self.Revision = 9
	g.Expect(table.MergeMembers([]peers.Member{{Entry: self, Lost: true}}, now).HasUpdates).To(BeTrue(), "what is told of this entry is refuted")
}
