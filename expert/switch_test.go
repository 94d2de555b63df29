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

// Two orderers want different maps; maps 1 and 2, ranks 3. The numbers of the
// cases are what an ordinary run can wait for; -deep searches further.
var (
	duel       = bounds{steps: 2, at: []uint64{1, 2}, want: []MapID{2, 1}}
	agentDies  = bounds{steps: 1, at: []uint64{0, 0}, want: []MapID{2, 1}, agentRestarts: 1}
	engineDies = bounds{steps: 1, at: []uint64{0, 0}, want: []MapID{2, 1}, engineRestarts: 1}
)

var deep = flag.Bool("deep", false, "search further than an ordinary run can wait for")

// In every step, all ranks of a group use one map, and the group can always go on.
// Orders are lost, doubled, late and reordered; orderers die or duel; agents lose
// their promises and engines their maps. The search tries all interleavings.
func TestSwitchModel(t *testing.T) {
	cases := map[string]bounds{"duel": duel, "agent dies": agentDies, "engine dies": engineDies}
	if *deep {
		cases = map[string]bounds{
			"agent dies, two steps":  {steps: 2, at: []uint64{1, 1}, want: []MapID{2, 1}, agentRestarts: 1},
			"engine dies, two steps": {steps: 2, at: []uint64{1, 1}, want: []MapID{2, 1}, engineRestarts: 1},
			"agent and engine die":   {steps: 1, at: []uint64{0, 0}, want: []MapID{2, 1}, agentRestarts: 1, engineRestarts: 1},
			"duel over three steps":  {steps: 3, at: []uint64{1, 2}, want: []MapID{2, 1}},
		}
	}
	for name, b := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			b.maxStates = modelStates
			if *deep {
				b.maxStates = deepStates
			}
			states, err := explore(b)
			g.Expect(err).NotTo(HaveOccurred())
			t.Logf("%d states", states)
		})
	}
}

// A search that can't convict proves nothing: each case takes one safeguard out
// and must end with two maps in a step, or with a group that can't go on.
func TestSwitchModelConvicts(t *testing.T) {
	forgetful := agentDies
	forgetful.noWithdrawals = true
	small := bounds{steps: 1, at: []uint64{0, 0}, want: []MapID{2, 1}}
	cases := map[variant]bounds{
		ignorePromise:     small,
		ignoreIncarnation: forgetful,
		skipConfirm:       forgetful,
		ignoreMissing:     small,
		ignorePassed:      small,
		ignorePlanned:     duel,
		decideWithdrawn:   engineDies,
		liftAnyHold:       small,
		joinAlone:         engineDies,
		ignoreHold:        small,
	}
	for v, b := range cases {
		t.Run(string(v), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			b.variant, b.maxStates = v, modelStates
			states, err := explore(b)
			g.Expect(err).To(Or(MatchError(errMixedStep), MatchError(ErrConflictingMaps), MatchError(errStuck)))
			t.Logf("%d states", states)
		})
	}
}
