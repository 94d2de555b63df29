package members

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/peers"
)

func newOwnerTables(count int) []*Table {
	now := time.Unix(1000, 0)
	var tables []*Table
	for i := range count {
		p := peers.Presence{Name: fmt.Sprintf("e%d", i), Incarnation: 1, Ready: true}
		tables = append(tables, NewTable(p, rand.New(rand.NewPCG(uint64(i), 1))))
		for j := range count {
			tables[i].MergeOwnPresence(peers.Presence{Name: fmt.Sprintf("e%d", j), Incarnation: 1, Ready: true}, now)
		}
	}
	return tables
}

// All entries must agree on the one owner of each key. When an entry leaves, only the keys that it
// owned may move.
func TestAllEntriesAgreeOnOwner(t *testing.T) {
	g := NewWithT(t)
	const entries, keys = 12, 600
	tables := newOwnerTables(entries)
	owned, before := make(map[string]int), make(map[string]string)
	for i := range keys {
		key := fmt.Sprintf("target-%d", i)
		name, _ := tables[0].Owner(key)
		owned[name]++
		before[key] = name
		selfCount := 0
		for _, table := range tables {
			owner, self := table.Owner(key)
			g.Expect(owner).To(Equal(name))
			if self {
				selfCount++
			}
		}
		g.Expect(selfCount).To(Equal(1))
	}
	for name, n := range owned {
		g.Expect(n).To(BeNumerically("<", 2*keys/entries), name)
	}
	g.Expect(owned).To(HaveLen(entries))

	lost := peers.Member{Entry: peers.Presence{Name: "e3", Incarnation: 1, Revision: 1}, Lost: true}
	tables[0].MergeMembers([]peers.Member{lost}, time.Unix(2000, 0))
	for key, name := range before {
		if name != "e3" {
			owner, _ := tables[0].Owner(key)
			g.Expect(owner).To(Equal(name))
		}
	}
	alive, known := tables[0].Counts()
	g.Expect([]int{alive, known}).To(Equal([]int{entries - 1, entries}))
}

// An entry that is starting or stopping accepts no requests, so it must not own any key.
func TestOnlyReadyEntriesOwnKeys(t *testing.T) {
	g := NewWithT(t)
	tables := newOwnerTables(3)
	tables[0].UpdateSelf(false, true)
	for i := range 50 {
		name, self := tables[0].Owner(fmt.Sprint(i))
		g.Expect(self).To(BeFalse())
		g.Expect(name).NotTo(Equal("e0"))
	}
}
