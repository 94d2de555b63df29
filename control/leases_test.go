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

// Any number of claimants, whose batches are lost, late, doubled or reordered on the
// way to the log, who read late and whose clocks run at different speeds within the
// margin: at no instant may two hold, and fencing numbers only grow.
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
		var way [][]byte // batches on the way
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
						way = append(way, raw)
					}
				}
			}
			for len(way) > 0 && rapid.Bool().Draw(t, "arrives") {
				i := rapid.IntRange(0, len(way)-1).Draw(t, "which")
				if err := table.Fold(0, way[i]); err != nil {
					t.Fatal(err)
				}
				way = append(way[:i], way[i+1:]...)
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
				t.Fatalf("fence fell from %d to %d", highest, f)
			} else {
				highest = f
			}
		}
	})
}

// holder returns which nodes hold a resource now.
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

// until waits until exactly one node holds a resource, and checks on the way that
// never two do.
func (c *cluster) until(resource string, limit time.Duration, not string) string {
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(100 * time.Millisecond) {
		holders := c.holders(resource)
		if len(holders) > 1 {
			c.t.Fatalf("held by %v at once", holders)
		}
		if len(holders) == 1 && holders[0] != not {
			return holders[0]
		}
	}
	c.t.Fatalf("nobody else holds %s after %s", resource, limit)
	return ""
}

// The engine would see: orders of two owners. In order: the holder looks at its
// lease, is paused (nothing leaves or reaches it) through the lapse, another claims,
// gives an order, and the agent restarts. The first wakes and sends the order that
// it had decided on. The agent refuses it, by the log's number, not by any clock.
func TestPausedHolderDoesNoHarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		res := GroupResource("g")
		c := newCluster(t, map[string]int{"a": 3})
		defer c.close()
		c.startAll()
		c.within(inForce, c.apply(1), c.names()...)
		for _, name := range c.names() {
			c.node(name).Want(res)
		}
		first := c.until(res, 10*time.Second, "")
		agent := NewFence()
		learn := func() {
			for _, name := range c.names() {
				agent.Learn(name, len(c.peers), c.node(name).Floors([]string{res}))
			}
		}
		learn()
		old, ok := c.node(first).Held(res) // the holder looks, and is paused here
		g.Expect(ok).To(BeTrue())
		g.Expect(agent.Check(res, old.Fence)).To(Succeed())
		c.isolate(first, true)
		second := c.until(res, time.Minute, first)
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
		g.Expect(ok).To(BeFalse(), "it stops by its own clock as well")
	})
}

// The operator sees: nobody gives orders during an outage of the log, and one owner
// again after it. In order: renewals fail, the holder stops by itself, the log comes
// back, one of them claims.
func TestLeaseRunsOutWithTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		res := GroupResource("g")
		c := newCluster(t, map[string]int{"a": 3, "b": 2})
		defer c.close()
		c.startAll()
		c.within(inForce, c.apply(1), c.names()...)
		for _, name := range c.names() {
			c.node(name).Want(res)
		}
		c.until(res, 10*time.Second, "")
		c.log.SetFaults(fake.LogFaults{Down: true})
		time.Sleep(DefaultLeaseTiming.TTL)
		g.Expect(c.holders(res)).To(BeEmpty())
		c.log.SetFaults(fake.LogFaults{LoseAnswers: 3})
		c.until(res, time.Minute, "")
	})
}

// A holder that leaves in order hands over without waiting for the lapse, and 30
// resources of one holder cost one record each renewal.
func TestLeaseReleaseAndBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, map[string]int{"a": 2})
		defer c.close()
		c.startAll()
		c.within(inForce, c.apply(1), c.names()...)
		n := c.node("a-0")
		for i := range 30 {
			n.Want(fmt.Sprint("r", i))
		}
		c.until("r29", 10*time.Second, "")
		time.Sleep(20 * time.Second)
		before := c.log.Appends()
		time.Sleep(time.Minute)
		g.Expect(c.log.Appends()-before).To(BeNumerically("<=", 7), "30 resources renewed every 10 s by one record")
		c.node("a-1").Want("r0")
		n.Drop("r0")
		c.until("r0", 5*time.Second, "a-0")
	})
}
