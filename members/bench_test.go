package members

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/peers"
)

// tableOf returns the table of an entry in a fleet of a size.
func tableOf(size int) *Table {
	t := NewTable(peers.Presence{Name: "entry-000", Ready: true, StoreReachable: true}, rand.New(rand.NewPCG(1, 1)))
	for n := 1; n < size; n++ {
		t.MergeOwnPresence(peers.Presence{Name: fmt.Sprintf("entry-%03d", n), Incarnation: 1, Ready: true, StoreReachable: n%3 > 0}, time.Unix(1000, 0))
	}
	return t
}

// questions are what an entry asks its table in calm, several times a second each.
var questions = map[string]func(t *Table){
	"Position": func(t *Table) { t.PositionAmongAlive(true) },
	"Digest":   func(t *Table) { t.Digest() },
	"Owner":    func(t *Table) { t.Owner("i-1") },
	"Count":    func(t *Table) { t.Counts() },
	"Draw":     func(t *Table) { t.RandomAlive(fanOut, "") },
	"Next":     func(t *Table) { t.NextToProbe() },
	"Doubtful": func(t *Table) { t.Suspects() },
	"News":     func(t *Table) { t.RecentUpdates(time.Unix(2000, 0)) },
}

func BenchmarkTable(b *testing.B) {
	for name, ask := range questions {
		for _, size := range []int{8, 46, 410, 1000} {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				t := tableOf(size)
				b.ReportAllocs()
				for b.Loop() {
					ask(t)
				}
			})
		}
	}
}

// Guards against questions that make a copy of the whole table, several times a second at each
// entry.
func TestQuestionsToTheTableCopyNothingOfTheFleet(t *testing.T) {
	for name, ask := range questions {
		t.Run(name, func(t *testing.T) {
			small, large := tableOf(8), tableOf(1000)
			few := testing.AllocsPerRun(100, func() { ask(small) })
			NewWithT(t).Expect(testing.AllocsPerRun(100, func() { ask(large) })).To(BeNumerically("<=", few+1))
		})
	}
}
