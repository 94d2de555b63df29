package hosted

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/platform/standin"
)

// storeOutage is the time for which the store is away before it comes back from an older copy.
const storeOutage = 300 * time.Millisecond

// restoreStore makes the store come back from a copy as of an earlier time. The returned function
// makes the operator write its lost records again.
func (f *Fleet) restoreStore(asOf time.Time) (rewrite func()) {
	f.store.SetFaults(standin.StoreFaults{Down: true})
	time.Sleep(storeOutage)
	rewrite = f.store.Restore(asOf)
	f.store.SetFaults(standin.StoreFaults{})
	return rewrite
}

// allServeAddedRoute returns a function that reports whether all entries serve the added route.
func (f *Fleet) allServeAddedRoute(load *loadGenerator) func() bool {
	return func() bool {
		for _, vm := range f.entries {
			if !vm.crashed && !load.servesAddedRoute(vm) {
				return false
			}
		}
		return true
	}
}

// Guards against entries that pass over a configuration, since the store has given its offset out
// before it came back from an older copy.
func TestConfigurationWrittenAfterARestoreComesIntoForce(t *testing.T) {
	g := NewWithT(t)
	f, load, end := startWithLoad(t)
	copied := time.Now()
	for n := range 6 {
		f.store.Evacuate(fmt.Sprintf("elsewhere-%d", n), true)
	}
	time.Sleep(configApplyTimeout)
	f.restoreStore(copied)
	f.store.PutConfig(f.config(2))
	g.Eventually(f.allServeAddedRoute(load), configApplyTimeout, "20ms").Should(BeTrue())
	end()
	stats := load.takeStats()
	g.Expect(stats.DraftsComplete).To(Equal(stats.Drafts))
	g.Expect(stats.LogsAnswered).To(Equal(stats.Logs))
}

// Guards against entries that go back to the configuration of an older copy, and against an entry
// that starts with it, until the operator has written the lost one again.
func TestRestoredStoreRevertsNoConfiguration(t *testing.T) {
	g := NewWithT(t)
	f, load, end := startWithLoad(t)
	copied := time.Now()
	f.store.PutConfig(f.config(2))
	g.Eventually(f.allServeAddedRoute(load), configApplyTimeout, "20ms").Should(BeTrue())
	rewrite := f.restoreStore(copied)
	g.Expect(f.startEntry(entryCount)).To(Succeed())
	g.Eventually(f.allServeAddedRoute(load), configApplyTimeout, "20ms").Should(BeTrue())
	g.Consistently(f.allServeAddedRoute(load), 2*configApplyTimeout, "50ms").Should(BeTrue())
	rewrite()
	g.Consistently(f.allServeAddedRoute(load), configApplyTimeout, "50ms").Should(BeTrue())
	end()
	stats := load.takeStats()
	g.Expect(stats.LogsAnswered).To(Equal(stats.Logs))
}

// Guards against entries whose lost records nobody writes again: an entry that starts later would
// find none of them.
func TestEntriesRegisterAgainAfterARestore(t *testing.T) {
	g := NewWithT(t)
	beforeStart := time.Now()
	f, _, end := startWithLoad(t)
	defer end()
	g.Eventually(f.store.EntryRecords, "5s", "20ms").Should(HaveLen(entryCount))
	f.restoreStore(beforeStart)
	g.Expect(f.store.EntryRecords()).To(BeEmpty())
	g.Eventually(f.store.EntryRecords, "10s", "20ms").Should(HaveLen(entryCount))
}
