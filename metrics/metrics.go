// Package metrics collects the counters, gauges and histograms of a process with tally
// and writes them in the Prometheus text format.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/heatherrail/heatherrail/result"
)

// Set holds the metrics of one process. It is safe for concurrent use.
type Set struct {
	scope         tally.TestScope
	results       sync.Map // counter of each result: tally.Counter by result.Code
	firstToken    tally.Histogram
	betweenTokens tally.Histogram
}

// Bucket bounds of the histograms. They include the users' objectives for the 95th
// percentile: first token within 0.76 s and 49 ms between tokens.
var (
	firstTokenBounds = tally.DurationBuckets{
		10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
		200 * time.Millisecond, 400 * time.Millisecond, 760 * time.Millisecond, 1500 * time.Millisecond,
		3 * time.Second, 10 * time.Second, 30 * time.Second,
	}
	betweenTokensBounds = tally.DurationBuckets{
		2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
		35 * time.Millisecond, 49 * time.Millisecond, 75 * time.Millisecond, 150 * time.Millisecond,
		500 * time.Millisecond, 2 * time.Second, 10 * time.Second,
	}
)

// New returns an empty set. It uses tally's test scope, which has no reporter and keeps
// running totals, because an endpoint that collectors poll must return totals.
func New() *Set {
	scope := tally.NewTestScope("heatherrail", nil)
	return &Set{
		scope:         scope,
		firstToken:    scope.Histogram("first_token_seconds", firstTokenBounds),
		betweenTokens: scope.Histogram("between_tokens_seconds", betweenTokensBounds),
	}
}

// FirstToken records the time from the arrival of a request to its first token.
func (s *Set) FirstToken(d time.Duration) { s.firstToken.RecordDuration(d) }

// BetweenTokens records the time between two consecutive tokens.
func (s *Set) BetweenTokens(d time.Duration) { s.betweenTokens.RecordDuration(d) }

// CountResult counts one finished request by its result code.
func (s *Set) CountResult(c result.Code) {
	counter, ok := s.results.Load(c)
	if !ok {
		counter, _ = s.results.LoadOrStore(c, s.scope.Tagged(map[string]string{"reason": c.Info().Name}).Counter("results_total"))
	}
	counter.(tally.Counter).Inc(1)
}

// CountRetry counts one retry by the result code of the failed attempt.
func (s *Set) CountRetry(c result.Code) {
	s.scope.Tagged(map[string]string{"reason": c.Info().Name}).Counter("retries_total").Inc(1)
}

// Count adds n to the counter with the given name.
func (s *Set) Count(name string, n int64) { s.scope.Counter(name).Inc(n) }

// Gauge sets the value of the gauge with the given name.
func (s *Set) Gauge(name string, v float64) { s.scope.Gauge(name).Update(v) }

// Write writes the current values of all metrics as sorted text lines.
func (s *Set) Write(w io.Writer) error {
	snap := s.scope.Snapshot()
	var lines []string
	for _, c := range snap.Counters() {
		lines = append(lines, formatLine(c.Name(), c.Tags(), fmt.Sprint(c.Value())))
	}
	for _, g := range snap.Gauges() {
		lines = append(lines, formatLine(g.Name(), g.Tags(), fmt.Sprint(g.Value())))
	}
	for _, h := range snap.Histograms() {
		lines = append(lines, formatHistogram(h.Name(), h.Tags(), h.Durations())...)
	}
	slices.Sort(lines)
	if _, err := io.WriteString(w, strings.Join(lines, "")); err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

// formatHistogram returns the lines of a histogram. Bucket counts are cumulative, as
// the text format requires.
func formatHistogram(name string, tags map[string]string, counts map[time.Duration]int64) []string {
	bounds := slices.Sorted(maps.Keys(counts))
	var lines []string
	total := int64(0)
	for _, bound := range bounds {
		total += counts[bound]
		le := "+Inf"
		if bound < math.MaxInt64 {
			le = strconv.FormatFloat(bound.Seconds(), 'g', -1, 64)
		}
		withBound := maps.Clone(tags)
		if withBound == nil {
			withBound = make(map[string]string)
		}
		withBound["le"] = le
		lines = append(lines, formatLine(name+"_bucket", withBound, strconv.FormatInt(total, 10)))
	}
	return append(lines, formatLine(name+"_count", tags, strconv.FormatInt(total, 10)))
}

// formatLine formats one sample with its labels in sorted order.
func formatLine(name string, tags map[string]string, value string) string {
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
