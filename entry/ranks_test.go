package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
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
