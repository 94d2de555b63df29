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

// evacuatedAt tells whether an entry sends nothing to a target because of its data centre.
func evacuatedAt(gw *Gateway, id string) func() bool {
	return func() bool {
		for _, list := range gw.knowledge.view().targets {
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
	away := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealed, "x") })
	busy := startTarget(t, "i2", func(w net.Conn, r *http.Request) bool { return reply(w, r, 503, "Not-Run: yes\r\n", "") })
	f := startFleet(t, "plain", busy)
	f.store.put(serving.TopicTargets, away.id, serving.Target{Service: "plain", Address: away.addr, DataCentre: "b"})
	g.Eventually(func() int { return len(f.gw.knowledge.view().targets["plain"]) }, "5s", "5ms").Should(Equal(2))

	f.store.put(serving.TopicConfig, "away-from-b", map[string]int{})
	g.Eventually(evacuatedAt(f.gw, "i1"), "5s", "5ms").Should(BeTrue())
	for range 10 {
		resp, _, err := f.ask("GET", "/idem/x", "k1", "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(503))
	}
	g.Expect(away.arrivals()).To(BeEmpty())

	f.store.put(serving.TopicConfig, "away-from-b", nil)
	g.Eventually(evacuatedAt(f.gw, "i1"), "5s", "5ms").Should(BeFalse())
	g.Eventually(func() int {
		resp, _, err := f.ask("GET", "/idem/x", "k1", "")
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}, "5s", "5ms").Should(Equal(200))
}

// Guards against an order that an entry misses for good, given while it was cut off from the store
// or before it started.
func TestAnEvacuationReachesEntriesThatDidNotReadIt(t *testing.T) {
	g := NewWithT(t)
	k, late := testKnowledge(), testKnowledge()
	now := time.Now()
	config := `{"Version":7,"Services":[{"Name":"plain"}]}`
	k.newest(serving.TopicConfig, []serving.Record{targetRecord(1, "config", config), targetRecord(2, "away-from-b", "{}")}, 3, now)
	k.newest(serving.TopicTargets, []serving.Record{targetRecord(1, "i1", `{"Service":"plain","Address":"a","DataCentre":"b"}`)}, 2, now)
	for _, topic := range []serving.Topic{serving.TopicConfig, serving.TopicTargets} {
		late.adopt(topic, k.since(topic, 0), now)
	}
	g.Expect(late.view().targets["plain"][0].Evacuated).To(BeTrue())

	// It is withdrawn while the late entry hears nothing; the store keeps only the newest records
	// by then.
	k.newest(serving.TopicConfig, []serving.Record{targetRecord(1, "config", config)}, 5, now)
	g.Expect(k.view().targets["plain"][0].Evacuated).To(BeFalse())
	next, _ := late.position(serving.TopicConfig)
	late.adopt(serving.TopicConfig, k.since(serving.TopicConfig, next), now)
	g.Expect(late.view().targets["plain"][0].Evacuated).To(BeFalse())
}

// Guards against orders that can't be read, or name a data centre without targets, and change what
// the entry does.
func TestAnEvacuationThatMakesNoSenseChangesNothing(t *testing.T) {
	g := NewWithT(t)
	k := testKnowledge()
	now := time.Now()
	k.newest(serving.TopicConfig, []serving.Record{targetRecord(1, "config", `{"Version":7,"Services":[{"Name":"plain"}]}`)}, 2, now)
	k.newest(serving.TopicTargets, []serving.Record{targetRecord(1, "i1", `{"Service":"plain","Address":"a","DataCentre":"b"}`)}, 2, now)
	for i, rec := range []serving.Record{targetRecord(2, "away-from-b", "\x00"), targetRecord(3, "away-from-c", "{}"), targetRecord(4, "away-from-b", "")} {
		k.changes(serving.TopicConfig, []serving.Record{rec}, uint64(i+3), now)
		g.Expect(k.view().targets["plain"][0].Evacuated).To(BeFalse(), fmt.Sprint(rec))
	}
	g.Expect(k.view().index.Version).To(Equal(uint64(7)))
}

// Guards against requests that wait at a gate for targets none of which may get work.
func TestNobodyWaitsForAServiceThatIsEvacuated(t *testing.T) {
	g := NewWithT(t)
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealed, "x") })
	config := testConfig()
	config.Services[0].Engine = &serving.EngineModel{Slots: 4, LayerSets: 2}
	store := new(memStore)
	store.put(serving.TopicConfig, "config", config)
	store.put(serving.TopicConfig, "away-from-a", map[string]int{})
	store.put(serving.TopicTargets, "i1", serving.Target{Service: "llm", Address: target.addr, DataCentre: "a"})
	f := startGateway(t, "gw", store)
	g.Eventually(func() bool { return f.gw.Ready() && evacuatedAt(f.gw, "i1")() }, "5s", "5ms").Should(BeTrue())
	begun := time.Now()
	resp, _, err := f.ask("POST", "/s/x", "k1", "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	g.Expect(target.arrivals()).To(BeEmpty())
}
