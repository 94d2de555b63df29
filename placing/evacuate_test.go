package placing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A third of the ranks is evacuated and gets no streams, but still runs its experts for the other
// ranks. The capacity of the group must not fall by a third.
func TestStreamLimitRisesWhenADataCentreIsEvacuated(t *testing.T) {
	g := NewWithT(t)
	m := testModel()
	m.Slots, m.ExpertShare = 100, 0.85
	gapObjective := 120 * time.Millisecond
	all := streamLimit(m, gapObjective, 1.5, 1)
	remaining := streamLimitAmong(m, gapObjective, 1.5, 1, 2.0/3)
	g.Expect(remaining).To(BeNumerically(">", 1.25*all))
	g.Expect(remaining*2/3).To(BeNumerically("<", all), "each rank also has its own part of a pass")
	m.Slots = int(all)
	g.Expect(streamLimitAmong(m, gapObjective, 1.5, 1, 2.0/3)).To(BeNumerically("<=", m.Slots), "an engine runs no more streams than it has slots")
}
