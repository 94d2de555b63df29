package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// keptFleet plays entries whose requests come now and then, and the connections that they keep.
type keptFleet struct {
	entries []*keptEntry
	targets []*serving.Target
	sentTo  map[serving.Run]int
	dialled int
	sent    int
}

type keptEntry struct {
	book *Tracker
	used map[serving.Run]time.Time // when a connection was used last
}

const (
	keptLife   = 4 * time.Second // of a connection that nobody uses
	keptPause  = 1500 * time.Millisecond
	keptRounds = 60
)

func newKeptFleet(entries, targets int) *keptFleet {
	f := &keptFleet{sentTo: make(map[serving.Run]int)}
	for n := range targets {
		f.targets = append(f.targets, &serving.Target{ID: fmt.Sprintf("i%d", n), Service: "s", DataCentre: "a", Slots: 6})
	}
	for n := range entries {
		f.entries = append(f.entries, &keptEntry{
			book: NewTracker(fmt.Sprintf("e%d", n), "a", rand.New(rand.NewPCG(uint64(n), 1))),
			used: make(map[serving.Run]time.Time),
		})
	}
	return f
}

func (f *keptFleet) play() {
	now := time.Unix(1000, 0)
	for range keptRounds {
		now = now.Add(keptPause)
		for _, e := range f.entries {
			f.request(e, now)
		}
	}
}

func (f *keptFleet) request(e *keptEntry, now time.Time) {
	kept := func(run serving.Run) bool { return now.Sub(e.used[run]) < keptLife }
	e.book.PreferIdleConnections(kept)
	t := e.book.Place(f.targets, func(*serving.Target) bool { return false }, now)
	f.sent++
	f.sentTo[t.Run()]++
	if !kept(t.Run()) {
		f.dialled++
	}
	e.used[t.Run()] = now
}

// Guards against a connection for each request in a fleet whose entries have a request now and then,
// the more the more targets there are, and against connections that are kept by overloading a few.
func TestConnectionsAreUsedAgainHoweverManyTargetsThereAre(t *testing.T) {
	for _, size := range []struct{ entries, targets int }{{8, 3}, {46, 12}, {410, 48}, {1000, 96}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := NewWithT(t)
			f := newKeptFleet(size.entries, size.targets)
			f.play()
			mean := float64(f.sent) / float64(len(f.targets))
			for _, target := range f.targets {
				g.Expect(float64(f.sentTo[target.Run()])).To(BeNumerically("<", 2.5*mean))
			}
			t.Logf("%.2f of the requests on new connections", float64(f.dialled)/float64(f.sent))
			g.Expect(float64(f.dialled) / float64(f.sent)).To(BeNumerically("<", 0.5))
		})
	}
}

// Guards against a target that is full and gets more for the sake of its connection.
func TestAKeptConnectionDecidesOnlyBetweenEquals(t *testing.T) {
	g := NewWithT(t)
	f := newKeptFleet(1, 20)
	e, now := f.entries[0], time.Unix(1000, 0)
	e.book.PreferIdleConnections(func(run serving.Run) bool { return run == f.targets[0].Run() })
	all := func(*serving.Target) bool { return false }
	g.Expect(e.book.Place(f.targets, all, now)).To(Equal(f.targets[0]))
	e.book.StartAttempt(f.targets[0], Size{})
	g.Expect(e.book.Place(f.targets, all, now)).NotTo(Equal(f.targets[0]))
}
