package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The owner of a group dies and its ranks stand; their agents say so twice a
// second, and this entry looks four times a second. It must count the time from
// the first report on, though it sees none in every other look.
func TestStuckRanksAreCountedFromTheFirstReport(t *testing.T) {
	g := NewWithT(t)
	var s stuckRanks
	begin := time.Unix(100, 0)
	ranks := []string{"a", "b"}
	for i := range 20 {
		now := begin.Add(time.Duration(i) * ownerTick)
		if i%2 == 0 {
			s.heard("b", now)
		}
		since, ok := s.since(ranks, now)
		g.Expect(ok).To(BeTrue())
		g.Expect(since).To(Equal(begin))
	}
	_, ok := s.since(ranks, begin.Add(time.Hour))
	g.Expect(ok).To(BeFalse())
	s.heard("a", begin.Add(time.Hour))
	since, _ := s.since(ranks, begin.Add(time.Hour))
	g.Expect(since).To(Equal(begin.Add(time.Hour)), "an earlier stand is over")
	s.forget(ranks)
	_, ok = s.since(ranks, begin.Add(time.Hour))
	g.Expect(ok).To(BeFalse())
}
