package demo_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/demo"
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

// rankFleet starts three entries before one group whose first expert of each
// layer is far too popular.
func rankFleet(t *testing.T) (*demo.Fleet, *fake.LockStep) {
	t.Helper()
	g := NewWithT(t)
	cfg, err := config.Load(map[string]string{"ranks.ini": rankConfig})
	g.Expect(err).NotTo(HaveOccurred())
	f, err := demo.Start(demo.Options{Config: cfg, Entries: 3, StepTime: 2 * time.Millisecond, AnswerLife: time.Second, Logger: logr.Discard()})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	g.Expect(f.WaitReady(ctx)).To(Succeed())
	group := f.LockSteps["ovens"]
	group.SetPopular(0)
	return f, group
}

func goesOn(g *WithT, group *fake.LockStep) {
	from := group.Steps()
	g.Eventually(group.Steps, "30s").Should(BeNumerically(">", from+50))
}

// The group changes its map while it runs; no step mixes two.
// The loads are uneven, the owner plans, all ranks load the weights and switch at
// one step. Then popularity moves on, and so does the map.
func TestGroupSwitchesWhileItRuns(t *testing.T) {
	g := NewWithT(t)
	_, group := rankFleet(t)
	first := group.Map()
	g.Eventually(group.Map, "30s").ShouldNot(Equal(first))
	second := group.Map()
	group.SetPopular(5)
	g.Eventually(group.Map, "30s").ShouldNot(Equal(second))
	goesOn(g, group)
	g.Expect(group.Mixed()).To(Succeed())
	t.Logf("%d steps, %d idle", group.Steps(), group.Idle())
}

// allMaps is what operators see of the group at all entries.
func allMaps(f *demo.Fleet) string {
	var b strings.Builder
	for _, e := range f.Entries {
		_ = expert.WriteMapStatus(&b, e.MapLogs()) // a Builder takes everything
	}
	return b.String()
}

// A rank's engine dies and comes back without map and step; the group waits for it
// and goes on by itself. It must not go on with the map that it finds, since the
// others may have switched.
func TestRestartedRankJoinsAgain(t *testing.T) {
	g := NewWithT(t)
	f, group := rankFleet(t)
	first := group.Map()
	g.Eventually(group.Map, "30s").ShouldNot(Equal(first))
	g.Eventually(func() string { return allMaps(f) }, "30s").Should(ContainSubstring(expert.OutcomeSwitched))
	f.Targets["oven-2"].Kill()
	g.Expect(f.Targets["oven-2"].Restart()).To(Succeed())
	goesOn(g, group)
	g.Expect(group.Mixed()).To(Succeed())
}

// An agent dies with its memory of ballots, its VM is replaced, and the entries
// that could own the group die one after the other; the last one carries on.
func TestGroupOutlivesAgentsAndOwners(t *testing.T) {
	g := NewWithT(t)
	f, group := rankFleet(t)
	first := group.Map()
	g.Eventually(group.Map, "30s").ShouldNot(Equal(first))
	g.Expect(f.RestartAgent("oven-3")).To(Succeed())
	f.Entries[0].Close()
	goesOn(g, group)
	f.Entries[1].Close()
	f.Targets["oven-1"].Kill()
	g.Expect(f.Targets["oven-1"].Restart()).To(Succeed())
	goesOn(g, group)
	g.Expect(group.Mixed()).To(Succeed())
}
