package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/result"
)

// beginStop stops an entry and returns after the time during which it takes any request.
func beginStop(t *testing.T, e *testEntry) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.gw.Shutdown(context.Background())
	}()
	t.Cleanup(func() { <-done })
	NewWithT(t).Eventually(e.gw.stopping.Load, "5s", "1ms").Should(BeTrue())
	time.Sleep(e.gw.opts.ShutdownGrace * 4 / 10)
}

// An entry that had stopped for 3 s passed on streams that its own end cut off.
func TestStoppingEntryRefusesWhatItMayNotFinish(t *testing.T) {
	for _, path := range []string{"/once/x", "/idem/x", "/s/x", "/cut/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			serve := func(w net.Conn, r *http.Request) bool { return reply(w, r, 200, sealHeader, eventText(0)) }
			target := startTarget(t, "i1", serve)
			service := "plain"
			if path == "/s/x" || path == "/cut/x" {
				service = "llm"
			}
			e := startEntryWithTargets(t, service, target)
			beginStop(t, e)
			resp, text, err := e.request("POST", path, "k1", "x")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
			g.Expect(text).To(Equal(result.EntryLeaving.Info().Name + "\n"))
			g.Expect(resp.Header.Get("Retry-After")).To(Equal("0.020"))
			g.Expect(target.received()).To(BeEmpty())

			resp, _, err = e.request("POST", path, "k1", "x", "Left", "300")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK), "done before the entry ends")
		})
	}
}

// A request that waited for a target when the entry stopped was passed on late in the grace and cut off.
func TestStoppingEntryRefusesWhatStillWaits(t *testing.T) {
	for service, path := range restPaths() {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			target := startRestingTarget(t, "i1", 1500*time.Millisecond)
			e := startEntryWithQueue(t, service, target.testTarget)
			first := make(chan struct{})
			go func() {
				defer close(first)
				_, _, _ = e.request("POST", path, "k1", "x", "Left", "300")
			}()
			g.Eventually(target.received, "5s", "1ms").Should(HaveLen(1))
			target.setRest(0)
			<-first
			refusedAfter := make(chan time.Duration, 1)
			sentAt := time.Now()
			go func() {
				resp, text, err := e.request("POST", path, "k1", "x")
				if err == nil && resp.StatusCode == http.StatusServiceUnavailable && text == result.EntryLeaving.Info().Name+"\n" {
					refusedAfter <- time.Since(sentAt)
				}
				close(refusedAfter)
			}()
			g.Eventually(e.gw.inFlight.Load, "5s", "1ms").Should(BeEquivalentTo(1))
			beginStop(t, e)
			g.Expect(<-refusedAfter).NotTo(BeZero(), "refused as not run")
			g.Expect(target.received()).To(HaveLen(1))
		})
	}
}
