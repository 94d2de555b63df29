package gateway

import (
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/placing"
)

// Guards against rates that are named, changed or ended and that no entry takes note of.
func TestTheRateThatATargetNamesIsNoted(t *testing.T) {
	g := NewWithT(t)
	fields := []string{"Rate: 1.5\r\n", "Rate: much\r\n", "Rate: 0.5\r\n", ""}
	answered := 0
	target := startTarget(t, "i1", func(w net.Conn, r *http.Request) bool {
		answered++
		return reply(w, r, http.StatusOK, sealed+fields[answered-1], "ok")
	})
	f := startFleet(t, "plain", target)
	known := f.gw.knowledge.view().targets["plain"][0]
	for _, rate := range []float64{1.5, 1.5, 0.5, placing.Unlimited} {
		_, _, err := f.ask("POST", "/once/x", "k1", "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(f.gw.book.RateOf(known)).To(Equal(rate))
	}
}
