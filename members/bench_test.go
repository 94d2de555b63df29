package members

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/peers"
)

// newTableOf returns the table of one entry in a fleet of the given size.
func newTableOf(size int) *Table {
	t := NewTable(peers.Presence{Name: "entry-000", Ready: true, StoreReachable: true}, rand.New(rand.NewPCG(1, 1)))
	for n := 1; n < size; n++ {
		t.MergeOwnPresence(peers.Presence{Name: fmt.Sprintf("entry-%03d", n), Incarnation: 1, Ready: true, StoreReachable: n%3 > 0}, time.Unix(1000, 0))
	}
	return t
}

// tableQueries are calls that an idle entry makes several times a second.
var tableQueries = map[string]func(t *Table){
	"PositionAmongAlive": func(t *Table) { t.PositionAmongAlive(true) },
	"Digest":             func(t *Table) { t.Digest() },
	"Owner":              func(t *Table) { t.Owner("i-1") },
	"Counts":             func(t *Table) { t.Counts() },
	"RandomAlive":        func(t *Table) { t.RandomAlive(disseminationFanOut, "") },
	"NextToProbe":        func(t *Table) { t.NextToProbe() },
	"Suspects":           func(t *Table) { t.Suspects() },
	"RecentUpdates":      func(t *Table) { t.RecentUpdates(time.Unix(2000, 0)) },
}

func BenchmarkTable(b *testing.B) {
	for name, query := range tableQueries {
		for _, size := range []int{8, 46, 410, 1000} {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				t := newTableOf(size)
				b.ReportAllocs()
				for b.Loop() {
					query(t)
				}
			})
		}
	}
}

// Guards against queries that copy the whole table: each entry makes them several times a second.
func TestTableQueryAllocationsDoNotGrowWithFleet(t *testing.T) {
	for name, query := range tableQueries {
		t.Run(name, func(t *testing.T) {
			small, large := newTableOf(8), newTableOf(1000)
			smallAllocs := testing.AllocsPerRun(100, func() { query(small) })
			NewWithT(t).Expect(testing.AllocsPerRun(100, func() { query(large) })).To(BeNumerically("<=", smallAllocs+1))
		})
	}
}
