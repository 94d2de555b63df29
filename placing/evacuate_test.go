package placing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a group that bears a third less for the time that a third of its ranks get no work.
func TestTheOtherRanksTakeOverWhatAnEvacuatedDataCentreDid(t *testing.T) {
	g := NewWithT(t)
	m := testModel()
	m.Slots, m.ExpertShare = 100, 0.85
	aim := 120 * time.Millisecond
	all := limit(m, aim, 1.5, 1)
	rest := limitAmong(m, aim, 1.5, 1, 2.0/3)
	g.Expect(rest).To(BeNumerically(">", 1.25*all))
	g.Expect(rest*2/3).To(BeNumerically("<", all), "each of them has its own part of a pass too")
	m.Slots = int(all)
	g.Expect(limitAmong(m, aim, 1.5, 1, 2.0/3)).To(BeNumerically("<=", m.Slots), "an engine runs no more than it has places")
}
