package route_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/heatherrail/heatherrail/route"
)

// limitRun simulates the limits of a team at several entries in virtual time. Demand is
// propagated once a period.
type limitRun struct {
	limits   route.Limits
	names    []string
	limiters []*route.TeamLimiter
	failed   int // index of an entry that has stopped, -1: none
	rng      *rand.Rand
	now      time.Duration
}

func newLimitRun(l route.Limits, names ...string) *limitRun {
	r := &limitRun{limits: l, names: names, failed: -1, rng: rand.New(rand.NewPCG(7, 7))}
	for range names {
		r.limiters = append(r.limiters, route.NewTeamLimiter())
	}
	return r
}

// period sends rates[i] requests a second to entry i for one period, and returns how many
// were admitted at all entries together.
func (r *limitRun) period(cost float64, rates ...float64) int {
	const steps = 1000
	admitted := 0
	for range steps {
		r.now += route.DemandPeriod / steps
		for i, s := range r.limiters {
			if i == r.failed || r.rng.Float64() >= rates[i]/steps {
				continue
			}
			membership := route.LimitMembership{Self: r.names[i], Members: r.names, Entries: len(r.names)}
			if ok, _ := s.Admit(r.now, r.limits, membership, cost); ok {
				admitted++
				s.Release(0)
			}
		}
	}
	for i, s := range r.limiters {
		if i == r.failed {
			continue
		}
		demand, propagate := s.EndPeriod()
		for k, other := range r.limiters {
			if k != i && propagate {
				other.RecordDemand(r.now, r.names[i], demand)
			}
		}
	}
	return admitted
}

// A team sends ten times its limit, unevenly over three entries. In steady state it gets its
// limit within 5%, and in no period more than twice its limit.
func TestLimitHoldsAcrossEntries(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits route.Limits
		cost   float64
		limit  float64
	}{
		{"requests", route.Limits{Requests: 100}, 1, 100},
		{"tokens", route.Limits{Tokens: 20000}, 200, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r := newLimitRun(c.limits, "a", "b", "c")
			for range 5 {
				g.Expect(r.period(c.cost, 700, 250, 50)).To(BeNumerically("<=", 2*c.limit+3))
			}
			total := 0
			for range 50 {
				total += r.period(c.cost, 700, 250, 50)
			}
			g.Expect(float64(total) / 50).To(BeNumerically("~", c.limit, 0.05*c.limit))
		})
	}
}

// The callers of a team move from one entry to another at once. While both entries have a share of
// the limit, the team gets at most twice its limit; afterwards it gets its limit within 5%.
func TestLimitIsAtMostDoubledWhenDemandMoves(t *testing.T) {
	g := NewWithT(t)
	r := newLimitRun(route.Limits{Requests: 100}, "a", "b")
	for range 10 {
		r.period(1, 500, 0)
	}
	for range 5 {
		g.Expect(r.period(1, 0, 500)).To(BeNumerically("<=", 200))
	}
	total := 0
	for range 20 {
		total += r.period(1, 0, 500)
	}
	g.Expect(float64(total) / 20).To(BeNumerically("~", 100, 5))
}

// Two entries share a limit and one fails. The other entry takes over the whole limit when
// the demand of the failed entry has expired, and the team never exceeds its limit.
func TestRemainingEntryTakesOverLimitOfFailedEntry(t *testing.T) {
	g := NewWithT(t)
	r := newLimitRun(route.Limits{Requests: 100}, "a", "b")
	for range 10 {
		r.period(1, 300, 300)
	}
	r.failed = 0
	for range 5 {
		g.Expect(r.period(1, 300, 300)).To(BeNumerically("<=", 105))
	}
	total := 0
	for range 20 {
		total += r.period(1, 300, 300)
	}
	g.Expect(float64(total) / 20).To(BeNumerically("~", 100, 5))
}

// A team that uses a small part of its limit causes no messages between entries.
func TestSmallDemandIsNotPropagated(t *testing.T) {
	g := NewWithT(t)
	s := route.NewTeamLimiter()
	membership := route.LimitMembership{Self: "a", Members: []string{"a", "b", "c"}, Entries: 8}
	for second := range 60 {
		if second%9 == 0 {
			ok, _ := s.Admit(time.Duration(second)*time.Second, route.Limits{Requests: 50}, membership, 1)
			g.Expect(ok).To(BeTrue())
			s.Release(0)
		}
		_, propagate := s.EndPeriod()
		g.Expect(propagate).To(BeFalse())
	}
}

// Entries that are not among the members that share a team's limit together admit only a small part
// of it, whatever the demand.
func TestNonMembersAdmitSmallPartOfLimit(t *testing.T) {
	g := NewWithT(t)
	admitted := 0
	for range 5 {
		s := route.NewTeamLimiter()
		membership := route.LimitMembership{Self: "x", Members: []string{"a", "b", "c"}, Entries: 8}
		for ms := range 100_000 {
			if ok, wait := s.Admit(time.Duration(ms)*time.Millisecond, route.Limits{Requests: 100}, membership, 1); ok {
				admitted++
				s.Release(0)
			} else {
				g.Expect(wait).To(BeNumerically(">", 0))
			}
		}
	}
	g.Expect(float64(admitted) / 100).To(BeNumerically("<=", 5))
}

func TestApportionedSlotsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 5).Draw(t, "demands")
		n := rapid.IntRange(0, 50).Draw(t, "n")
		sum := 0
		for _, p := range route.Apportion(n, route.DemandShares(demands)) {
			g.Expect(p).To(BeNumerically(">=", 0))
			sum += p
		}
		g.Expect(sum).To(Equal(n))
	})
}

// A request counts against the in-flight limit until it is released.
func TestInFlightLimitHoldsUntilRelease(t *testing.T) {
	g := NewWithT(t)
	s := route.NewTeamLimiter()
	membership := route.LimitMembership{Self: "a", Members: []string{"a"}, Entries: 1}
	l := route.Limits{InFlight: 2}
	admit := func() bool { ok, _ := s.Admit(0, l, membership, 1); return ok }
	g.Expect([]bool{admit(), admit(), admit()}).To(Equal([]bool{true, true, false}))
	s.Release(0)
	g.Expect([]bool{admit(), admit()}).To(Equal([]bool{true, false}))
}

// benchmarkSink makes the limiter escape to the heap, as in an entry.
var benchmarkSink *route.TeamLimiter

// BenchmarkTeamState measures the memory of one team at an entry that enforces the team's limits,
// and in the queue of a target.
func BenchmarkTeamState(b *testing.B) {
	b.Run("limits", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s := route.NewTeamLimiter()
			s.RecordDemand(0, "a", 1)
			s.RecordDemand(0, "b", 1)
			benchmarkSink = s
		}
	})
	b.Run("queue", func(b *testing.B) {
		b.ReportAllocs()
		q := route.NewFairQueue()
		n := 0
		for b.Loop() {
			n++
			q.Push(0, newItem(strconv.Itoa(n), 1, 0, 100))
			q.Pop(0)
		}
	})
}
