package outcomes_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/outcomes"
	"github.com/heatherrail/heatherrail/result"
)

const seeds = 210

// Callers are told the truth whatever fails, alone or in pairs.
// Each seed draws faults and their times; callers repeat what they got no answer
// for, through other entries and with the same key. The recorded history must
// keep every promise, and most requests must still be answered.
func TestPromisesHoldUnderFaults(t *testing.T) {
	for seed := range uint64(seeds) {
		plan := outcomes.PlanForSeed(seed)
		t.Run(fmt.Sprintf("%d %v", seed, plan.Faults), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				w, err := outcomes.Run(plan)
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(time.Minute) // connections that were being made end by themselves
				g.Expect(outcomes.Check(w.History)).To(BeEmpty())
				codes, asked := make(map[string]int), 0
				for _, i := range w.History.Invocations {
					if !i.CrashBody {
						codes[i.Code.Info().Name]++
						asked++
					}
				}
				g.Expect(codes[result.OK.Info().Name]).To(BeNumerically(">", asked/3), "%v", codes)
			})
		})
	}
}
