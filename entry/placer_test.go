package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/config"
)

// A policy written by an older build lacks the sampling keys, which decode to zero. A
// placer without samples would answer "no target" to every request after the upgrade.
func TestPolicyWithoutSampleCountsUsesDefaults(t *testing.T) {
	g := NewWithT(t)
	placer := new(Entry).placerFor(&config.Policy{Name: "old"})
	g.Expect(placer.NearSamples).To(BeNumerically(">", 0))
	g.Expect(placer.FarSamples).To(BeNumerically(">", 0))
	newer := new(Entry).placerFor(&config.Policy{Name: "new", SampleNear: 1})
	g.Expect(newer.NearSamples).To(Equal(1))
	g.Expect(newer.FarSamples).To(Equal(0))
}
