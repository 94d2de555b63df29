package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/result"
)

// A target ran a request and answered with a status that callers take for "not run"; the caller of a
// request that must not run twice sent it again.
func TestUnprovenPromisesAreNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		for _, c := range []struct{ method, path, service string }{
			{"POST", "/once/x", "plain"}, {"HEAD", "/once/x", "plain"}, {"POST", "/cut/x", "llm"},
			{"POST", "/idem/x", "plain"}, {"POST", "/s/x", "llm"},
		} {
			t.Run(fmt.Sprintf("%d %s %s", status, c.method, c.path), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
					body := "failed"
					if r.Method == "HEAD" {
						body = ""
					}
					return reply(w, r, status, sealHeader+"Retry-After: 1\r\n", body)
				})
				e := startEntryWithTargets(t, c.service, target)
				resp, _, err := e.request(c.method, c.path, "k1", "")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(target.received()).To(HaveLen(1))
				if c.path == "/idem/x" || c.path == "/s/x" {
					g.Expect(resp.StatusCode).To(Equal(status), "the target's own words, of a request that may be repeated")
					g.Expect(resp.Header.Get("Seal")).NotTo(BeEmpty())
					return
				}
				g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
				g.Expect(resp.Header.Get("Seal")).To(BeEmpty())
				g.Expect(resp.Header.Get("Retry-After")).To(BeEmpty())
			})
		}
	}
}

// A second attempt did not run, and the caller was told that its request did not, though the first may have.
func TestRefusalsAfterASendPromiseNothing(t *testing.T) {
	for code := range result.All() {
		refusal := result.New(result.All()[code].Code, "refused")
		if refusal.Run() != result.RunNot {
			continue
		}
		for _, lastErr := range []*result.Error{nil, result.New(result.TargetBusy, "busy"), result.New(result.TargetLost, "lost")} {
			d := &dispatch{mayHaveRunCount: 1, lastErr: lastErr}
			NewWithT(t).Expect(d.truthful(refusal).Run()).To(Equal(result.RunMaybe), "%s after %v", refusal, lastErr)
		}
	}
}

// Requests that expected another version of the weights took all targets of a service out of use for good.
func TestRejectedVersionsDoNotExcludeTargets(t *testing.T) {
	g := NewWithT(t)
	serve := func(w net.Conn, r *http.Request) bool {
		if r.Header.Get("Expect-Version") != "" {
			return reply(w, r, 421, "", "")
		}
		return reply(w, r, 200, sealHeader, "done")
	}
	var targets []*testTarget
	for _, id := range []string{"i1", "i2", "i3"} {
		targets = append(targets, startTarget(t, id, serve))
	}
	e := startEntryWithTargets(t, "plain", targets...)
	for range 20 {
		resp, _, err := e.request("POST", "/idem/x", "k1", "x", "Expect-Version", "2")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(421))
	}
	for range 6 {
		resp, _, err := e.request("POST", "/once/x", "k1", "x")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(200))
	}
	g.Expect(e.gw.state.snapshot().targets["plain"]).To(HaveLen(3))
}

// The first target did not run a request and the second one did; the status of the second was passed on as the promise of both.
func TestUnprovenPromiseOfASecondAttemptIsNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		g := NewWithT(t)
		full := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool { return reply(w, r, 503, "Not-Run: 1\r\n", "") })
		failing := startTarget(t, "i2", func(w net.Conn, r *http.Request) bool { return reply(w, r, status, sealHeader, "") })
		e := startEntryWithTargets(t, "plain", full, failing)
		for range 4 {
			resp, _, err := e.request("POST", "/once/x", "k1", "")
			g.Expect(err).NotTo(HaveOccurred())
			if resp.StatusCode != http.StatusBadGateway {
				g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable), "status %d", status)
				g.Expect(resp.Header.Get("Seal")).To(BeEmpty(), "a refusal of the entry, as only the full target was tried")
				g.Expect(len(failing.received())).To(BeZero(), "status %d", status)
			}
		}
		g.Expect(failing.received()).NotTo(BeEmpty())
	}
}
