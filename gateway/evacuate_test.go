package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// isEvacuatedAt tells whether an entry sends nothing to a target because of its data centre.
func isEvacuatedAt(gw *Gateway, id string) func() bool {
	return func() bool {
		for _, list := range gw.state.snapshot().targets {
			for _, target := range list {
				if target.ID == id {
					return target.Evacuated
				}
			}
		}
		return false
	}
}

// Guards against requests, first tries and later ones, that reach a data centre after the order to
// evacuate it, and against targets that stay without work after its withdrawal.
func TestAnEvacuatedDataCentreGetsNoWork(t *testing.T) {
	g := NewWithT(t)
	away := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, "x") })
	busy := startTarget(t, "i2", func(w net.Conn, r *http.Request) bool { return reply(w, r, 503, "Not-Run: yes\r\n", "") })
	f := startEntryWithTargets(t, "plain", busy)
	f.store.put(serving.TopicTargets, away.id, serving.Target{Service: "plain", Address: away.addr, DataCentre: "b"})
	g.Eventually(func() int { return len(f.gw.state.snapshot().targets["plain"]) }, "5s", "5ms").Should(Equal(2))

	f.store.put(serving.TopicConfig, "away-from-b", map[string]int{})
	g.Eventually(isEvacuatedAt(f.gw, "i1"), "5s", "5ms").Should(BeTrue())
	for range 10 {
		resp, _, err := f.request("GET", "/idem/x", "k1", "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(503))
	}
	g.Expect(away.received()).To(BeEmpty())

	f.store.put(serving.TopicConfig, "away-from-b", nil)
	g.Eventually(isEvacuatedAt(f.gw, "i1"), "5s", "5ms").Should(BeFalse())
	g.Eventually(func() int {
		resp, _, err := f.request("GET", "/idem/x", "k1", "")
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}, "5s", "5ms").Should(Equal(200))
}

// Guards against an order that an entry misses for good, given while it was cut off from the store
// or before it started.
func TestAnEvacuationReachesEntriesThatDidNotReadIt(t *testing.T) {
	g := NewWithT(t)
	k, late := testReplicaState(), testReplicaState()
	now := time.Now()
	config := `{"Version":7,"Services":[{"Name":"plain"}]}`
	k.applyNewest(serving.TopicConfig, []serving.Record{targetRecord(1, "config", config), targetRecord(2, "away-from-b", "{}")}, 3, now)
	k.applyNewest(serving.TopicTargets, []serving.Record{targetRecord(1, "i1", `{"Service":"plain","Address":"a","DataCentre":"b"}`)}, 2, now)
	for _, topic := range []serving.Topic{serving.TopicConfig, serving.TopicTargets} {
		late.applyPeerUpdate(topic, k.updateSince(topic, 0), now)
	}
	g.Expect(late.snapshot().targets["plain"][0].Evacuated).To(BeTrue())

	// It is withdrawn while the late entry hears nothing; the store keeps only the newest records
	// by then.
	k.applyNewest(serving.TopicConfig, []serving.Record{targetRecord(1, "config", config)}, 5, now)
	g.Expect(k.snapshot().targets["plain"][0].Evacuated).To(BeFalse())
	next, _ := late.readOffset(serving.TopicConfig)
	late.applyPeerUpdate(serving.TopicConfig, k.updateSince(serving.TopicConfig, next), now)
	g.Expect(late.snapshot().targets["plain"][0].Evacuated).To(BeFalse())
}

// Guards against orders that can't be read, or name a data centre without targets, and change what
// the entry does.
func TestAnEvacuationThatMakesNoSenseChangesNothing(t *testing.T) {
	g := NewWithT(t)
	k := testReplicaState()
	now := time.Now()
	k.applyNewest(serving.TopicConfig, []serving.Record{targetRecord(1, "config", `{"Version":7,"Services":[{"Name":"plain"}]}`)}, 2, now)
	k.applyNewest(serving.TopicTargets, []serving.Record{targetRecord(1, "i1", `{"Service":"plain","Address":"a","DataCentre":"b"}`)}, 2, now)
	for i, rec := range []serving.Record{targetRecord(2, "away-from-b", "\x00"), targetRecord(3, "away-from-c", "{}"), targetRecord(4, "away-from-b", "")} {
		k.applyChanges(serving.TopicConfig, []serving.Record{rec}, uint64(i+3), now)
		g.Expect(k.snapshot().targets["plain"][0].Evacuated).To(BeFalse(), fmt.Sprint(rec))
	}
	g.Expect(k.snapshot().index.Version).To(Equal(uint64(7)))
}

// Guards against requests that wait at a gate for targets none of which may get work.
func TestNobodyWaitsForAServiceThatIsEvacuated(t *testing.T) {
	g := NewWithT(t)
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, "x") })
	config := testConfig()
	config.Services[0].Engine = &serving.EngineModel{Slots: 4, LayerSets: 2}
	store := new(memStore)
	store.put(serving.TopicConfig, "config", config)
	store.put(serving.TopicConfig, "away-from-a", map[string]int{})
	store.put(serving.TopicTargets, "i1", serving.Target{Service: "llm", Address: target.addr, DataCentre: "a"})
	f := startEntry(t, "gw", store)
	g.Eventually(func() bool { return f.gw.Ready() && isEvacuatedAt(f.gw, "i1")() }, "5s", "5ms").Should(BeTrue())
	begun := time.Now()
	resp, _, err := f.request("POST", "/s/x", "k1", "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	g.Expect(target.received()).To(BeEmpty())
}
