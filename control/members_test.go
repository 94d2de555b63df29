package control

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestMembersNeedTwoWitnesses(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) Observation { return Observation{Name: "x", Incarnation: 1, Age: d} }
	cases := []struct {
		name    string
		reports map[string]time.Duration
		down    bool
	}{
		{"nobody knows it", nil, false},
		{"one misses it", map[string]time.Duration{"me": time.Minute}, false},
		{"two miss it", map[string]time.Duration{"me": time.Minute, "b": time.Minute}, true},
		{"two miss it, one hears it", map[string]time.Duration{"me": time.Minute, "b": time.Minute, "c": time.Second}, false},
		{"others miss it, this one hears it", map[string]time.Duration{"b": time.Minute, "c": time.Minute, "me": 0}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			m := NewMembers("me", DefaultFailureTimeout)
			for witness, age := range tc.reports {
				m.Report(witness, ago(age), now)
			}
			g.Expect(m.IsDown("x", now)).To(Equal(tc.down))
		})
	}
}

// A replaced VM comes back under the same name. Late reports of the old process must
// not make the new one down, nor may they bring its version back.
func TestMembersIncarnations(t *testing.T) {
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

// Callers ask which entries to use. In order: one way between two entries loses
// everything for ten minutes; the heard one is still named by all and does not
// flap. Then it really dies: its data centre notices within seconds, and takes it
// back as soon as it beats again.
func TestAsymmetricLossEvictsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, map[string]int{"a": 5})
		defer c.close()
		c.startAll()
		c.within(inForce, c.apply(1), c.names()...)
		time.Sleep(10 * time.Second)
		few := c.node("a-0").topology.Ranked[:RelayCount]
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
		c.cut(x, few[0], true) // the first witness no longer hears x
		for range 600 {
			time.Sleep(time.Second)
			g.Expect(usable()).To(Equal(4))
		}
		c.cut(x, few[0], false)
		c.isolate(x, true)
		time.Sleep(3 * DefaultFailureTimeout)
		g.Expect(usable()).To(BeZero())
		c.isolate(x, false)
		time.Sleep(3 * DefaultFailureTimeout)
		g.Expect(usable()).To(Equal(4))
		c.node(x).SetLeaving(true)
		time.Sleep(5 * time.Second)
		g.Expect(usable()).To(BeZero(), "a leaving entry is out of the answers first")
		c.node(x).SetLeaving(false)
		time.Sleep(5 * time.Second)
		g.Expect(usable()).To(Equal(4), "an undone drain brings it back")
	})
}

func TestTopologyIsFlat(t *testing.T) {
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
	tailers, most := 0, 0
	for _, p := range all {
		top := NewTopology(p, all)
		if top.ReadsLog() {
			tailers++
		}
		most = max(most, len(top.SummaryPeers())+len(top.Local(RelayCount)))
		g.Expect(top.Sources()).To(HaveLen(len(all) - 1))
	}
	g.Expect(tailers).To(Equal(7 * 3 * LogReaderCount))
	g.Expect(most).To(BeNumerically("<=", RelayCount+2+6))
}
