package members

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/peers"
)

func ownerTables(count int) []*Table {
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

// Guards against two entries that own the same thing, and against all that is owned changing
// hands when one entry comes or goes.
func TestAllEntriesNameTheSameOwner(t *testing.T) {
	g := NewWithT(t)
	const entries, things = 12, 600
	tables := ownerTables(entries)
	owned, before := make(map[string]int), make(map[string]string)
	for i := range things {
		of := fmt.Sprintf("target-%d", i)
		name, _ := tables[0].Owner(of)
		owned[name]++
		before[of] = name
		selves := 0
		for _, table := range tables {
			other, self := table.Owner(of)
			g.Expect(other).To(Equal(name))
			if self {
				selves++
			}
		}
		g.Expect(selves).To(Equal(1))
	}
	for name, n := range owned {
		g.Expect(n).To(BeNumerically("<", 2*things/entries), name)
	}
	g.Expect(owned).To(HaveLen(entries))

	lost := peers.Member{Entry: peers.Presence{Name: "e3", Incarnation: 1, Revision: 1}, Lost: true}
	tables[0].MergeMembers([]peers.Member{lost}, time.Unix(2000, 0))
	for of, name := range before {
		if name != "e3" {
			now, _ := tables[0].Owner(of)
			g.Expect(now).To(Equal(name))
		}
	}
	living, known := tables[0].Counts()
	g.Expect([]int{living, known}).To(Equal([]int{entries - 1, entries}))
}

// Guards against an entry that stops, or has not begun, and is asked for what it does not own.
func TestOnlyEntriesThatTakeRequestsOwnAnything(t *testing.T) {
	g := NewWithT(t)
	tables := ownerTables(3)
	tables[0].UpdateSelf(false, true)
	for i := range 50 {
		name, self := tables[0].Owner(fmt.Sprint(i))
		g.Expect(self).To(BeFalse())
		g.Expect(name).NotTo(Equal("e0"))
	}
}
