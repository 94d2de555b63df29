package control

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// lossCluster is a cluster whose log loses records. It records the accepted changes in order and
// fails if a node puts an older one in force after a newer one, also after its restart.
type lossCluster struct {
	*cluster
	g     *WithT
	teams int
}

func newLossCluster(t *testing.T) *lossCluster {
	c := &lossCluster{cluster: newCluster(t, map[string]int{"a": 3, "b": 2}), g: NewWithT(t)}
	c.timing.SnapshotInterval = testSnapshotInterval
	newest := make(map[string]int)
	c.onInstall = func(name string, s *config.Snapshot) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if teams := len(s.Config.Teams); teams < newest[name] {
			t.Errorf("%s: the change to %d teams is in force after the one to %d", name, teams, newest[name])
		} else {
			newest[name] = teams
		}
	}
	c.startAll()
	c.change()
	c.settle()
	return c
}

// change applies a configuration with one team more than the latest accepted one.
func (c *lossCluster) change() { c.changeTo(c.teams + 1) }

func (c *lossCluster) changeTo(n int) {
	c.t.Helper()
	c.teams = n
	op := &Operator{Log: c.log, State: c.peerState}
	ctx, cancel := withTimeout(c.t, time.Minute)
	defer cancel()
	for {
		c.g.Expect(op.Sync(ctx)).To(Succeed())
		_, err := op.Apply(ctx, NewChangeID(), versionOf(op.Current()), teams(n))
		if err == nil {
			return
		}
		// A recovery that arrives between Sync and Apply makes the base an older version.
		c.g.Expect(result.From(err).Code).To(Equal(result.ChangeRefused))
	}
}

// accepted reports what the operators' tool hears of a change from the entries.
func (c *lossCluster) accepted(_ context.Context, change string) bool {
	return slices.ContainsFunc(c.reachable(), func(name string) bool { return c.node(name).effect(change) == wire.EffectInForce })
}

// peerState returns the state of an entry as the operators' tool gets it.
func (c *lossCluster) peerState(ctx context.Context) ([]byte, error) {
	err := errNoRoute
	for _, name := range c.reachable() {
		var nc net.Conn
		if nc, err = c.dial(ctx, "tool", name); err != nil {
			continue
		}
		var conn *wire.Conn
		if conn, err = wire.Client(nc, wire.Hello{Name: "tool", Role: wire.RoleTool}, noopHandler{}, wire.Options{}); err != nil {
			continue
		}
		var state []byte
		_, state, err = Tail(ctx, conn, &wire.TailRequest{Cold: true})
		conn.Close()
		if err == nil {
			return state, nil
		}
	}
	return nil, err
}

// settle waits until all nodes have the newest accepted configuration in force, under one version.
func (c *lossCluster) settle() {
	c.t.Helper()
	time.Sleep(applyDeadline)
	c.g.Expect(c.disagreement()).To(BeEmpty())
}

// disagreement describes the nodes that do not have the newest configuration in force, or have it
// under different versions.
func (c *lossCluster) disagreement() string {
	text, versions := "", make(map[uint64]bool)
	for _, name := range c.names() {
		n := c.node(name)
		if n == nil {
			continue
		}
		n.mu.Lock()
		s := n.inForce
		if s == nil || len(s.Config.Teams) != c.teams {
			text += fmt.Sprintf("%s has %+v, want %d teams; ", name, describe(s), c.teams)
		}
		versions[versionOf(s)] = true
		if n.history.kept != nil {
			text += name + " holds a state that the log lacks; "
		}
		n.mu.Unlock()
	}
	if len(versions) > 1 {
		text += fmt.Sprint("versions ", versions)
	}
	return text
}

func describe(s *config.Snapshot) string {
	if s == nil {
		return "nothing"
	}
	return fmt.Sprintf("version %d with %d teams", s.Version, len(s.Config.Teams))
}

// waitForTeams waits until the named nodes have the newest accepted configuration in force.
func (c *lossCluster) waitForTeams(names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.g.Eventually(func() int {
			n := c.node(name)
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.inForce == nil {
				return 0
			}
			return len(n.inForce.Config.Teams)
		}).WithTimeout(applyDeadline).WithPolling(10*time.Millisecond).Should(Equal(c.teams), name)
	}
}

// otherRecords appends records that change no configuration.
func (c *lossCluster) otherRecords(n int) {
	for range n {
		raw, err := (&config.Presence{Role: config.PresenceAgent, Name: "t", Incarnation: 1}).Encode()
		c.g.Expect(err).NotTo(HaveOccurred())
		_, err = c.log.Append(c.t.Context(), [][]byte{raw})
		c.g.Expect(err).NotTo(HaveOccurred())
	}
}

// end returns the offset after the last record of the log.
func (c *lossCluster) end() uint64 { return c.log.State().Next }

// lostChanges applies changes that all running nodes have in force, and removes them from the log.
func (c *lossCluster) lostChanges(n int) {
	kept := c.end()
	for range n {
		c.change()
	}
	c.waitForTeams(c.reachable()...)
	c.log.Lose(kept)
}

// reachable returns the running nodes that are not cut off from the log.
func (c *lossCluster) reachable() []string {
	return slices.DeleteFunc(c.names(), func(name string) bool { return c.node(name) == nil || c.isLinkDown(name, logEndpoint) })
}

// restart replaces a node by a new process without state.
func (c *lossCluster) restart(name string) {
	c.stop(name)
	c.start(name)
}

// cutCentre cuts off a data centre from the log and the others while the log loses records.
func (c *lossCluster) cutCentre(withLost bool) {
	centre := []string{"b-0", "b-1"}
	cut := func(down bool) {
		for _, name := range centre {
			c.setLinkDown(name, logEndpoint, down)
			for _, other := range c.names() {
				if !slices.Contains(centre, other) {
					c.setLinkDown(name, other, down)
					c.setLinkDown(other, name, down)
				}
			}
		}
	}
	kept := c.end()
	if !withLost {
		cut(true)
	}
	c.change()
	c.change()
	c.waitForTeams(c.reachable()...)
	cut(true)
	c.log.Lose(kept)
	c.otherRecords(4)
	c.change()
	time.Sleep(30 * time.Second)
	cut(false)
}

// lossSeeds returns the number of seeded runs: LOSS_SEEDS, or a few.
func lossSeeds() int {
	if n, err := strconv.Atoi(os.Getenv("LOSS_SEEDS")); err == nil {
		return n
	}
	return 20
}
