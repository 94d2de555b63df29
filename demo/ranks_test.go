package demo_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/demo"
	"github.com/heatherrail/heatherrail/entry"
	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/internal/fake"
)

const rankConfig = `
[fleet oven]
kind = engine
[target oven-1]
fleet = oven
data-centre = alm-a
[target oven-2]
fleet = oven
data-centre = alm-a
[target oven-3]
fleet = oven
data-centre = alm-a
[target oven-4]
fleet = oven
data-centre = alm-a
[group ovens]
fleet = oven
ranks = oven-1, oven-2, oven-3, oven-4
layers = 4
experts = 8
slots = 12
expert-mb = 1
plan-every = 1s
[service bake]
fleet = oven
model = bake-1
[policy default]
skew-weight = 100
`

// rankFleet starts a fleet with three entries and one group in which the first expert of
// each layer gets most of the load.
func rankFleet(t *testing.T) (*demo.Fleet, *fake.LockStep) {
	t.Helper()
	return rankFleetWith(t, loadRankConfig(t, rankConfig))
}

func loadRankConfig(t *testing.T, text string) *config.Config {
	t.Helper()
	cfg, err := config.Load(map[string]string{"ranks.ini": text})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return cfg
}

// rankFleetWith is rankFleet with another configuration.
func rankFleetWith(t *testing.T, cfg *config.Config) (*demo.Fleet, *fake.LockStep) {
	t.Helper()
	g := NewWithT(t)
	f, err := demo.Start(demo.Options{Config: cfg, Entries: 3, StepTime: 2 * time.Millisecond, DirectoryTTL: time.Second, Logger: logr.Discard()})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	g.Expect(f.WaitReady(ctx)).To(Succeed())
	group := f.LockSteps["ovens"]
	group.SetPopular(0)
	return f, group
}

// expectSteps waits until the group has run 50 more steps.
func expectSteps(g *WithT, group *fake.LockStep) {
	before := group.Steps()
	g.Eventually(group.Steps, "30s").Should(BeNumerically(">", before+50))
}

// Guards against a step that runs with two maps. Loads are uneven, so the group switches its
// map while it runs; then another expert becomes popular and it switches again.
func TestGroupSwitchesMapsWhileRunningWithoutMixingThem(t *testing.T) {
	g := NewWithT(t)
	_, group := rankFleet(t)
	initial := group.Map()
	g.Eventually(group.Map, "30s").ShouldNot(Equal(initial))
	second := group.Map()
	group.SetPopular(5)
	g.Eventually(group.Map, "30s").ShouldNot(Equal(second))
	expectSteps(g, group)
	g.Expect(group.Mixed()).To(Succeed())
	t.Logf("%d steps, %d idle", group.Steps(), group.Idle())
}

// An operator shortens plan-every after the owner of the group has collected its first loads. The owner
// must not wait for the rest of the earlier interval, which may be half an hour, before it follows
// demand.
func TestShorterPlanIntervalTakesEffectAtOnce(t *testing.T) {
	g := NewWithT(t)
	f, group := rankFleetWith(t, loadRankConfig(t, strings.Replace(rankConfig, "plan-every = 1s", "plan-every = 4m", 1)))
	initial := group.Map()
	isOwned := func() bool {
		return slices.ContainsFunc(f.Entries, func(e *entry.Entry) bool {
			_, held := e.Leaser().Held(control.GroupResource("ovens"))
			return held
		})
	}
	g.Eventually(isOwned, "30s").Should(BeTrue())
	time.Sleep(time.Second) // the owner collects loads four times a second until it has them
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	operator := control.Operator{Log: f.Log}
	g.Expect(operator.Sync(ctx)).To(Succeed())
	_, err := operator.Apply(ctx, control.NewChangeID(), operator.Current().Version, loadRankConfig(t, rankConfig))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(group.Map, "30s").ShouldNot(Equal(initial))
	g.Expect(group.Mixed()).To(Succeed())
}

// allMaps returns the map status of all entries, as operators see it.
func allMaps(f *demo.Fleet) string {
	var b strings.Builder
	for _, e := range f.Entries {
		_ = expert.WriteMapStatus(&b, e.PlanHistories()) // a Builder returns no errors
	}
	return b.String()
}

// A rank's engine restarts without its map and step. Guards against a group that does not continue,
// and against a rank that runs with its initial map after the others have switched.
func TestRestartedRankRejoinsWithTheCurrentMap(t *testing.T) {
	g := NewWithT(t)
	f, group := rankFleet(t)
	initial := group.Map()
	g.Eventually(group.Map, "30s").ShouldNot(Equal(initial))
	g.Eventually(func() string { return allMaps(f) }, "30s").Should(ContainSubstring(expert.OutcomeSwitched))
	f.Targets["oven-2"].Kill()
	g.Expect(f.Targets["oven-2"].Restart()).To(Succeed())
	expectSteps(g, group)
	g.Expect(group.Mixed()).To(Succeed())
}

// An agent restarts on a new VM without its record of ballots, and two of the three entries
// that can own the group stop one after the other. The remaining entry must run the group.
func TestGroupContinuesAfterLosingAnAgentAndTwoOwners(t *testing.T) {
	g := NewWithT(t)
	f, group := rankFleet(t)
	initial := group.Map()
	g.Eventually(group.Map, "30s").ShouldNot(Equal(initial))
	g.Expect(f.RestartAgent("oven-3")).To(Succeed())
	f.Entries[0].Close()
	expectSteps(g, group)
	f.Entries[1].Close()
	f.Targets["oven-1"].Kill()
	g.Expect(f.Targets["oven-1"].Restart()).To(Succeed())
	expectSteps(g, group)
	g.Expect(group.Mixed()).To(Succeed())
}
