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

// newest returns the highest version that was given in an epoch; 0: none.
func (k *knownMaps) newest(epoch uint64) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch != k.epoch {
		return 0
	}
	version := uint64(0)
	for i := range k.maps {
		version = max(version, k.maps[i].version)
	}
	return version
}

// clear forgets the maps that an earlier run of the engine was given.
func (k *knownMaps) clear() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.epoch, k.maps = 0, nil
}

// apply returns the map that changes make of a version; false if that is not known.
func (k *knownMaps) apply(epoch, base uint64, changes []listChange) ([][][]uint16, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := slices.IndexFunc(k.maps, func(m knownMap) bool { return m.version == base })
	if epoch != k.epoch || at < 0 {
		return nil, false
	}
	return applyChanges(k.maps[at].sets, changes)
}

func applyChanges(base [][][]uint16, changes []listChange) ([][][]uint16, bool) {
	var sets [][][]uint16
	for _, ranks := range base {
		sets = append(sets, slices.Clone(ranks))
	}
	for _, c := range changes {
		if c.set >= len(sets) || c.rank >= len(sets[c.set]) {
			return nil, false
		}
		sets[c.set][c.rank] = c.experts
	}
	return sets, true
}

// firstMap returns the map that engines start with.
func firstMap(f *peers.InitialMap) [][][]uint16 {
	sets := make([][][]uint16, f.Sets)
	for s := range sets {
		sets[s] = expert.InitialLayout(int(f.Ranks), int(f.Experts))
	}
	return sets
}

// prepare gives an order to prepare a map, which may come as changes.
func (a *Agent) prepare(o *peers.RankOrder) (peers.OrderResult, error) {
	whole := *o
	if len(o.Changes) > 0 {
		sets, ok := a.changed(o)
		if !ok {
			return peers.OrderResult{UnknownBase: true}, nil
		}
		whole.Map, whole.Changes = sets, nil
	}
	a.maps.put(o.Epoch, o.Version, whole.Map)
	return a.orderOwn(&whole)
}

// changed returns the map that an order's changes make of their base.
func (a *Agent) changed(o *peers.RankOrder) ([][][]uint16, bool) {
	changes, err := unpackChanges(o.Changes)
	if err != nil {
		a.opts.Log.Error(err, "changes of a map ignored", "version", o.Version)
		return nil, false
	}
	if o.Base == 0 {
		return applyChanges(firstMap(&o.InitialMap), changes)
	}
	return a.maps.apply(o.Epoch, o.Base, changes)
}

// prepareAll has ranks prepare a map, given as changes to the one in use where the
// agent knows that. It returns those that neither took nor refused it, and how many
// refused it.
func prepareAll(a *Agent, ranks []rank, whole, short *peers.RankOrder) (open []rank, refused int) {
	var again []rank
	sort := func(some []rank, results []peers.OrderResult) {
		for i, r := range some {
			switch {
			case results[i].UnknownBase:
				again = append(again, r)
			case results[i].Refused:
				refused++
			case !results[i].Accepted:
				open = append(open, r)
			}
		}
	}
	sort(ranks, relayEach(a, ranks, short))
	retry := again
	sort(retry, relayEach(a, retry, whole))
	return open, refused
}
