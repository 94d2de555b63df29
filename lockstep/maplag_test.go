package lockstep

import (
	"bytes"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/serving"
)

// lagReports runs a group and returns the lines that its leader logged of a map that does not follow
// demand, and whether it counted as many.
func lagReports(t *testing.T, group *simGroup, d time.Duration, during func(f *simFleet)) (lines []string, counted bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		f := newFleet(group)
		leader := f.agents[0]
		leader.opts.Log = funcr.New(func(_, args string) {
			mu.Lock()
			defer mu.Unlock()
			if strings.Contains(args, "map does not follow demand") {
				lines = append(lines, args)
			}
		}, funcr.Options{})
		f.start()
		if during != nil {
			f.tasks.Go(func() { during(f) })
		}
		time.Sleep(d)
		f.stop()
		var text bytes.Buffer
		NewWithT(t).Expect(leader.opts.Metrics.Write(&text)).To(Succeed())
		count := regexp.MustCompile(`maps_behind_demand\S* (\d+)`).FindStringSubmatch(text.String())
		counted = count == nil && len(lines) == 0 || count != nil && count[1] == strconv.Itoa(len(lines))
	})
	return lines, counted
}

// Ranks refuse every map, so the group keeps one that does not fit. An operator must see this and its
// cause without comparing plans and switches, and not in every round.
func TestMapThatDoesNotFollowDemandIsReported(t *testing.T) {
	g := NewWithT(t)
	group := newSimGroup(8, 1, 16, 6)
	for _, r := range group.ranks {
		r.highest = 1 << 62
	}
	lines, counted := lagReports(t, group, 30*time.Second, nil)
	g.Expect(len(lines)).To(And(BeNumerically(">=", 2), BeNumerically("<=", 3)), "one at first, then one every 10 s")
	g.Expect(lines[len(lines)-1]).To(And(ContainSubstring(lagRefused), ContainSubstring(`"group"="g"`)))
	g.Expect(counted).To(BeTrue())
}

// An agent that does not answer keeps the leader from planning. Guards against a leader that reports
// only the lags of complete groups.
func TestMapLagOfAGroupWithASilentRankIsReported(t *testing.T) {
	g := NewWithT(t)
	group := newSimGroup(12, 4, 72, 1)
	lines, counted := lagReports(t, group, 10*time.Second, func(*simFleet) {
		time.Sleep(2 * time.Second)
		group.shiftDemand()
		time.Sleep(70 * time.Millisecond) // the leader has seen the shift and not switched yet
		group.ranks[5].vm.freeze()
	})
	g.Expect(lines).To(HaveLen(1))
	g.Expect(lines[0]).To(ContainSubstring(lagIncomplete))
	g.Expect(counted).To(BeTrue())
}

// Guards against reports for a group whose map follows each shift of its demand.
func TestMapThatFollowsDemandIsNotReported(t *testing.T) {
	g := NewWithT(t)
	group := newSimGroup(12, 4, 72, 1)
	lines, counted := lagReports(t, group, 20*time.Second, func(*simFleet) {
		for range 4 {
			time.Sleep(4 * time.Second)
			group.shiftDemand()
		}
	})
	g.Expect(lines).To(BeEmpty())
	g.Expect(counted).To(BeTrue())
}

// A leader that keeps a map must tell its own choice, which needs no operator, from a search that
// found nothing and from switches that are too slow.
func TestCauseToKeepAMap(t *testing.T) {
	g := NewWithT(t)
	m := planModel()
	loads, layouts := randomLoads(m, rand.New(rand.NewPCG(8, 1)))
	cause := func(pl planner, layouts []expert.Layout) string {
		pl.model = m
		p := pl.best(layouts, loads)
		g.Expect(p.copies).To(BeZero())
		return pl.causeToKeepMap(&p)
	}
	g.Expect(cause(planner{urgency: 0.4, switchCosts: newSwitchCosts(), meanStreams: 0.3}, layouts)).To(Equal(lagNone), "an idle group")
	slow := switchCosts{overhead: maxSwitchCostSample, stall: time.Second}
	g.Expect(cause(planner{urgency: 1, switchCosts: slow, meanStreams: busyStreams}, layouts)).To(Equal(lagSlowSwitches))
	m = &serving.EngineModel{LayerSets: 4, Experts: 72, ExpertsPerRank: 6, ExpertBytes: 3.2e8, CopyRate: 2.25e10}
	g.Expect(cause(planner{urgency: 1, switchCosts: newSwitchCosts(), meanStreams: busyStreams}, layouts)).To(Equal(lagNoBetterMap), "no rank may copy an expert")
}
