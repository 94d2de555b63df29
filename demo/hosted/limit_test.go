package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/platform/standin"
)

const (
	// limitSettles is from when on a rate must be kept. Source: the least that the platform grants.
	limitSettles = 3 * time.Second
	limitWindow  = 4 * time.Second
)

// startWithCallers starts a system and callers; end stops the callers and waits for their answers.
func startWithCallers(t *testing.T) (f *Fleet, c *callers, end func()) {
	t.Helper()
	g := NewWithT(t)
	f, err := Start(logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.Close)
	g.Eventually(f.directory, "5s", "20ms").Should(HaveLen(entryVMs))
	c = newCallers(f)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx)
	}()
	return f, c, func() {
		cancel()
		<-done
	}
}

// Guards against a rank of a group and a plain target that name a rate in the platform's words
// and get more from all entries together.
func TestEnginesAndPlainTargetsGetNoMoreThanTheRateThatTheyName(t *testing.T) {
	g := NewWithT(t)
	f, c, end := startWithCallers(t)
	time.Sleep(2 * time.Second)
	const rate = 1.5
	f.group.Engines()[0].SetRateLimit(rate)
	f.plain[0].SetRateLimit(rate)
	time.Sleep(limitSettles + limitWindow + 2*time.Second)
	for name, rates := range map[string][]standin.RateLimit{"engine": f.group.Engines()[0].RateLimits(), "plain target": f.plain[0].RateLimits()} {
		g.Expect(rates).To(HaveLen(1))
		g.Expect(rates[0].MaxInWindow(limitWindow, limitSettles)).To(And(
			BeNumerically("<=", int(rate*limitWindow.Seconds())+2), BeNumerically(">=", 2)), name)
	}
	end()
	tally := c.take()
	g.Expect(tally.DraftsWhole).To(Equal(tally.Drafts), "the other engines have room")
	g.Expect(tally.LogsAnswered).To(Equal(tally.Logs))
}
