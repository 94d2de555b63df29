package expert

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// A load that is reported as a coarse band is off by up to 19 %. These errors must cancel out in
// the sum over many ranks, or maps would be planned for wrong loads.
func TestSumOfCoarseBandsIsCloseToTheLoads(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 3))
	const experts, ranks = 257, 64
	want, sum := make([]float64, experts), make([]float64, experts)
	for range ranks {
		loads := make([]float64, experts)
		for e := range loads {
			loads[e] = float64(rng.IntN(100)) * float64(1+e%7)
			want[e] += loads[e]
		}
		unit, bands := EncodeLoads(loads)
		packed := PackCoarse(bands)
		g.Expect(packed).To(HaveLen((experts + 1) / 2))
		AddCoarse(sum, unit, packed)
	}
	for e := range want {
		g.Expect(sum[e]).To(BeNumerically("~", want[e], 0.06*want[e]), "expert %d", e)
	}
}
