package lockstep

import (
	"slices"
	"sync"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/peers"
)

// knownMaps are the latest maps that an agent was given, so that the leader need
// send only what changes: a whole map for each of 64 ranks would fill its link for
// half a second.
type knownMaps struct {
	mu    sync.Mutex
	epoch uint64
	maps  []knownMap // the latest last
}

type knownMap struct {
	version uint64
	sets    [][][]uint16 // experts by set and rank
}

// mapsKept covers the map in use, the one that replaces it, and two that were
// given up.
const mapsKept = 4

func (k *knownMaps) put(epoch, version uint64, sets [][][]uint16) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch != k.epoch {
		k.epoch, k.maps = epoch, nil
	}
	k.maps = append(k.maps, knownMap{version: version, sets: sets})
	if len(k.maps) > mapsKept {
		k.maps = slices.Delete(k.maps, 0, 1)
	}
}

// clear forgets the maps that an earlier run of the engine was given.
func (k *knownMaps) clear() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.epoch, k.maps = 0, nil
}

// apply returns the map that changes make of a version; false if that is not known.
func (k *knownMaps) apply(epoch, base uint64, changes []peers.ListChange) ([][][]uint16, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := slices.IndexFunc(k.maps, func(m knownMap) bool { return m.version == base })
	if epoch != k.epoch || at < 0 {
		return nil, false
	}
	var sets [][][]uint16
	for _, ranks := range k.maps[at].sets {
		sets = append(sets, slices.Clone(ranks))
	}
	for _, c := range changes {
		if int(c.Set) >= len(sets) || int(c.Rank) >= len(sets[c.Set]) {
			return nil, false
		}
		sets[c.Set][c.Rank] = c.Experts
	}
	return sets, true
}

// prepare gives an order to prepare a map, which may come as changes.
func (a *Agent) prepare(o *peers.RankOrder) (peers.OrderResult, error) {
	whole := *o
	if o.Base != 0 {
		sets, ok := a.maps.apply(o.Epoch, o.Base, o.Changes)
		if !ok {
			return peers.OrderResult{NoBase: true}, nil
		}
		whole.Map = sets
	}
	a.maps.put(o.Epoch, o.Version, whole.Map)
	return a.orderOwn(&whole)
}

// changesOf returns what differs between two maps.
func changesOf(before, after []expert.Layout) []peers.ListChange {
	var changes []peers.ListChange
	for s := range after {
		for r, list := range after[s] {
			if !slices.Equal(before[s][r], list) {
				changes = append(changes, peers.ListChange{Set: uint8(s), Rank: uint16(r), Experts: list})
			}
		}
	}
	return changes
}

// prepareAll has ranks prepare a map, given as changes to the one in use where the
// agent knows that, and returns those that neither took nor refused it.
func prepareAll(a *Agent, ranks []rank, whole *peers.RankOrder, base uint64, changes []peers.ListChange) (open []rank) {
	short := *whole
	if base != 0 {
		short.Map, short.Base, short.Changes = nil, base, changes
	}
	results := relayEach(a, ranks, &short)
	var again []rank
	for i, r := range ranks {
		switch {
		case results[i].NoBase:
			again = append(again, r)
		case !results[i].Taken && !results[i].Refused:
			open = append(open, r)
		}
	}
	results = relayEach(a, again, whole)
	for i, r := range again {
		if !results[i].Taken && !results[i].Refused {
			open = append(open, r)
		}
	}
	return open
}
