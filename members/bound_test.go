package members

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
)

// Entries that others tell of must not use up the memory; those in the store are known all the same.
func TestTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := NewTable(peers.Presence{Name: "self", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
	presence := func(name string) peers.Presence { return peers.Presence{Name: name, Incarnation: 1, PeerAddr: "a"} }
	table.MergeOwnPresence(presence("known"), now)
	for i := range MaxMembers {
		table.MergeMembers([]peers.Member{{Entry: presence(fmt.Sprint(i))}}, now)
		table.MergeOwnPresence(presence(fmt.Sprint("own-", i)), now)
	}
	_, known := table.Counts()
	g.Expect(known).To(Equal(MaxMembers+1), "with the entry itself")
	g.Expect(table.AddFromRecord(presence("recorded"), now)).To(BeTrue())
	later := presence("known")
	later.Revision = 7
	changed, _ := table.MergeOwnPresence(later, now)
	g.Expect(changed).To(BeTrue(), "a known entry is followed")
	long := presence("recorded")
	long.DataCentre, long.Revision = strings.Repeat("x", peers.MaxNameBytes+1), 7
	changed, _ = table.MergeOwnPresence(long, now)
	g.Expect(changed).To(BeFalse())
	self := presence("self")
	self.Revision = 9
	g.Expect(table.MergeMembers([]peers.Member{{Entry: self, Lost: true}}, now).HasUpdates).To(BeTrue(), "what is told of this entry is refuted")
}

// namedClient answers each request and tells when it is closed.
type namedClient struct {
	address string
	closed  chan<- string
}

// Ask implements PeerClient.
func (c *namedClient) Ask(context.Context, peers.Kind, msgp.Marshaler, msgp.Unmarshaler, time.Duration) error {
	return nil
}

// Close implements PeerClient.
func (c *namedClient) Close() { c.closed <- c.address }

// Connections to entries that others tell of must not use up the descriptors; those that are used are kept.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		closed := make(chan string, 100)
		m := New(Options{
			Self: peers.Presence{Name: "self", Incarnation: 1}, MaxConnections: 4, Rand: rand.New(rand.NewPCG(1, 1)),
			Dial: func(address string) PeerClient { return &namedClient{address, closed} },
		})
		ask := func(name string) {
			g.Expect(m.Ask(t.Context(), name, peers.KindPermit, nil, nil, time.Second)).To(Succeed())
			time.Sleep(time.Millisecond)
		}
		for i := range 20 {
			name := fmt.Sprint("e", i)
			m.table.MergeOwnPresence(peers.Presence{Name: name, Incarnation: 1, PeerAddr: name}, time.Now())
			ask("e0")
			ask(name)
		}
		g.Expect(closed).To(HaveLen(16))
		for range 16 {
			g.Expect(<-closed).NotTo(Equal("e0"), "it is used again and again")
		}
	})
}
