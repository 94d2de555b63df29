package placing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

var limitedRun = serving.Run{ID: "i1", StartedAtMS: 7}

func timeBounds(earliest, latest int) TimeBounds {
	start := time.Unix(1000, 0)
	return TimeBounds{Earliest: start.Add(time.Duration(earliest) * time.Second), Latest: start.Add(time.Duration(latest) * time.Second)}
}

// A response or gossip that arrives late must not remove or raise a newer rate limit.
func TestStaleResponseDoesNotRaiseRateLimit(t *testing.T) {
	g := NewWithT(t)
	limits := newStatements()
	report := func(rate float64, bounds TimeBounds) RateLimitUpdate {
		return limits.update(RateLimit{Run: limitedRun, Rate: rate}, bounds, bounds.Latest)
	}
	unchanged, propagated, orderUnknown := RateLimitUpdate{}, RateLimitUpdate{Propagate: true}, RateLimitUpdate{OrderUnknown: true}
	g.Expect(report(Unlimited, timeBounds(0, 1))).To(Equal(unchanged))
	g.Expect(report(2, timeBounds(1, 3))).To(Equal(propagated))
	g.Expect(report(Unlimited, timeBounds(2, 4))).To(Equal(orderUnknown), "sent before the rate limit was reported")
	g.Expect(report(5, timeBounds(2, 4))).To(Equal(orderUnknown))
	g.Expect(report(1, timeBounds(2, 5))).To(Equal(propagated), "lower, and may be newer")
	g.Expect(report(0.5, timeBounds(2, 4))).To(Equal(unchanged), "certainly older")
	g.Expect(limits.rate(limitedRun)).To(Equal(1.0))
	g.Expect(report(3, timeBounds(6, 7))).To(Equal(propagated))
	g.Expect(report(3.1, timeBounds(8, 9))).To(Equal(unchanged), "no significant change")
	g.Expect(limits.rate(limitedRun)).To(Equal(3.1))
	g.Expect(report(Unlimited, timeBounds(10, 11))).To(Equal(propagated))
	g.Expect(limits.rate(limitedRun)).To(Equal(float64(Unlimited)))
	g.Expect(limits.rate(serving.Run{ID: "i1", StartedAtMS: 8})).To(Equal(float64(Unlimited)), "another run of the same target")
}
