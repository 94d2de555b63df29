package lockstep

import (
	"slices"
	"sync"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/peers"
)

// mapHistory holds the latest maps that an agent received, so that the leader can send a new map as
// changes. A full map for each of 64 ranks would occupy the leader's link for half a second.
type mapHistory struct {
	mu    sync.Mutex
	epoch uint64
	maps  []mapEntry // oldest first
}

// mapEntry is one map of a mapHistory.
type mapEntry struct {
	version uint64
	sets    [][][]uint16 // experts by layer set and rank
	// witnessed means that this agent received the map before its engine had prepared it, and so
	// before any rank was armed for it.
	witnessed bool
}

// maxRecentMaps is the number of maps that an agent remembers: the map in use, the map that
// replaces it, and two that were abandoned.
const maxRecentMaps = 4

// put adds a map and drops the maps of other epochs.
func (h *mapHistory) put(epoch uint64, entry mapEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch != h.epoch {
		h.epoch, h.maps = epoch, nil
	}
	if at := slices.IndexFunc(h.maps, func(m mapEntry) bool { return m.version == entry.version }); at >= 0 {
		entry.witnessed = entry.witnessed || h.maps[at].witnessed
		h.maps = slices.Delete(h.maps, at, at+1)
	}
	h.maps = append(h.maps, entry)
	if len(h.maps) > maxRecentMaps {
		h.maps = slices.Delete(h.maps, 0, 1)
	}
}

// highestVersion returns the highest version received in an epoch; 0: none.
func (h *mapHistory) highestVersion(epoch uint64) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch != h.epoch {
		return 0
	}
	version := uint64(0)
	for i := range h.maps {
		version = max(version, h.maps[i].version)
	}
	return version
}

// hasWitnessed reports whether this agent has been running since before any rank was armed for a version.
func (h *mapHistory) hasWitnessed(epoch, version uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return epoch == h.epoch && slices.ContainsFunc(h.maps, func(m mapEntry) bool { return m.version == version && m.witnessed })
}

// clear removes the maps of an earlier run of the engine.
func (h *mapHistory) clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.epoch, h.maps = 0, nil
}

// apply applies changes to the map of version base and returns the resulting map; false if that
// version is unknown or a change does not fit the map.
func (h *mapHistory) apply(epoch, base uint64, changes []listChange) ([][][]uint16, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := slices.IndexFunc(h.maps, func(m mapEntry) bool { return m.version == base })
	if epoch != h.epoch || at < 0 {
		return nil, false
	}
	return applyChanges(h.maps[at].sets, changes)
}

// applyChanges applies changes to a copy of the map base and returns the copy; false if a change
// names a layer set or rank that base does not have.
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

// initialMap returns the map that engines start with, by set and rank.
func initialMap(f *peers.InitialMap) [][][]uint16 {
	sets := make([][][]uint16, f.Sets)
	for s := range sets {
		sets[s] = expert.InitialLayout(int(f.Ranks), int(f.Experts))
	}
	return sets
}

// prepareMap orders this agent's engine to prepare a map. The order may hold the map as changes to
// an earlier one.
func (a *Agent) prepareMap(o *peers.RankOrder) (peers.OrderResult, error) {
	full := *o
	if len(o.Changes) > 0 {
		sets, ok := a.applyOrderChanges(o)
		if !ok {
			return peers.OrderResult{UnknownBase: true}, nil
		}
		full.Map, full.Changes = sets, nil
	}
	state, err := a.opts.Engine.State(a.ctx)
	// The report of this VM's engine is up to date, so a version that it does not show is not prepared.
	isPrepared := state.Prepared == o.Version || state.Armed == o.Version || state.Map == o.Version
	witnessed := err == nil && state.Epoch == o.Epoch && !isPrepared
	a.mapHistory.put(o.Epoch, mapEntry{version: o.Version, sets: full.Map, witnessed: witnessed})
	return a.orderLocalEngine(&full)
}

// applyOrderChanges returns the map that an order holds as changes to an earlier map; false if the
// changes are malformed or the agent does not have the earlier map.
func (a *Agent) applyOrderChanges(o *peers.RankOrder) ([][][]uint16, bool) {
	changes, err := unpackChanges(o.Changes)
	if err != nil {
		a.opts.Log.Error(err, "malformed map changes ignored", "version", o.Version)
		return nil, false
	}
	if o.Base == 0 {
		return applyChanges(initialMap(&o.InitialMap), changes)
	}
	return a.mapHistory.apply(o.Epoch, o.Base, changes)
}

// prepareAll orders ranks to prepare a map. It sends delta, which holds the map as changes, and
// then full, the whole map, to the ranks whose agents lack the map that the changes apply to. It
// returns the ranks that neither accepted nor refused, and the number that refused.
func prepareAll(a *Agent, ranks []rank, full, delta *peers.RankOrder) (unanswered []rank, refused int) {
	var needFull []rank
	classify := func(ordered []rank, results []peers.OrderResult) {
		for i, r := range ordered {
			switch {
			case results[i].UnknownBase:
				needFull = append(needFull, r)
			case results[i].Refused:
				refused++
			case !results[i].Accepted:
				unanswered = append(unanswered, r)
			}
		}
	}
	classify(ranks, orderRanks(a, ranks, delta))
	retry := needFull
	classify(retry, orderRanks(a, retry, full))
	return unanswered, refused
}
