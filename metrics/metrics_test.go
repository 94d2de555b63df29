package metrics_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/result"
)

func TestResultsAndRetriesAreCountedByName(t *testing.T) {
	g := NewWithT(t)
	s := metrics.New()
	for _, info := range result.All() {
		s.CountResult(info.Code)
		s.CountResult(info.Code)
		s.CountRetry(info.Code)
	}
	s.FirstToken(300 * time.Millisecond)
	s.FirstToken(700 * time.Millisecond)
	s.FirstToken(time.Hour)
	s.Gauge("targets_linked", 3)
	var b strings.Builder
	g.Expect(s.Write(&b)).To(Succeed())
	for _, info := range result.All() {
		g.Expect(b.String()).To(ContainSubstring(`heatherrail_results_total{reason="` + info.Name + `"} 2` + "\n"))
		g.Expect(b.String()).To(ContainSubstring(`heatherrail_retries_total{reason="` + info.Name + `"} 1` + "\n"))
	}
	for _, line := range []string{
		`heatherrail_first_token_seconds_bucket{le="0.2"} 0`,
		`heatherrail_first_token_seconds_bucket{le="0.4"} 1`,
		`heatherrail_first_token_seconds_bucket{le="0.76"} 2`,
		`heatherrail_first_token_seconds_bucket{le="30"} 2`,
		`heatherrail_first_token_seconds_bucket{le="+Inf"} 3`,
		`heatherrail_first_token_seconds_count 3`,
		`heatherrail_targets_linked 3`,
	} {
		g.Expect(b.String()).To(ContainSubstring(line + "\n"))
	}
}

func TestServerServesMetrics(t *testing.T) {
	g := NewWithT(t)
	s := metrics.New()
	s.CountResult(result.TargetBusy)
	server, err := s.Serve("127.0.0.1:0", 4)
	g.Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	resp, err := http.Get("http://" + server.Addr() + "/metrics")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(ContainSubstring(`heatherrail_results_total{reason="target_busy"} 1`))
}
