package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/config"
)

// lossCase is one way in which the log loses records that nodes have read.
type lossCase struct {
	name string
	run  func(c *lossCluster)
}

var lossCases = []lossCase{
	{"a change follows at once", func(c *lossCluster) {
		c.lostChanges(2)
		c.change()
	}},
	{"the log grows past the readers before their next read", func(c *lossCluster) {
		c.lostChanges(2)
		c.change()
		c.otherRecords(5)
	}},
	{"other records, as many as were lost", func(c *lossCluster) {
		c.lostChanges(2)
		c.otherRecords(2)
	}},
	{"lost twice, back to the same place", func(c *lossCluster) {
		kept := c.end()
		c.lostChanges(2)
		c.change()
		time.Sleep(100 * time.Millisecond)
		c.settle()
		c.log.Lose(kept)
		c.otherRecords(1)
	}},
	{"lost again before the recovery", func(c *lossCluster) {
		kept := c.end()
		c.lostChanges(2)
		c.otherRecords(1)
		c.log.Lose(kept)
		c.otherRecords(3)
	}},
	{"no change follows and all nodes restart in turn, then together", func(c *lossCluster) {
		c.lostChanges(2)
		for _, name := range c.names() {
			c.restart(name)
			time.Sleep(time.Second)
		}
		c.settle()
		for _, name := range c.names() {
			c.stop(name)
		}
		for _, name := range c.names() {
			c.start(name)
		}
	}},
	{"a node is cut off with the lost records", func(c *lossCluster) {
		kept := c.end()
		c.change()
		c.waitForTeams(c.names()...)
		c.isolate("a-0", true)
		c.log.Lose(kept)
		c.change()
		time.Sleep(30 * time.Second)
		c.isolate("a-0", false)
	}},
	{"a node is cut off without the lost records", func(c *lossCluster) {
		c.isolate("a-0", true)
		c.lostChanges(2)
		c.change()
		time.Sleep(30 * time.Second)
		c.isolate("a-0", false)
	}},
	{"the log readers of a data centre are cut off", func(c *lossCluster) {
		readers := c.node("a-0").topology.Ranked[:LogReaderCount]
		kept := c.end()
		c.change()
		c.waitForTeams(c.names()...)
		for _, name := range readers {
			c.isolate(name, true)
		}
		c.log.Lose(kept)
		c.change()
		time.Sleep(30 * time.Second)
		for _, name := range readers {
			c.isolate(name, false)
		}
	}},
	{"a data centre is cut off with the lost records", func(c *lossCluster) { c.cutCentre(true) }},
	{"a data centre is cut off without the lost records", func(c *lossCluster) { c.cutCentre(false) }},
	{"a node starts from the short log beside others", func(c *lossCluster) {
		c.lostChanges(2)
		c.restart("a-1")
		time.Sleep(20 * time.Second)
		c.restart("b-1")
	}},
	{"nodes have read different parts", func(c *lossCluster) {
		kept := c.end()
		c.change()
		c.waitForTeams(c.names()...)
		for _, name := range c.names() {
			c.isolate(name, name != "b-0")
		}
		c.change()
		c.waitForTeams("b-0")
		c.log.Lose(kept)
		for _, name := range c.names() {
			c.isolate(name, false)
		}
		c.otherRecords(1)
	}},
	{"the only node with the newest change comes back last", func(c *lossCluster) {
		kept := c.end()
		c.change()
		c.waitForTeams(c.names()...)
		for _, name := range c.names() {
			c.isolate(name, name != "b-0")
		}
		c.change()
		c.waitForTeams("b-0")
		c.isolate("b-0", true)
		c.log.Lose(kept)
		for _, name := range c.names() {
			c.isolate(name, name == "b-0")
		}
		time.Sleep(20 * time.Second)
		c.isolate("b-0", false)
	}},
	{"a large change of which the log keeps the first part", func(c *lossCluster) {
		kept := c.end()
		c.changeTo(c.teams + 3000)
		c.waitForTeams(c.names()...)
		c.log.Lose(kept + 1)
	}},
	{"a large change of which the log keeps the first part, and a change", func(c *lossCluster) {
		kept := c.end()
		c.changeTo(c.teams + 3000)
		c.waitForTeams(c.names()...)
		c.log.Lose(kept + 1)
		c.change()
	}},
	{"a snapshot of which the log keeps the first part", func(c *lossCluster) {
		c.changeTo(c.teams + 3000)
		c.settle()
		kept := c.end()
		time.Sleep(2 * testSnapshotInterval)
		c.g.Expect(c.end()).To(BeNumerically(">", kept+1))
		c.log.Lose(kept + 1)
		c.change()
		c.settle()
		for _, name := range c.names() {
			c.stop(name)
		}
		for _, name := range c.names() {
			c.start(name)
		}
	}},
	{"trimmed, and the latest snapshot is lost", func(c *lossCluster) {
		time.Sleep(2 * testSnapshotInterval)
		kept := c.end()
		c.change()
		time.Sleep(2 * testSnapshotInterval)
		c.log.Trim(kept)
		c.change()
		c.waitForTeams(c.names()...)
		c.log.Lose(kept)
		c.otherRecords(2)
	}},
	{"trimmed and lost, and all nodes restart afterwards", func(c *lossCluster) {
		time.Sleep(2 * testSnapshotInterval)
		c.log.Trim(c.end())
		c.lostChanges(2)
		c.otherRecords(3)
		c.settle()
		for _, name := range c.names() {
			c.stop(name)
		}
		for _, name := range c.names() {
			c.start(name)
		}
	}},
	{"a change of unknown outcome is lost and resumed", func(c *lossCluster) {
		kept := c.end()
		c.teams++
		op := &Operator{Log: c.log, State: c.peerState, Accepted: c.accepted}
		c.g.Expect(op.Sync(c.t.Context())).To(Succeed())
		base := op.Current()
		id, next := NewChangeID(), teams(c.teams)
		records, err := config.ChangeRecords(&config.Change{ID: id, Base: base.Version, Digest: config.Digest(next), Delta: config.NewDelta(base.Config, next)})
		c.g.Expect(err).NotTo(HaveOccurred())
		_, err = c.log.Append(c.t.Context(), records)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.waitForTeams(c.reachable()...)
		c.log.Lose(kept)
		out, err := op.Resume(c.t.Context(), id)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(out.Accepted).To(BeTrue())
	}},
	{"two operators race from the short log", func(c *lossCluster) {
		c.lostChanges(2)
		ops := []*Operator{{Log: c.log, State: c.peerState}, {Log: c.log, State: c.peerState}}
		for _, op := range ops {
			c.g.Expect(op.Sync(c.t.Context())).To(Succeed())
		}
		accepted := 0
		for _, op := range ops {
			if _, err := op.Apply(c.t.Context(), NewChangeID(), versionOf(op.Current()), teams(c.teams+1)); err == nil {
				accepted++
			}
		}
		c.g.Expect(accepted).To(Equal(1))
		c.teams++
	}},
	{"the log is down for some readers", func(c *lossCluster) {
		down := []string{"a-0", "a-1", "b-0"}
		kept := c.end()
		c.change()
		c.waitForTeams(c.names()...)
		for _, name := range down {
			c.setLinkDown(name, logEndpoint, true)
		}
		c.log.Lose(kept)
		time.Sleep(200 * time.Millisecond)
		c.change()
		time.Sleep(DefaultTiming.Fresh + DefaultTiming.Retry) // until the readers have turned to their peers
		c.settle()
		for _, name := range down {
			c.setLinkDown(name, logEndpoint, false)
		}
	}},
}

