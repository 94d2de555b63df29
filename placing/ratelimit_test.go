package placing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

var limitedRun = serving.Run{ID: "i1", StartedAtMS: 7}

func at(earliest, latest int) TimeBounds {
	begin := time.Unix(1000, 0)
	return TimeBounds{Earliest: begin.Add(time.Duration(earliest) * time.Second), Latest: begin.Add(time.Duration(latest) * time.Second)}
}

// Guards against an answer or news that comes late and ends or raises a rate that is newer.
func TestALateAnswerDoesNotLoosenARate(t *testing.T) {
	g := NewWithT(t)
	l := newRateLimits()
	say := func(rate float64, s TimeBounds) RateLimitUpdate {
		return l.take(RateLimit{Run: limitedRun, Rate: rate}, s, s.Latest)
	}
	same, news, unsure := RateLimitUpdate{}, RateLimitUpdate{Propagate: true}, RateLimitUpdate{OrderUnknown: true}
	g.Expect(say(Unlimited, at(0, 1))).To(Equal(same))
	g.Expect(say(2, at(1, 3))).To(Equal(news))
	g.Expect(say(Unlimited, at(2, 4))).To(Equal(unsure), "sent before the rate was named")
	g.Expect(say(5, at(2, 4))).To(Equal(unsure))
	g.Expect(say(1, at(2, 5))).To(Equal(news), "lower, and may be newer")
	g.Expect(say(0.5, at(2, 4))).To(Equal(same), "certainly older")
	g.Expect(l.rate(limitedRun)).To(Equal(1.0))
	g.Expect(say(3, at(6, 7))).To(Equal(news))
	g.Expect(say(3.1, at(8, 9))).To(Equal(same), "hardly another rate")
	g.Expect(l.rate(limitedRun)).To(Equal(3.1))
	g.Expect(say(Unlimited, at(10, 11))).To(Equal(news))
	g.Expect(l.rate(limitedRun)).To(Equal(float64(Unlimited)))
	g.Expect(l.rate(serving.Run{ID: "i1", StartedAtMS: 8})).To(Equal(float64(Unlimited)), "another run of the same target")
}
