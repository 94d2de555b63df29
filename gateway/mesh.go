package gateway

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/heatherrail/heatherrail/members"
	"github.com/heatherrail/heatherrail/peers"
)

// mesh are the entries that this one knows, and what they tell each other of the store's
// topics.
type mesh struct {
	g     *Gateway
	group *members.Membership

	mu      sync.Mutex
	topics  map[string][]peers.TopicState // what an entry knew when it asked us last
	wanting uint8                         // topics of which some peer is being asked
}

func newMesh(g *Gateway) *mesh {
	o := g.opts
	dial := o.Dial
	if dial == nil {
		dial = func(address string) members.PeerClient { return peers.NewClient(address) }
	}
	m := &mesh{g: g, topics: make(map[string][]peers.TopicState)}
	m.group = members.New(members.Options{
		Self: peers.Presence{
			Name:        o.Name,
			Incarnation: o.Incarnation,
			DataCentre:  o.DataCentre,
			CallerAddr:  o.CallerAddr,
			PeerAddr:    o.PeerAddr,
		},
		Piggyback:        m,
		Dial:             dial,
		Rand:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:              o.Log,
		IncrementCounter: func(counter string) { o.Metrics.Count(counter, 1) },
	})
	return m
}

// run keeps in touch with the others until ctx ends.
func (m *mesh) run(ctx context.Context) { m.group.Run(ctx) }

// LocalState implements members.Piggyback.
func (m *mesh) LocalState() (ready, store bool) {
	return m.g.Ready(), m.g.knowledge.reachesStore()
}

// presence returns what is told of this entry.
func (m *mesh) presence() peers.Presence {
	p, _ := m.group.Table().UpdateSelf(m.LocalState())
	return p
}

// read records an entry by its record in the store.
func (m *mesh) read(p peers.Presence) { m.group.AddFromRecord(p) }

// tell has others hear at once that there is news.
func (m *mesh) tell() { m.group.Disseminate() }

// position returns this entry's place among those that may read the store, and
// how many there are. Those that do not reach the store come last.
func (m *mesh) position() (place, of int) {
	return m.group.Table().PositionAmongAlive(m.g.knowledge.reachesStore())
}

// entries returns how many entries live, this one among them.
func (m *mesh) entries() int {
	living, _ := m.group.Table().Counts()
	return living
}

// known returns how many entries there were lately, those that are lost among them.
func (m *mesh) known() int {
	_, known := m.group.Table().Counts()
	return known
}

// usable returns the entries that take requests.
func (m *mesh) usable() []peers.Presence {
	var list []peers.Presence
	if m.g.Ready() {
		list = append(list, m.presence())
	}
	for _, p := range m.group.Table().Alive() {
		if p.Ready {
			list = append(list, p)
		}
	}
	return list
}
