package hosted

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// ranAt returns how many requests have run at a plain target.
func (r *runs) ranAt(target string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byTarget[target]
}

// Guards against an order to evacuate, in the platform's words, that an entry does not keep, one
// that starts while it is in force among them, and against targets that get no work after it.
func TestAnEvacuatedZoneGetsNoWorkFromAnyEntry(t *testing.T) {
	g := NewWithT(t)
	f, c, end := startWithCallers(t)
	away := f.plain[1].ID
	g.Eventually(func() int { return f.books.ranAt(away) }, "5s", "20ms").Should(BeNumerically(">", 0))

	f.store.Evacuate(plainZones[1], true)
	time.Sleep(configApply)
	ran := f.books.ranAt(away)
	g.Expect(f.startEntry(entryVMs)).To(Succeed())
	time.Sleep(configApply)
	g.Expect(f.books.ranAt(away)).To(Equal(ran))

	f.store.Evacuate(plainZones[1], false)
	g.Eventually(func() int { return f.books.ranAt(away) }, "5s", "20ms").Should(BeNumerically(">", ran))
	end()
	tally := c.take()
	g.Expect(tally.LogsAnswered).To(Equal(tally.Logs), "the other target has room")
}
