package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// connFleet simulates entries with occasional requests and the idle connections that they keep.
type connFleet struct {
	entries       []*connEntry
	targets       []*serving.Target
	sentPerTarget map[serving.Run]int
	dialled       int
	sent          int
}

type connEntry struct {
	tracker  *Tracker
	lastUsed map[serving.Run]time.Time // time of the last use of a connection
}

const (
	idleConnLife    = 4 * time.Second // lifetime of an idle connection
	requestInterval = 1500 * time.Millisecond
	connRounds      = 60
)

func newConnFleet(entries, targets int) *connFleet {
	f := &connFleet{sentPerTarget: make(map[serving.Run]int)}
	for n := range targets {
		f.targets = append(f.targets, &serving.Target{ID: fmt.Sprintf("i%d", n), Service: "s", DataCentre: "a", Slots: 6})
	}
	for n := range entries {
		f.entries = append(f.entries, &connEntry{
			tracker:  NewTracker(fmt.Sprintf("e%d", n), "a", rand.New(rand.NewPCG(uint64(n), 1))),
			lastUsed: make(map[serving.Run]time.Time),
		})
	}
	return f
}

func (f *connFleet) run() {
	now := time.Unix(1000, 0)
	for range connRounds {
		now = now.Add(requestInterval)
		for _, e := range f.entries {
			f.request(e, now)
		}
	}
}

func (f *connFleet) request(e *connEntry, now time.Time) {
	hasIdleConn := func(run serving.Run) bool { return now.Sub(e.lastUsed[run]) < idleConnLife }
	e.tracker.PreferIdleConnections(hasIdleConn)
	t := e.tracker.Place(f.targets, func(*serving.Target) bool { return false }, now)
	f.sent++
	f.sentPerTarget[t.Run()]++
	if !hasIdleConn(t.Run()) {
		f.dialled++
	}
	e.lastUsed[t.Run()] = now
}

// Entries with occasional requests must not open a connection for each request, however many
// targets there are. Reuse must not overload the few targets with connections either.
func TestIdleConnectionsAreReusedAtAnyFleetSize(t *testing.T) {
	for _, size := range []struct{ entries, targets int }{{8, 3}, {46, 12}, {410, 48}, {1000, 96}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := NewWithT(t)
			f := newConnFleet(size.entries, size.targets)
			f.run()
			mean := float64(f.sent) / float64(len(f.targets))
			for _, target := range f.targets {
				g.Expect(float64(f.sentPerTarget[target.Run()])).To(BeNumerically("<", 2.5*mean))
			}
			t.Logf("%.2f of the requests on new connections", float64(f.dialled)/float64(f.sent))
			g.Expect(float64(f.dialled) / float64(f.sent)).To(BeNumerically("<", 0.5))
		})
	}
}

// A busy target must not get more requests because this entry has an idle connection to it.
func TestIdleConnectionOnlyBreaksTies(t *testing.T) {
	g := NewWithT(t)
	f := newConnFleet(1, 20)
	e, now := f.entries[0], time.Unix(1000, 0)
	e.tracker.PreferIdleConnections(func(run serving.Run) bool { return run == f.targets[0].Run() })
	noneExcluded := func(*serving.Target) bool { return false }
	g.Expect(e.tracker.Place(f.targets, noneExcluded, now)).To(Equal(f.targets[0]))
	e.tracker.StartAttempt(f.targets[0], Size{})
	g.Expect(e.tracker.Place(f.targets, noneExcluded, now)).NotTo(Equal(f.targets[0]))
}
