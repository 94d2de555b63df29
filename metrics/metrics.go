// Package metrics keeps tally counters and writes them in the text format that
// metric collectors read.
package metrics

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/uber-go/tally/v4"

	"github.com/heatherrail/heatherrail/result"
)

// Set is the metrics of one process.
type Set struct {
	scope tally.TestScope
}

// New returns an empty set. tally's scope without a reporter keeps running
// totals, which is what a pulled endpoint needs.
func New() *Set {
	return &Set{scope: tally.NewTestScope("heatherrail", nil)}
}

// Scope returns the scope to count in.
func (s *Set) Scope() tally.Scope { return s.scope }

// Result counts one outcome of a request.
func (s *Set) Result(c result.Code) {
	s.scope.Tagged(map[string]string{"reason": c.Info().Name}).Counter("results_total").Inc(1)
}

// Retry counts one retry by the reason of the failed try.
func (s *Set) Retry(c result.Code) {
	s.scope.Tagged(map[string]string{"reason": c.Info().Name}).Counter("retries_total").Inc(1)
}

// Count adds to a counter.
func (s *Set) Count(name string, n int64) { s.scope.Counter(name).Inc(n) }

// Gauge sets a gauge.
func (s *Set) Gauge(name string, v float64) { s.scope.Gauge(name).Update(v) }

// Write writes all counters and gauges, sorted, one a line.
func (s *Set) Write(w io.Writer) error {
	snap := s.scope.Snapshot()
	var lines []string
	for _, c := range snap.Counters() {
		lines = append(lines, line(c.Name(), c.Tags(), fmt.Sprint(c.Value())))
	}
	for _, g := range snap.Gauges() {
		lines = append(lines, line(g.Name(), g.Tags(), fmt.Sprint(g.Value())))
	}
	slices.Sort(lines)
	if _, err := io.WriteString(w, strings.Join(lines, "")); err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

func line(name string, tags map[string]string, value string) string {
	name = strings.ReplaceAll(name, ".", "_")
	if len(tags) == 0 {
		return name + " " + value + "\n"
	}
	parts := make([]string, 0, len(tags))
	for k, v := range tags {
		parts = append(parts, fmt.Sprintf("%s=%q", k, v))
	}
	slices.Sort(parts)
	return name + "{" + strings.Join(parts, ",") + "} " + value + "\n"
}
