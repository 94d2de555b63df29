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

// isEvacuatedAt returns a function that reports whether an entry has marked a target as evacuated.
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

// Guards against requests, first attempts or retries, that reach an evacuated data centre, and
// against targets that stay without requests after the evacuation order is withdrawn.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	g := NewWithT(t)
	evacuated := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, "x") })
	busy := startTarget(t, "i2", func(w net.Conn, r *http.Request) bool { return reply(w, r, 503, "Not-Run: yes\r\n", "") })
	e := startEntryWithTargets(t, "plain", busy)
	e.store.put(serving.TopicTargets, evacuated.id, serving.Target{Service: "plain", Address: evacuated.addr, DataCentre: "b"})
	g.Eventually(func() int { return len(e.gw.state.snapshot().targets["plain"]) }, "5s", "5ms").Should(Equal(2))

	e.store.put(serving.TopicConfig, "away-from-b", map[string]int{})
	g.Eventually(isEvacuatedAt(e.gw, "i1"), "5s", "5ms").Should(BeTrue())
	for range 10 {
		resp, _, err := e.request("GET", "/idem/x", "k1", "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(503))
	}
	g.Expect(evacuated.received()).To(BeEmpty())

	e.store.put(serving.TopicConfig, "away-from-b", nil)
	g.Eventually(isEvacuatedAt(e.gw, "i1"), "5s", "5ms").Should(BeFalse())
	g.Eventually(func() int {
		resp, _, err := e.request("GET", "/idem/x", "k1", "")
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}, "5s", "5ms").Should(Equal(200))
}

// Guards against an evacuation order that never reaches an entry because the entry had no access to
// the store, or was not started yet, when the order was given.
func TestEvacuationReachesEntriesThroughPeers(t *testing.T) {
	g := NewWithT(t)
	s, lagging := testReplicaState(), testReplicaState()
	now := time.Now()
	config := `{"Version":7,"Services":[{"Name":"plain"}]}`
	s.applyNewest(serving.TopicConfig, []serving.Record{targetRecord(1, "config", config), targetRecord(2, "away-from-b", "{}")}, 3, now)
	s.applyNewest(serving.TopicTargets, []serving.Record{targetRecord(1, "i1", `{"Service":"plain","Address":"a","DataCentre":"b"}`)}, 2, now)
	for _, topic := range []serving.Topic{serving.TopicConfig, serving.TopicTargets} {
		lagging.applyPeerUpdate(topic, s.updateSince(topic, 0, 0), now)
	}
	g.Expect(lagging.snapshot().targets["plain"][0].Evacuated).To(BeTrue())

	// The order is withdrawn while the lagging entry receives no updates. Afterwards the store
	// contains only the newest records.
	s.applyNewest(serving.TopicConfig, []serving.Record{targetRecord(1, "config", config)}, 5, now)
	g.Expect(s.snapshot().targets["plain"][0].Evacuated).To(BeFalse())
	next, _ := lagging.readOffset(serving.TopicConfig)
	lagging.applyPeerUpdate(serving.TopicConfig, s.updateSince(serving.TopicConfig, next, 0), now)
	g.Expect(lagging.snapshot().targets["plain"][0].Evacuated).To(BeFalse())
}

// Guards against effects of an evacuation order that is invalid or names a data centre without
// targets.
func TestInvalidEvacuationChangesNothing(t *testing.T) {
	g := NewWithT(t)
	s := testReplicaState()
	now := time.Now()
	s.applyNewest(serving.TopicConfig, []serving.Record{targetRecord(1, "config", `{"Version":7,"Services":[{"Name":"plain"}]}`)}, 2, now)
	s.applyNewest(serving.TopicTargets, []serving.Record{targetRecord(1, "i1", `{"Service":"plain","Address":"a","DataCentre":"b"}`)}, 2, now)
	for i, rec := range []serving.Record{targetRecord(2, "away-from-b", "\x00"), targetRecord(3, "away-from-c", "{}"), targetRecord(4, "away-from-b", "")} {
		s.applyChanges(serving.TopicConfig, []serving.Record{rec}, uint64(i+3), now)
		g.Expect(s.snapshot().targets["plain"][0].Evacuated).To(BeFalse(), fmt.Sprint(rec))
	}
	g.Expect(s.snapshot().index.Version).To(Equal(uint64(7)))
}

// Guards against requests that wait in the admission queue although all targets of the service
// are evacuated.
func TestRequestsForEvacuatedServiceAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, "x") })
	config := testConfig()
	config.Services[0].Engine = &serving.EngineModel{Slots: 4, LayerSets: 2}
	store := new(memStore)
	store.put(serving.TopicConfig, "config", config)
	store.put(serving.TopicConfig, "away-from-a", map[string]int{})
	store.put(serving.TopicTargets, "i1", serving.Target{Service: "llm", Address: target.addr, DataCentre: "a"})
	e := startEntry(t, "gw", store)
	g.Eventually(func() bool { return e.gw.Ready() && isEvacuatedAt(e.gw, "i1")() }, "5s", "5ms").Should(BeTrue())
	start := time.Now()
	resp, _, err := e.request("POST", "/s/x", "k1", "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	g.Expect(target.received()).To(BeEmpty())
}
