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

// limitRun is a team's limits at several entries in virtual time. Demand is told
// once a period and arrives a little later.
type limitRun struct {
	limits route.Limits
	names  []string
	states []*route.TeamLimiter
	dead   int // index of an entry that stopped, -1: none
	rng    *rand.Rand
	now    time.Duration
}

func newLimitRun(l route.Limits, names ...string) *limitRun {
	r := &limitRun{limits: l, names: names, dead: -1, rng: rand.New(rand.NewPCG(7, 7))}
	for range names {
		r.states = append(r.states, route.NewTeamLimiter())
	}
	return r
}

// period asks for rates[i] requests a second at entry i for one period and
// returns how many were admitted in all.
func (r *limitRun) period(price float64, rates ...float64) int {
	const steps = 1000
	admitted := 0
	for range steps {
		r.now += route.DemandPeriod / steps
		for i, s := range r.states {
			if i == r.dead || r.rng.Float64() >= rates[i]/steps {
				continue
			}
			part := route.LimitMembership{Self: r.names[i], Members: r.names, Entries: len(r.names)}
			if ok, _ := s.Admit(r.now, r.limits, part, price); ok {
				admitted++
				s.Release(0)
			}
		}
	}
	for i, s := range r.states {
		if i == r.dead {
			continue
		}
		demand, tell := s.EndPeriod()
		for k, other := range r.states {
			if k != i && tell {
				other.RecordDemand(r.now, r.names[i], demand)
			}
		}
	}
	return admitted
}

// A team asks at ten times its limit, unevenly over three entries. In steady
// state it gets its limit within 5%, and no period gives it more than twice.
func TestLimitHoldsAcrossEntries(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits route.Limits
		price  float64
		want   float64
	}{
		{"requests", route.Limits{Requests: 100}, 1, 100},
		{"tokens", route.Limits{Tokens: 20000}, 200, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r := newLimitRun(c.limits, "a", "b", "c")
			for range 5 {
				g.Expect(r.period(c.price, 700, 250, 50)).To(BeNumerically("<=", 2*c.want+3))
			}
			total := 0
			for range 50 {
				total += r.period(c.price, 700, 250, 50)
			}
			g.Expect(float64(total) / 50).To(BeNumerically("~", c.want, 0.05*c.want))
		})
	}
}

// The callers of a team move from one entry to another at once: for a period both
// may spend what the other has. It stays under twice the limit, then under 5%.
func TestLimitWhenDemandMoves(t *testing.T) {
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

// Two entries share a limit and one dies. The other takes over its part after the
// dead one's demand has run out, and the team never gets more than its limit.
func TestLimitWhenAnEntryDies(t *testing.T) {
	g := NewWithT(t)
	r := newLimitRun(route.Limits{Requests: 100}, "a", "b")
	for range 10 {
		r.period(1, 300, 300)
	}
	r.dead = 0
	for range 5 {
		g.Expect(r.period(1, 300, 300)).To(BeNumerically("<=", 105))
	}
	total := 0
	for range 20 {
		total += r.period(1, 300, 300)
	}
	g.Expect(float64(total) / 20).To(BeNumerically("~", 100, 5))
}

// A team that asks for little of its limit is not talked about.
func TestSmallDemandIsNotTold(t *testing.T) {
	g := NewWithT(t)
	s := route.NewTeamLimiter()
	part := route.LimitMembership{Self: "a", Members: []string{"a", "b", "c"}, Entries: 8}
	for second := range 60 {
		if second%9 == 0 {
			ok, _ := s.Admit(time.Duration(second)*time.Second, route.Limits{Requests: 50}, part, 1)
			g.Expect(ok).To(BeTrue())
			s.Release(0)
		}
		_, tell := s.EndPeriod()
		g.Expect(tell).To(BeFalse())
	}
}

// Entries that are not the team's give a small part together, whatever is asked.
func TestLimitOutsideTheTeamsEntries(t *testing.T) {
	g := NewWithT(t)
	admitted := 0
	for range 5 {
		s := route.NewTeamLimiter()
		part := route.LimitMembership{Self: "x", Members: []string{"a", "b", "c"}, Entries: 8}
		for ms := range 100_000 {
			if ok, wait := s.Admit(time.Duration(ms)*time.Millisecond, route.Limits{Requests: 100}, part, 1); ok {
				admitted++
				s.Release(0)
			} else {
				g.Expect(wait).To(BeNumerically(">", 0))
			}
		}
	}
	g.Expect(float64(admitted) / 100).To(BeNumerically("<=", 5))
}

func TestPlacesAddUp(t *testing.T) {
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

// Work in flight counts against the limit until it is done.
func TestInFlightLimit(t *testing.T) {
	g := NewWithT(t)
	s := route.NewTeamLimiter()
	part := route.LimitMembership{Self: "a", Members: []string{"a"}, Entries: 1}
	l := route.Limits{InFlight: 2}
	admit := func() bool { ok, _ := s.Admit(0, l, part, 1); return ok }
	g.Expect([]bool{admit(), admit(), admit()}).To(Equal([]bool{true, true, false}))
	s.Release(0)
	g.Expect([]bool{admit(), admit()}).To(Equal([]bool{true, false}))
}

// kept makes the state live on the heap, as an entry's does.
var kept *route.TeamLimiter

// BenchmarkTeamState tells what one team costs: at an entry that keeps its
// limits, and in the queue of a target.
func BenchmarkTeamState(b *testing.B) {
	b.Run("limits", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s := route.NewTeamLimiter()
			s.RecordDemand(0, "a", 1)
			s.RecordDemand(0, "b", 1)
			kept = s
		}
	})
	b.Run("queue", func(b *testing.B) {
		b.ReportAllocs()
		q := route.NewFairQueue()
		n := 0
		for b.Loop() {
			n++
			q.Push(0, item(strconv.Itoa(n), 1, 0, 100))
			q.Pop(0)
		}
	})
}
