package expert

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// A layout that is put together from ranks with different maps may lack experts.
func TestCompleteGivesEachExpertARank(t *testing.T) {
	for seed := range uint64(200) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		ranks, experts := 1+rng.IntN(8), 1+rng.IntN(40)
		places := (experts+ranks-1)/ranks + rng.IntN(3)
		l := InitialLayout(ranks, experts)
		for r := range l {
			for i := range l[r] {
				if rng.IntN(4) == 0 {
					l[r][i] = uint16(rng.IntN(experts))
				}
			}
		}
		if rng.IntN(3) == 0 {
			l[rng.IntN(ranks)] = nil
		}
		before := l.Clone()
		c := Complete(l, experts, places)
		g.Expect(l).To(Equal(before))
		held := make(map[uint16]bool)
		for _, list := range c {
			g.Expect(len(list)).To(BeNumerically("<=", places), "seed %d", seed)
			for _, e := range list {
				held[e] = true
			}
		}
		g.Expect(held).To(HaveLen(experts), "seed %d: %v", seed, c)
	}
}

// A complete layout must stay, as ranks copy the experts that are new to them.
func TestCompleteKeepsACompleteLayout(t *testing.T) {
	g := NewWithT(t)
	l := InitialLayout(4, 18)
	g.Expect(Complete(l, 18, 5)).To(Equal(l))
}
