package outcomes

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/internal/safeguard"
	"github.com/heatherrail/heatherrail/result"
)

// lossDeadline is the time in which what the log has lost must be on it again.
const lossDeadline = 11 * time.Second

// presences returns the newest incarnation on the log of each process of a role.
func presences(g *WithT, w *World, role string) map[string]uint64 {
	found := make(map[string]uint64)
	page, err := w.Log.Read(context.Background(), 0, 1<<20, 0)
	g.Expect(err).NotTo(HaveOccurred())
	for _, raw := range page.Records {
		p, err := config.ReadPresence(raw)
		g.Expect(err).NotTo(HaveOccurred())
		if p != nil && p.Role == role {
			found[p.Name] = max(found[p.Name], p.Incarnation)
		}
	}
	return found
}

// loseAfter returns a function that removes the records that are written from now on.
func loseAfter(w *World) func() {
	kept := w.Log.State().Next
	return func() { w.Log.Lose(kept) }
}

// The log loses the presence records of a new entry and of its peer. Guards against agents that
// do not find an entry that may have dispatched a key.
func TestLostPresenceOfEntryIsWrittenAgain(t *testing.T) {
	runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		lose := loseAfter(w)
		w.entry(0).Close()
		g.Expect(w.startEntry(0)).To(Succeed())
		g.Expect(w.waitUntilReady()).To(Succeed())
		before := presences(g, w, config.PresenceEntry)
		g.Expect(w.send("team-0", 0, plainJob("k"), 0).Code).To(Equal(result.OK))
		lose()
		time.Sleep(lossDeadline)
		g.Expect(presences(g, w, config.PresenceEntry)).To(Equal(before))
		g.Expect(w.entry(0).Registered()).To(BeTrue())
		w.replaceAgent(homeTarget(w, "k", false), time.Second, false)
		time.Sleep(time.Second)
		g.Expect(w.send("team-0", 1, plainJob("k"), 1).Code).To(Equal(result.KeyUncertain))
	})
}

// The log loses the newest presence of an agent that lives. Guards against entries that start
// later and take an older agent of the target for the newest.
func TestLostPresenceOfLivingAgentIsWrittenAgain(t *testing.T) {
	runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		lose := loseAfter(w)
		w.replaceAgent("oven-api-1", time.Second, false)
		time.Sleep(time.Second)
		before := presences(g, w, config.PresenceAgent)
		lose()
		time.Sleep(lossDeadline)
		g.Expect(presences(g, w, config.PresenceAgent)).To(Equal(before))
		g.Expect(w.send("team-0", 0, plainJob(keyWithHome(w, "oven-api-1", false)), 0).Code).To(Equal(result.OK))
	})
}

// The log loses the newest presence of an agent, which restarts, or ends for good. Guards against
// an older agent of the target that gets its requests.
func TestLostPresenceOfEndedAgentIsWrittenAgain(t *testing.T) {
	for _, restarts := range []bool{true, false} {
		runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
			lose := loseAfter(w)
			w.replaceAgent("oven-api-1", time.Second, false)
			time.Sleep(time.Second)
			before := presences(g, w, config.PresenceAgent)
			lose()
			if restarts {
				w.replaceAgent("oven-api-1", time.Second, false)
			} else {
				w.currentAgent("oven-api-1").Close()
			}
			time.Sleep(lossDeadline)
			after := presences(g, w, config.PresenceAgent)
			g.Expect(after["oven-api-1"]).To(BeNumerically(">=", before["oven-api-1"]))
			delete(before, "oven-api-1")
			for name, incarnation := range before {
				g.Expect(after).To(HaveKeyWithValue(name, incarnation))
			}
		})
	}
}

// The log loses the presence record of an entry, and an agent starts before that is found. Guards
// against a key that the entry has dispatched and that the agent runs again.
func TestAgentThatStartsRightAfterALossRunsNoKeyAgain(t *testing.T) {
	runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		g.Expect(w.entry(0).Shutdown(ctx)).To(Succeed())
		lose := loseAfter(w)
		g.Expect(w.startEntry(0)).To(Succeed())
		g.Expect(w.waitUntilReady()).To(Succeed())
		g.Expect(w.send("team-0", 0, plainJob("k"), 0).Code).To(Equal(result.OK))
		lose()
		w.replaceAgent(homeTarget(w, "k", false), 100*time.Millisecond, false)
		time.Sleep(time.Second)
		g.Expect(w.send("team-0", 1, plainJob("k"), 1).Code).To(Equal(result.KeyUncertain))
	})
}
