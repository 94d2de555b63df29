package hosted

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// countAt returns how many requests a plain target has executed.
func (r *executionCounts) countAt(target string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byTarget[target]
}

// Guards against entries, also those started during an evacuation, that send work to the zone, and
// against targets that get no work afterwards. The order to evacuate has the platform's format.
func TestAnEvacuatedZoneGetsNoWorkFromAnyEntry(t *testing.T) {
	g := NewWithT(t)
	f, load, end := startWithLoad(t)
	evacuated := f.plainTargets[1].ID
	g.Eventually(func() int { return f.executions.countAt(evacuated) }, "5s", "20ms").Should(BeNumerically(">", 0))

	f.store.Evacuate(plainTargetZones[1], true)
	time.Sleep(configApplyTimeout)
	executed := f.executions.countAt(evacuated)
	g.Expect(f.startEntry(entryCount)).To(Succeed())
	time.Sleep(configApplyTimeout)
	g.Expect(f.executions.countAt(evacuated)).To(Equal(executed))

	f.store.Evacuate(plainTargetZones[1], false)
	g.Eventually(func() int { return f.executions.countAt(evacuated) }, "5s", "20ms").Should(BeNumerically(">", executed))
	end()
	stats := load.takeStats()
	g.Expect(stats.LogsAnswered).To(Equal(stats.Logs), "the target outside the evacuated zone has capacity for all log entries")
}
