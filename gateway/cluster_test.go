package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// An entry cannot reach the store and knows a peer only by its presence record. It must get the
// configuration, the targets and all later changes from that peer.
func TestEntryWithoutStoreGetsTopicsFromPeer(t *testing.T) {
	g := NewWithT(t)
	store := new(memStore)
	store.put(serving.TopicConfig, "config", testConfig())
	store.put(serving.TopicTargets, "i1", serving.Target{Service: "plain", Address: "127.0.0.1:1"})
	connected := startEntry(t, "a", store)
	g.Eventually(connected.gw.Ready, "5s", "5ms").Should(BeTrue())

	downStore := new(memStore)
	downStore.setDown(true)
	isolated := startEntry(t, "b", downStore)
	isolated.gw.cluster.recordEntry(connected.gw.cluster.presence())
	g.Eventually(isolated.gw.Ready, "5s", "5ms").Should(BeTrue())
	g.Eventually(func() int { return len(isolated.gw.state.snapshot().targets["plain"]) }, "5s", "5ms").Should(Equal(1))

	next := testConfig()
	next.Version = 12
	next.Teams = nil
	store.put(serving.TopicConfig, "config", next)
	g.Eventually(func() uint64 { return isolated.gw.state.snapshot().index.Version }, "5s", "5ms").Should(Equal(uint64(12)))
	g.Eventually(func() []string { return connected.gw.Entries("a").Addresses }, "5s", "5ms").Should(HaveLen(2))
}
