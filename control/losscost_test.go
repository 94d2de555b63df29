package control

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// lossFleetSizes are the numbers of entries for which the cost is measured; LOSS_SCALE adds the
// large ones.
func lossFleetSizes() []int {
	if os.Getenv("LOSS_SCALE") != "" {
		return []int{8, 46, 149, 410}
	}
	return []int{8, 46}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Reports the cost of an entry without a loss, and guards against a recovery that takes longer than a
// change may.
func TestFleetAgreesAfterLossInTime(t *testing.T) {
	for _, size := range lossFleetSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				centres := make(map[string]int)
				for i := range size {
					centres[fmt.Sprint("dc", i%4)]++
				}
				c := &lossCluster{cluster: newCluster(t, centres), g: g}
				defer c.close()
				c.startAll()
				c.change()
				time.Sleep(time.Minute)
				bytes, calls, cpu := c.bytesSent.Load(), c.logCalls.Load(), processorTime()
				const seconds = 60
				for range seconds {
					c.otherRecords(1 + size/12)
					time.Sleep(time.Second)
				}
				entrySeconds := float64(size * seconds)
				t.Logf("%d entries without a loss: %.0f bytes, %.3f log reads and %.2f ms of processor time a second and entry", size,
					float64(c.bytesSent.Load()-bytes)/entrySeconds, float64(c.logCalls.Load()-calls)/entrySeconds,
					1000*(processorTime()-cpu).Seconds()/entrySeconds)
				kept := c.end()
				c.change()
				c.change()
				c.waitForTeams(c.names()...)
				c.log.Lose(kept)
				calls, begin := c.logCalls.Load(), time.Now()
				c.change()
				g.Eventually(c.disagreement).WithTimeout(applyDeadline).WithPolling(100 * time.Millisecond).Should(BeEmpty())
				t.Logf("%d entries after a loss: agreed after %s and %.1f log reads an entry", size, time.Since(begin), float64(c.logCalls.Load()-calls)/float64(size))
			})
		})
	}
}
