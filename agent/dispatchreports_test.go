package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// The log loses a version and gives its number to another one, with other home targets. Guards
// against a key that runs at both homes.
func TestVersionOfTwoConfigurationsMakesHomesUncertain(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := newDispatchChecker("t-1", 1, nil)
	c.now = func() time.Time { return now }
	c.entries[1], c.entries[2] = now, now
	req := &wire.Request{Team: "team", Service: "s", Key: "k", DedupMs: 1000, DeadlineMs: 1000}
	check := func() result.Code {
		if _, err := c.checkKey(req); err != nil {
			return result.From(err).Code
		}
		return result.OK
	}
	c.recordDispatchReport(1, &wire.DispatchReport{Version: 2, Targets: []string{"t-1"}})
	c.recordDispatchReport(2, &wire.DispatchReport{Version: 2, Targets: []string{"t-1"}})
	g.Expect(check()).To(Equal(result.OK))
	c.recordDispatchReport(2, &wire.DispatchReport{Version: 2, Targets: []string{"t-2", "t-3"}})
	g.Expect(check()).To(Equal(result.KeyUncertain))
	for entry := range uint64(2) {
		c.recordDispatchReport(entry+1, &wire.DispatchReport{Version: 4, Targets: []string{"t-1"}})
	}
	g.Expect(check()).To(Equal(result.OK), "a recovery ends it")
}
