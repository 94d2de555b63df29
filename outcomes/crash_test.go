package outcomes

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// A request that crashes its target takes down two, and nobody else is refused.
// The first crash makes all that ran there suspects; each runs alone on one
// target; the culprit crashes that one too and is refused at every entry. Its
// bystanders' texts go on elsewhere and end well.
func TestACrashingRequestTakesDownTwoTargets(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r, err := runCrasher(seed, false)
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(time.Minute)
				g.Expect(r.targets).To(BeNumerically("<=", 2), "seed %d: %+v", seed, r)
				g.Expect(r.refusedAt).NotTo(BeZero(), "seed %d: %+v", seed, r)
				g.Expect(r.innocents).To(HaveLen(1), "seed %d: %+v", seed, r)
				g.Expect(r.innocents).To(HaveKey("ok"))
			})
		})
	}
}

// Engines that crash for a reason of their own refuse no request.
// All of them go down several times in a few seconds; what ran there has nothing
// in common, so nobody is convicted for being on a second one.
func TestAFleetWideFaultRefusesNobody(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r, err := runCrasher(seed, true)
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(time.Minute)
				g.Expect(r.innocents).NotTo(HaveKey("crash_suspect"), "seed %d: %+v", seed, r)
				g.Expect(r.innocents["ok"]).To(BeNumerically(">", 50), "seed %d: %+v", seed, r)
			})
		})
	}
}
