package expert

import (
	"flag"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	modelStates = 1_000_000
	deepStates  = 5_000_000
)

// Two coordinators want different maps (1 and 2) on 3 ranks. The cases are small enough for an
// ordinary test run; -deep searches further.
var (
	duel       = bounds{steps: 2, holdAt: []uint64{1, 2}, wantedMaps: []MapID{2, 1}}
	agentDies  = bounds{steps: 1, holdAt: []uint64{0, 0}, wantedMaps: []MapID{2, 1}, agentRestarts: 1}
	engineDies = bounds{steps: 1, holdAt: []uint64{0, 0}, wantedMaps: []MapID{2, 1}, engineRestarts: 1}
)

var deepSearch = flag.Bool("deep", false, "run searches that take too long for an ordinary test run")

// All ranks must use one map in each step, and the group must always be able to advance, under lost,
// repeated, late and reordered messages, competing coordinators, and restarts of agents and engines.
func TestSwitchModel(t *testing.T) {
	cases := map[string]bounds{"duel": duel, "agent dies": agentDies, "engine dies": engineDies}
	if *deepSearch {
		cases = map[string]bounds{
			"agent dies, two steps":  {steps: 2, holdAt: []uint64{1, 1}, wantedMaps: []MapID{2, 1}, agentRestarts: 1},
			"engine dies, two steps": {steps: 2, holdAt: []uint64{1, 1}, wantedMaps: []MapID{2, 1}, engineRestarts: 1},
			"agent and engine die":   {steps: 1, holdAt: []uint64{0, 0}, wantedMaps: []MapID{2, 1}, agentRestarts: 1, engineRestarts: 1},
			"duel over three steps":  {steps: 3, holdAt: []uint64{1, 2}, wantedMaps: []MapID{2, 1}},
		}
	}
	for name, b := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			b.maxStates = modelStates
			if *deepSearch {
				b.maxStates = deepStates
			}
			states, err := explore(b)
			g.Expect(err).NotTo(HaveOccurred())
			t.Logf("%d states", states)
		})
	}
}

// The search must detect a missing safeguard. Each case switches one off and must end with two maps in
// a step or with a group that cannot advance.
func TestSwitchModelDetectsBrokenVariants(t *testing.T) {
	agentDiesNoWithdrawals := agentDies
	agentDiesNoWithdrawals.noWithdrawals = true
	small := bounds{steps: 1, holdAt: []uint64{0, 0}, wantedMaps: []MapID{2, 1}}
	cases := map[variant]bounds{
		ignorePromise:       small,
		ignoreIncarnation:   agentDiesNoWithdrawals,
		skipConfirm:         agentDiesNoWithdrawals,
		ignoreMissing:       small,
		forgetEarlierSteps:  small,
		ignorePlanned:       duel,
		decideWithdrawn:     engineDies,
		liftAnyHold:         small,
		rejoinUncoordinated: engineDies,
		ignoreHold:          small,
	}
	for v, b := range cases {
		t.Run(string(v), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			b.variant, b.maxStates = v, modelStates
			states, err := explore(b)
			g.Expect(err).To(Or(MatchError(errMixedStep), MatchError(ErrConflictingMaps), MatchError(errNoProgress)))
			t.Logf("%d states", states)
		})
	}
}
