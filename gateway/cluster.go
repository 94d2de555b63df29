package gateway

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/heatherrail/heatherrail/members"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// cluster is this entry's view of all entries. It exchanges store topics, failure reports and rate
// limits with them.
type cluster struct {
	g          *Gateway
	membership *members.Membership

	mu              sync.Mutex
	peerTopics      map[string][]peers.TopicState // topic states of each peer, as of its latest probe or ack
	requestedTopics uint8                         // bit set of the topics in open requests to peers
	mergedKept      [serving.NumTopics]uint64     // hash of the kept records that were last merged from a peer
}

func newCluster(g *Gateway) *cluster {
	o := g.opts
	dial := o.Dial
	if dial == nil {
		dial = func(address string) members.PeerClient { return peers.NewClient(address) }
	}
	c := &cluster{g: g, peerTopics: make(map[string][]peers.TopicState)}
	c.membership = members.New(members.Options{
		Self: peers.Presence{
			Name:        o.Name,
			Incarnation: o.Incarnation,
			DataCentre:  o.DataCentre,
			CallerAddr:  o.CallerAddr,
			PeerAddr:    o.PeerAddr,
		},
		Piggyback:        c,
		Dial:             dial,
		MaxConnections:   o.MaxEntryConns,
		Rand:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:              o.Log,
		IncrementCounter: func(counter string) { o.Metrics.Count(counter, 1) },
	})
	return c
}

// run runs the membership protocol until ctx ends.
func (c *cluster) run(ctx context.Context) { c.membership.Run(ctx) }

// LocalState implements members.Piggyback. It returns whether this entry accepts requests, and
// whether it reaches the store.
func (c *cluster) LocalState() (ready, store bool) {
	return c.g.Ready(), c.g.state.isStoreReachable()
}

// presence returns the description of this entry that it announces to peers.
func (c *cluster) presence() peers.Presence {
	p, _ := c.membership.Table().UpdateSelf(c.LocalState())
	return p
}

// recordEntry adds an entry to the membership from its record in the store.
func (c *cluster) recordEntry(p peers.Presence) { c.membership.AddFromRecord(p) }

// notify propagates this entry's updates to other entries at once.
func (c *cluster) notify() { c.membership.Disseminate() }

// readerPosition returns this entry's position in the order in which live entries read the store,
// 0 for the first, and the number of live entries. Entries that do not reach the store come last.
func (c *cluster) readerPosition() (position, count int) {
	return c.membership.Table().PositionAmongAlive(c.g.state.isStoreReachable())
}

// liveCount returns the number of live entries, including this one.
func (c *cluster) liveCount() int {
	alive, _ := c.membership.Table().Counts()
	return alive
}

// knownCount returns the number of recently known entries, including lost ones and this one.
func (c *cluster) knownCount() int {
	_, known := c.membership.Table().Counts()
	return known
}

// readyEntries returns the entries that accept requests.
func (c *cluster) readyEntries() []peers.Presence {
	var list []peers.Presence
	if c.g.Ready() {
		list = append(list, c.presence())
	}
	for _, p := range c.membership.Table().Alive() {
		if p.Ready {
			list = append(list, p)
		}
	}
	return list
}
