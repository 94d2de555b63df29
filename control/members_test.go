package control

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// A process counts as down only if two observers no longer receive its heartbeats and no other
// observer still receives them.
func TestProcessIsDownOnlyWhenTwoObserversMissIt(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) Observation { return Observation{Name: "x", Incarnation: 1, Age: d} }
	cases := []struct {
		name    string
		reports map[string]time.Duration
		down    bool
	}{
		{"unknown", nil, false},
		{"one observer misses it", map[string]time.Duration{"me": time.Minute}, false},
		{"two observers miss it", map[string]time.Duration{"me": time.Minute, "b": time.Minute}, true},
		{"two observers miss it, one hears it", map[string]time.Duration{"me": time.Minute, "b": time.Minute, "c": time.Second}, false},
		{"other observers miss it, this process hears it", map[string]time.Duration{"b": time.Minute, "c": time.Minute, "me": 0}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			m := NewMembers("me", DefaultFailureTimeout)
			for observer, age := range tc.reports {
				m.Report(observer, ago(age), now)
			}
			g.Expect(m.IsDown("x", now)).To(Equal(tc.down))
		})
	}
}

// A replaced VM comes back under the same name. Late reports about the old process must
// neither make the new one down nor bring back its version.
func TestReportsOnEarlierIncarnationAreIgnored(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	m := NewMembers("me", DefaultFailureTimeout)
	m.Report("me", Observation{Name: "x", Incarnation: 1, Version: 7, Age: time.Minute}, now)
	m.Report("b", Observation{Name: "x", Incarnation: 1, Version: 7, Age: time.Minute}, now)
	g.Expect(m.IsDown("x", now)).To(BeTrue())
	m.Report("me", Observation{Name: "x", Incarnation: 2, Version: 3}, now)
	m.Report("b", Observation{Name: "x", Incarnation: 1, Version: 7, Age: time.Minute}, now)
	g.Expect(m.IsDown("x", now)).To(BeFalse())
	g.Expect(m.Versions()).To(HaveKeyWithValue("x", uint64(3)))
}

// Loss in one direction between two entries must not make an entry unusable or flap. An
// entry that is really lost, or draining, is unusable until it returns.
func TestAsymmetricLossMakesNoEntryUnusable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, map[string]int{"a": 5})
		defer c.close()
		c.startAll()
		c.waitForVersion(applyDeadline, c.apply(1), c.names()...)
		time.Sleep(10 * time.Second)
		relays := c.node("a-0").topology.Ranked[:RelayCount]
		x := c.node("a-0").topology.Ranked[4]
		usable := func() int {
			n := 0
			for _, name := range c.names() {
				if name != x && c.node(name).Usable(x) {
					n++
				}
			}
			return n
		}
		c.setLinkDown(x, relays[0], true) // the first observer receives nothing from x
		for range 600 {
			time.Sleep(time.Second)
			g.Expect(usable()).To(Equal(4))
		}
		c.setLinkDown(x, relays[0], false)
		c.isolate(x, true)
		time.Sleep(3 * DefaultFailureTimeout)
		g.Expect(usable()).To(BeZero())
		c.isolate(x, false)
		time.Sleep(3 * DefaultFailureTimeout)
		g.Expect(usable()).To(Equal(4))
		c.node(x).SetLeaving(true)
		time.Sleep(5 * time.Second)
		g.Expect(usable()).To(BeZero(), "a leaving entry is unusable before it stops")
		c.node(x).SetLeaving(false)
		time.Sleep(5 * time.Second)
		g.Expect(usable()).To(Equal(4), "an undone drain makes the entry usable again")
	})
}

// The number of log readers and of peers of each entry stays within bounds in a system of
// 399 entries.
func TestTopologyBoundsLogReadersAndPeers(t *testing.T) {
	g := NewWithT(t)
	var all []Peer
	for r := range 7 {
		for d := range 3 {
			for i := range 19 {
				dc := string(rune('a'+r)) + string(rune('0'+d))
				all = append(all, Peer{Name: dc + "-" + string(rune('a'+i)), DataCentre: dc, Region: string(rune('a' + r))})
			}
		}
	}
	logReaders, maxPeers := 0, 0
	for _, p := range all {
		top := NewTopology(p, all)
		if top.ReadsLog() {
			logReaders++
		}
		maxPeers = max(maxPeers, len(top.SummaryPeers())+len(top.Local(RelayCount)))
		g.Expect(top.Sources()).To(HaveLen(len(all) - 1))
	}
	g.Expect(logReaders).To(Equal(7 * 3 * LogReaderCount))
	g.Expect(maxPeers).To(BeNumerically("<=", RelayCount+2+6))
}