// The log loses acknowledged changes in one of many ways. Guards against nodes that lose an
// accepted configuration, go back to an older one or differ from each other.
func TestLostChangesSurviveAtAllNodes(t *testing.T) {
	for _, tc := range lossCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newLossCluster(t)
				defer c.close()
				tc.run(c)
				c.settle()
				c.change()
				c.settle()
			})
		})
	}
}

// Two or three losses of different kinds overlap. Guards against a recovery that holds for one loss
// at a time only.
func TestOverlappingLossesLoseNoChange(t *testing.T) {
	for seed := range uint64(lossSeeds()) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 54))
				c := newLossCluster(t)
				defer c.close()
				for range 2 + rng.IntN(2) {
					tc := lossCases[rng.IntN(len(lossCases))]
					t.Log(tc.name)
					tc.run(c)
					time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
				}
				c.settle()
				c.change()
				c.settle()
			})
		})
	}
}

// The log is trimmed past a node that reaches the log and no peer. Guards against a recovery of its
// old state, which nothing has been lost of.
func TestNodeBehindTrimmedLogWritesNoRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLossCluster(t)
		defer c.close()
		c.isolate("a-1", true)
		c.change()
		c.otherRecords(5)
		time.Sleep(applyDeadline)
		c.log.Trim(c.end() - 2)
		c.setLinkDown("a-1", logEndpoint, false)
		time.Sleep(applyDeadline)
		c.g.Expect(c.node("a-0").fold.Recoveries()).To(BeZero())
		c.isolate("a-1", false)
		c.settle()
	})
}
