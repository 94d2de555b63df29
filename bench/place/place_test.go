package place

import (
	"testing"

	. "github.com/onsi/gomega"
)

// sharedSuite is shared by the tests so that the capacity is measured once.
var sharedSuite = &suite{seed: 3, capacities: make(map[string]float64)}

// Guards against late first tokens at 0.9 of capacity with half of the load reports lost, the others a
// second old. The p99 may be 0.7 of that of least-outstanding; the goal with all reports is 0.6.
func TestFirstTokensBeatLeastOutstandingWithLostAndStaleReports(t *testing.T) {
	g := NewWithT(t)
	b := sharedSuite
	o := b.baseOptions()
	o.load.longTailed, o.reportLossShare = true, 0.5
	o.load.rate, o.load.duration, o.load.deadline = 0.9*b.capacity(o), benchDuration/2, unreachableDeadline
	o.policy = baselines()[2]
	baseline := figuresOf(run(o).endedRequests)
	o.policy = heatherrail()
	got := figuresOf(run(o).endedRequests)
	g.Expect(got.p99).To(BeNumerically("<=", 0.7*baseline.p99))
	g.Expect(figuresOf(run(o).endedRequests)).To(Equal(got), "the same seed gives the same run")
}

// Guards against a team at ten times its share that takes capacity from a small team. Less than 1 %
// of the small team's requests may be rejected.
func TestSmallTeamsAreServedWhileALargeTeamExceedsItsShare(t *testing.T) {
	g := NewWithT(t)
	b := sharedSuite
	o := b.baseOptions()
	o.load.longTailed = true
	share := b.capacity(o) / 6
	o.load.duration, o.load.deadline = benchDuration/2, deadline
	o.load.teams = []teamLoad{{name: "large", rate: 10 * share, weight: 1}, {name: "small", rate: 0.6 * share, weight: 1}}
	o.policy = heatherrail()
	ended := run(o).endedRequests
	small := figuresOf(ofTeams(ended, func(t string) bool { return t == "small" }))
	large := figuresOf(ofTeams(ended, func(t string) bool { return t == "large" }))
	g.Expect(small.rejectedShare).To(BeNumerically("<", 0.01))
	g.Expect(small.p99).To(BeNumerically("<", 400))
	g.Expect(large.rejectedShare).To(BeNumerically(">", 0.1))
}
