package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/result"
)

// Batches are lost, delayed, duplicated or reordered, claimants read late, and clocks differ within
// the margin. Two claimants never hold the lease at once, and fencing numbers never decrease.
func TestLeaseHasOneHolder(t *testing.T) {
	const res = "group/x"
	rapid.Check(t, func(t *rapid.T) {
		timing := LeaseTiming{TTL: 15 * time.Second, Margin: 2 * time.Second, RankDelay: time.Second}
		origin := time.Unix(1_000_000, 0)
		table := NewLeaseTable()
		var claimers []*Claimer
		var speed []float64
		for i := range rapid.IntRange(2, 4).Draw(t, "claimers") {
			c := NewClaimer(fmt.Sprint("e", i), uint64(i+1), timing)
			c.Want(res, i)
			claimers = append(claimers, c)
			speed = append(speed, rapid.Float64Range(0.97, 1.03).Draw(t, "speed"))
		}
		var inTransit [][]byte // batches on their way to the log
		highest := uint64(0)
		for step := range rapid.IntRange(20, 150).Draw(t, "steps") {
			real := time.Duration(step) * 700 * time.Millisecond
			for i, c := range claimers {
				now := origin.Add(time.Duration(float64(real) * speed[i]))
				if rapid.IntRange(0, 3).Draw(t, "reads") > 0 {
					c.Observe(table, now)
				}
				if rapid.IntRange(0, 9).Draw(t, "paused") == 0 {
					continue
				}
				if b := c.Next(now); b != nil {
					raw, _ := b.MarshalMsg(nil)
					for range rapid.IntRange(0, 2).Draw(t, "copies") {
						inTransit = append(inTransit, raw)
					}
				}
			}
			for len(inTransit) > 0 && rapid.Bool().Draw(t, "arrives") {
				i := rapid.IntRange(0, len(inTransit)-1).Draw(t, "which")
				if err := table.Fold(0, inTransit[i]); err != nil {
					t.Fatal(err)
				}
				inTransit = append(inTransit[:i], inTransit[i+1:]...)
			}
			holders := 0
			for i, c := range claimers {
				now := origin.Add(time.Duration(float64(real) * speed[i]))
				if _, ok := c.Held(res, now); ok {
					holders++
				}
			}
			if holders > 1 {
				t.Fatalf("step %d: %d holders at once", step, holders)
			}
			if f := table.Row(res).Fence; f < highest {
				t.Fatalf("fencing number decreased from %d to %d", highest, f)
			} else {
				highest = f
			}
		}
	})
}

// holders returns the nodes that hold a resource now.
func (c *cluster) holders(resource string) []string {
	var names []string
	for name := range c.peers {
		if n := c.node(name); n != nil {
			if _, ok := n.Held(resource); ok {
				names = append(names, name)
			}
		}
	}
	return names
}

// waitForHolder waits until exactly one node, other than except, holds a resource, and
// returns its name. It fails if two nodes hold the resource at once.
func (c *cluster) waitForHolder(resource string, limit time.Duration, except string) string {
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(100 * time.Millisecond) {
		holders := c.holders(resource)
		if len(holders) > 1 {
			c.t.Fatalf("nodes %v hold the lease at once", holders)
		}
		if len(holders) == 1 && holders[0] != except {
			return holders[0]
		}
	}
	c.t.Fatalf("no other node holds %s within %s", resource, limit)
	return ""
}

// A holder is paused while its lease lapses, another node claims it, and the agent
// restarts. The agent must refuse the paused holder's order by its fencing number.
func TestOrderOfPausedHolderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		res := GroupResource("g")
		c := newCluster(t, map[string]int{"a": 3})
		defer c.close()
		c.startAll()
		c.waitForVersion(applyDeadline, c.apply(1), c.names()...)
		for _, name := range c.names() {
			c.node(name).Want(res)
		}
		first := c.waitForHolder(res, 10*time.Second, "")
		agent := NewFence()
		learn := func() {
			for _, name := range c.names() {
				agent.RecordFloors(name, len(c.peers), c.node(name).Floors([]string{res}))
			}
		}
		learn()
		old, ok := c.node(first).Held(res) // the holder is paused after this check
		g.Expect(ok).To(BeTrue())
		g.Expect(agent.Check(res, old.Fence)).To(Succeed())
		c.isolate(first, true)
		second := c.waitForHolder(res, time.Minute, first)
		lease, _ := c.node(second).Held(res)
		g.Expect(lease.Fence).To(BeNumerically(">", old.Fence))
		g.Expect(agent.Check(res, lease.Fence)).To(Succeed())
		g.Expect(result.From(agent.Check(res, old.Fence)).Code).To(Equal(result.FenceStale))

		c.log.SetFaults(fake.LogFaults{Down: true})
		agent = NewFence() // the agent restarts while the log is down
		g.Expect(result.From(agent.Check(res, old.Fence)).Code).To(Equal(result.FenceUnknown))
		learn()
		g.Expect(result.From(agent.Check(res, old.Fence)).Code).To(Equal(result.FenceStale))
		g.Expect(agent.Check(res, lease.Fence)).To(Succeed())
		c.isolate(first, false)
		_, ok = c.node(first).Held(res)
		g.Expect(ok).To(BeFalse(), "the old holder must stop by its own clock as well")
	})
}

// Renewals fail while the log is down. The holder must stop acting when its TTL has
// passed, and one node must hold the lease again after the outage.
func TestLeaseExpiresDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		res := GroupResource("g")
		c := newCluster(t, map[string]int{"a": 3, "b": 2})
		defer c.close()
		c.startAll()
		c.waitForVersion(applyDeadline, c.apply(1), c.names()...)
		for _, name := range c.names() {
			c.node(name).Want(res)
		}
		c.waitForHolder(res, 10*time.Second, "")
		c.log.SetFaults(fake.LogFaults{Down: true})
		time.Sleep(DefaultLeaseTiming.TTL)
		g.Expect(c.holders(res)).To(BeEmpty())
		c.log.SetFaults(fake.LogFaults{DropResponses: 3})
		c.waitForHolder(res, time.Minute, "")
	})
}

// A lease that its holder releases must be taken by another node without waiting for the TTL. One
// record must renew 30 leases of a holder.
func TestReleasedLeaseIsTakenAtOnceAndRenewalsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, map[string]int{"a": 2})
		defer c.close()
		c.startAll()
		c.waitForVersion(applyDeadline, c.apply(1), c.names()...)
		n := c.node("a-0")
		for i := range 30 {
			n.Want(fmt.Sprint("r", i))
		}
		c.waitForHolder("r29", 10*time.Second, "")
		time.Sleep(20 * time.Second)
		before := c.log.Appends()
		time.Sleep(time.Minute)
		g.Expect(c.log.Appends()-before).To(BeNumerically("<=", 7), "one record every 10 s renews 30 resources")
		c.node("a-1").Want("r0")
		n.Drop("r0")
		c.waitForHolder("r0", 5*time.Second, "a-0")
	})
}
