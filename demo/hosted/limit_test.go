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
	// rateLimitSettleTime is the time after which a new rate limit must hold. Source: the
	// shortest time that the platform grants.
	rateLimitSettleTime = 3 * time.Second
	rateLimitWindow     = 4 * time.Second
)

// startWithLoad starts a system and callers. end stops the callers and waits for their responses.
func startWithLoad(t *testing.T) (f *Fleet, load *loadGenerator, end func()) {
	t.Helper()
	g := NewWithT(t)
	f, err := Start(logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.Close)
	g.Eventually(f.directoryAddresses, "5s", "20ms").Should(HaveLen(entryCount))
	load = newLoadGenerator(f)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.run(ctx)
	}()
	return f, load, func() {
		cancel()
		<-done
	}
}

// Guards against entries that together exceed the rate limit that a rank of a group or a plain
// target announces in the platform's format.
func TestEnginesAndPlainTargetsGetAtMostTheirAnnouncedRate(t *testing.T) {
	g := NewWithT(t)
	f, load, end := startWithLoad(t)
	time.Sleep(2 * time.Second)
	const rate = 1.5
	f.engineGroup.Engines()[0].SetRateLimit(rate)
	f.plainTargets[0].SetRateLimit(rate)
	time.Sleep(rateLimitSettleTime + rateLimitWindow + 2*time.Second)
	for name, rates := range map[string][]standin.RateLimit{"engine": f.engineGroup.Engines()[0].RateLimits(), "plain target": f.plainTargets[0].RateLimits()} {
		g.Expect(rates).To(HaveLen(1))
		g.Expect(rates[0].MaxInWindow(rateLimitWindow, rateLimitSettleTime)).To(And(
			BeNumerically("<=", int(rate*rateLimitWindow.Seconds())+2), BeNumerically(">=", 2)), name)
	}
	end()
	stats := load.takeStats()
	g.Expect(stats.DraftsComplete).To(Equal(stats.Drafts), "the other engines have capacity")
	g.Expect(stats.LogsAnswered).To(Equal(stats.Logs))
}
