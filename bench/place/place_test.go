package place

import (
	"testing"

	. "github.com/onsi/gomega"
)

// shared measures the capacity once for all tests.
var shared = &suite{seed: 3, known: make(map[string]float64)}

// Half of the reports are lost and the others are a second old, at 0.9 of the
// capacity. First tokens come no later than 0.7 of what counting the entry's own
// requests gives; the bench, with whole reports, aims at 0.6.
func TestFirstTokensWithLostAndLateReports(t *testing.T) {
	g := NewWithT(t)
	b := shared
	o := b.base()
	o.load.tail, o.lost = true, 0.5
	o.load.rate, o.load.duration, o.load.deadline = 0.9*b.capacity(o), benchTime/2, longDeadline
	o.policy = baselines()[2]
	base := figuresOf(run(o).ended)
	o.policy = heatherrail()
	got := figuresOf(run(o).ended)
	g.Expect(got.p99).To(BeNumerically("<=", 0.7*base.p99))
	g.Expect(figuresOf(run(o).ended)).To(Equal(got), "the same seed gives the same run")
}

// A team asks for ten times its share. The small teams are served, whatever the
// large one is refused, and every refusal comes within milliseconds or when the
// queue has made the deadline impossible.
func TestSmallTeamsBesideALargeOne(t *testing.T) {
	g := NewWithT(t)
	b := shared
	o := b.base()
	o.load.tail = true
	share := b.capacity(o) / 6
	o.load.duration, o.load.deadline = benchTime/2, deadline
	o.load.teams = []teamLoad{{name: "large", rate: 10 * share, weight: 1}, {name: "small", rate: 0.6 * share, weight: 1}}
	o.policy = heatherrail()
	ended := run(o).ended
	small := figuresOf(ofTeams(ended, func(t string) bool { return t == "small" }))
	large := figuresOf(ofTeams(ended, func(t string) bool { return t == "large" }))
	g.Expect(small.refused).To(BeNumerically("<", 0.01))
	g.Expect(small.p99).To(BeNumerically("<", 400))
	g.Expect(large.refused).To(BeNumerically(">", 0.1))
}
