package entry

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/metrics"
)

// The owner of a group dies and its ranks stall. Agents report twice a second, the entry checks four
// times, so every other check has no new report. The stall must still be timed from the first report.
func TestStallCountsFromFirstReport(t *testing.T) {
	g := NewWithT(t)
	var s stalledRanks
	begin := time.Unix(100, 0)
	ranks := []string{"a", "b"}
	for i := range 20 {
		now := begin.Add(time.Duration(i) * ownerInterval)
		if i%2 == 0 {
			s.recordReport("b", now)
		}
		since, ok := s.stalledSince(ranks, now)
		g.Expect(ok).To(BeTrue())
		g.Expect(since).To(Equal(begin))
	}
	_, ok := s.stalledSince(ranks, begin.Add(time.Hour))
	g.Expect(ok).To(BeFalse())
	s.recordReport("a", begin.Add(time.Hour))
	since, _ := s.stalledSince(ranks, begin.Add(time.Hour))
	g.Expect(since).To(Equal(begin.Add(time.Hour)), "the earlier stall has ended")
	s.remove(ranks)
	_, ok = s.stalledSince(ranks, begin.Add(time.Hour))
	g.Expect(ok).To(BeFalse())
}

// One rank of a group does not answer, so its owner collects no loads and plans nothing. An operator
// must see that the map is behind demand, not only a count of failed collections, but not for the
// single failure that a restarted rank causes.
func TestFailedLoadCollectionsAreReported(t *testing.T) {
	g := NewWithT(t)
	lines := 0
	e := &Entry{opts: Options{Metrics: metrics.New()}, log: funcr.New(func(_, args string) {
		g.Expect(args).To(And(ContainSubstring("map does not follow demand"), ContainSubstring("oven-2 is gone")))
		lines++
	}, funcr.Options{})}
	o := &groupOwner{entry: e, group: "ovens"}
	group := &config.Group{Name: "ovens"}
	gone := errors.New("oven-2 is gone")
	for range maxLoadGaps - 1 {
		o.recordCollection(group, gone)
	}
	g.Expect(lines).To(BeZero())
	o.recordCollection(group, nil)
	o.recordCollection(group, gone)
	g.Expect(lines).To(BeZero(), "the group has reported loads in between")
	for range 2*maxLoadGaps - 1 {
		o.recordCollection(group, gone)
	}
	g.Expect(lines).To(Equal(2))
	var text bytes.Buffer
	g.Expect(e.opts.Metrics.Write(&text)).To(Succeed())
	g.Expect(text.String()).To(And(ContainSubstring("maps_behind_demand_total 2"), ContainSubstring("map_load_gaps_total 17")))
}
