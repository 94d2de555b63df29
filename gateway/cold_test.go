package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// Guards against a cold target that gets requests at more than its cold rate.
func TestColdTargetStaysWithinColdRate(t *testing.T) {
	g := NewWithT(t)
	const rate = 4.0
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, "x") })
	config := testConfig()
	config.Services[1].ColdRate = rate
	store := new(memStore)
	store.put(serving.TopicConfig, "config", config)
	store.put(serving.TopicTargets, "i1", serving.Target{Service: "plain", Address: target.addr, DataCentre: "a", ColdRemaining: 3 * time.Second})
	e := startEntry(t, "gw", store)
	g.Eventually(e.gw.Ready, "5s", "5ms").Should(BeTrue())
	start, refused := time.Now(), 0
	for time.Since(start) < 2*time.Second {
		resp, _, err := e.request("POST", "/once/x", "k1", "", "Left", "100")
		g.Expect(err).NotTo(HaveOccurred())
		if resp.StatusCode == 503 {
			refused++
			g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		}
	}
	g.Expect(refused).To(BeNumerically(">", 0))
	g.Expect(len(target.received())).To(And(BeNumerically(">=", 4), BeNumerically("<=", 2*rate+1)))
	g.Eventually(func() int {
		resp, _, err := e.request("POST", "/once/x", "k1", "", "Left", "100")
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}, "5s", "5ms").Should(Equal(200))
}
