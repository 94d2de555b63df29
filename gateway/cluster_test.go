package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// The store serves one entry and turns the other away, which has never read
// anything. Both know of each other from an earlier record. The second learns the
// configuration and the targets from the first, and each change after that.
func TestAnEntryWithoutTheStoreLearnsFromItsPeer(t *testing.T) {
	g := NewWithT(t)
	store := new(memStore)
	store.put(serving.TopicConfig, "config", testConfig())
	store.put(serving.TopicTargets, "i1", serving.Target{Service: "plain", Address: "127.0.0.1:1"})
	served := startEntry(t, "a", store)
	g.Eventually(served.gw.Ready, "5s", "5ms").Should(BeTrue())

	away := new(memStore)
	away.setDown(true)
	cut := startEntry(t, "b", away)
	cut.gw.cluster.recordEntry(served.gw.cluster.presence())
	g.Eventually(cut.gw.Ready, "5s", "5ms").Should(BeTrue())
	g.Eventually(func() int { return len(cut.gw.state.snapshot().targets["plain"]) }, "5s", "5ms").Should(Equal(1))

	next := testConfig()
	next.Version = 12
	next.Teams = nil
	store.put(serving.TopicConfig, "config", next)
	g.Eventually(func() uint64 { return cut.gw.state.snapshot().index.Version }, "5s", "5ms").Should(Equal(uint64(12)))
	g.Eventually(func() []string { return served.gw.Entries("a").Addresses }, "5s", "5ms").Should(HaveLen(2))
}
