package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// leavingTarget states in its responses that it leaves, once leaving is set.
type leavingTarget struct {
	*testTarget
	leaving atomic.Bool
}

func startLeavingTarget(t *testing.T, id string) *leavingTarget {
	target := new(leavingTarget)
	target.testTarget = startTarget(t, id, func(w net.Conn, r *http.Request) bool {
		fields := sealHeader
		if target.leaving.Load() {
			fields += "Leaving: yes\r\n"
		}
		return reply(w, r, http.StatusOK, fields, eventText(0))
	})
	return target
}

// Guards against requests that reach a target after an entry has read in one of its responses that
// it leaves, while the store still lists it as ready and cannot be reached.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	t.Parallel()
	for service, path := range restPaths() {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			target, other := startLeavingTarget(t, "i1"), startLeavingTarget(t, "i2")
			e := startEntryWithQueue(t, service, target.testTarget, other.testTarget)
			send := func() {
				resp, _, err := e.request("POST", path, "k1", "")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(http.StatusOK), "the other target stays")
			}
			e.store.setDown(true)
			target.leaving.Store(true)
			known := len(target.received())
			g.Eventually(func() int {
				send()
				return len(target.received())
			}, "5s", "5ms").Should(BeNumerically(">", known))
			time.Sleep(e.gw.opts.DrainTimeout)
			known = len(target.received())
			for range 40 {
				send()
			}
			g.Expect(target.received()).To(HaveLen(known))
		})
	}
}

// Guards against entries that go on sending to a target that has said only to another entry that it
// leaves, while no entry reaches the store, and against an entry that starts then.
func TestStatementThatTargetLeavesReachesAllEntries(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	target, other := startLeavingTarget(t, "i1"), startLeavingTarget(t, "i2")
	c := startRateLimitCluster(t, 2, "plain", target.testTarget, other.testTarget)
	c.store.setDown(true)
	target.leaving.Store(true)
	first, second := c.entries[0], c.entries[1]
	known := len(target.received())
	g.Eventually(func() int {
		_, _, err := first.request("POST", "/once/x", "k1", "")
		g.Expect(err).NotTo(HaveOccurred())
		return len(target.received())
	}, "5s", "5ms").Should(BeNumerically(">", known))
	c.store.setDown(false)
	third := startEntry(t, "gw9", c.store)
	g.Eventually(third.gw.Ready, "5s", "5ms").Should(BeTrue())
	time.Sleep(first.gw.opts.DrainTimeout)
	known = len(target.received())
	for _, e := range []*testEntry{second, third} {
		for range 20 {
			resp, _, err := e.request("POST", "/once/x", "k1", "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
	}
	g.Expect(target.received()).To(HaveLen(known))
}
