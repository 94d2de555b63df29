package outcomes

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// A request crashes every engine that runs it. Requests on the first crashed engine become suspects
// and run alone. After the second crash only the crashing request may be refused.
func TestCrashingRequestTakesDownAtMostTwoTargets(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r, err := runCrasher(seed, false)
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(time.Minute)
				g.Expect(r.targets).To(BeNumerically("<=", 2), "seed %d: %+v", seed, r)
				g.Expect(r.refusedAfter).NotTo(BeZero(), "seed %d: %+v", seed, r)
				g.Expect(r.otherResults).To(HaveLen(1), "seed %d: %+v", seed, r)
				g.Expect(r.otherResults).To(HaveKey("ok"))
			})
		})
	}
}

// All engines crash several times within seconds for reasons unrelated to requests. No
// request may be refused because it was running during two of the crashes.
func TestFleetWideCrashesRefuseNoRequest(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r, err := runCrasher(seed, true)
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(time.Minute)
				g.Expect(r.otherResults).NotTo(HaveKey("crash_suspect"), "seed %d: %+v", seed, r)
				g.Expect(r.otherResults["ok"]).To(BeNumerically(">", 50), "seed %d: %+v", seed, r)
			})
		})
	}
}
