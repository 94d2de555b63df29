package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/config"
)

// Every request finds a target under a policy that an older build wrote.
// The record lacks the sampling keys, which decode to zero; a placer that rated no
// target at all would refuse everything with "no target" after the upgrade.
func TestAPolicyWithoutSamplesGetsTheDefaults(t *testing.T) {
	g := NewWithT(t)
	placer := new(Entry).placerOf(&config.Policy{Name: "old"})
	g.Expect(placer.NearSamples).To(BeNumerically(">", 0))
	g.Expect(placer.FarSamples).To(BeNumerically(">", 0))
	own := new(Entry).placerOf(&config.Policy{Name: "new", SampleNear: 1})
	g.Expect(own.NearSamples).To(Equal(1))
	g.Expect(own.FarSamples).To(Equal(0))
}
