package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

// fleetState holds load statistics and the cache index of one fleet. It outlives configuration
// versions.
type fleetState struct {
	mu         sync.Mutex
	loadMeans  route.LoadMeans
	cacheIndex *route.CacheIndex
	indexSlots map[string]int // slots in cacheIndex, by target
	meanAnswer float64        // mean answer length, in tokens
}

// maxIndexBlocks bounds the cache index of a fleet: 32,768 blocks of 64 tokens take half a
// megabyte and cover the caches of about ten engines.
const maxIndexBlocks = 1 << 15

func newFleetState() *fleetState {
	return &fleetState{cacheIndex: route.NewCacheIndex(maxIndexBlocks), indexSlots: make(map[string]int)}
}

// indexSlot returns a target's slot in the cache index, or -1 if all slots are taken. The
// caller holds mu.
func (s *fleetState) indexSlot(target string) int {
	if slot, ok := s.indexSlots[target]; ok {
		return slot
	}
	var isUsed [route.IndexTargets]bool
	for _, slot := range s.indexSlots {
		isUsed[slot] = true
	}
	for slot, occupied := range isUsed {
		if !occupied {
			s.indexSlots[target] = slot
			return slot
		}
	}
	return -1
}

// releaseUnusedSlots frees the cache index slots of all targets other than the given ones.
func (s *fleetState) releaseUnusedSlots(targets []viewTarget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isUsed := make(map[string]bool, len(targets))
	for i := range targets {
		isUsed[targets[i].name] = true
	}
	for name, slot := range s.indexSlots {
		if !isUsed[name] {
			s.cacheIndex.RemoveTarget(slot)
			delete(s.indexSlots, name)
		}
	}
}

// meanAnswerTokens returns the mean answer length, zero if none is known.
func (s *fleetState) meanAnswerTokens() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meanAnswer
}

// fleetView is the set of targets of one fleet that this entry uses, under one configuration
// version and VM list. It implements route.TargetPool.
type fleetView struct {
	entry           *Entry
	state           *fleetState
	version         uint64
	entriesDigest   uint64          // digest of the entry list that the subset was computed for
	declaredTargets []config.Target // the targets of the fleet that this entry uses
	targets         []viewTarget
	nearCount       int
	bySlot          [route.IndexTargets]int // position in targets by index slot, -1 if none
}

type viewTarget struct {
	name       string
	dataCentre string
	indexSlot  int // slot in the cache index, -1 if none
	link       atomic.Pointer[link]
}

// Len implements route.TargetPool.
func (v *fleetView) Len() int { return len(v.targets) }

// NearCount implements route.TargetPool.
func (v *fleetView) NearCount() int { return v.nearCount }

// Read implements route.TargetPool.
func (v *fleetView) Read(i int, r *route.Request, t *route.Target) {
	vt := &v.targets[i]
	*t = route.Target{Name: vt.name, DataCentre: vt.dataCentre}
	l := vt.link.Load()
	if l == nil {
		if l = v.entry.link(vt.name); l == nil {
			return
		}
		l.fleetState.Store(v.state)
		vt.link.Store(l)
	}
	reported, age := l.readTarget(t)
	v.state.mu.Lock()
	defer v.state.mu.Unlock()
	t.Others = v.state.loadMeans.DiscountStale(reported, age.Seconds())
	v.state.loadMeans.FillSpeeds(t)
	if vt.indexSlot >= 0 && len(r.Blocks) > 0 {
		t.CachedTokens = v.state.cacheIndex.CachedTokens(vt.indexSlot, r.Blocks)
	}
}

// LongestCached implements route.TargetPool.
func (v *fleetView) LongestCached(r *route.Request, into []int) int {
	v.state.mu.Lock()
	found := v.state.cacheIndex.LongestMatch(r.Blocks, r.Seed, into)
	v.state.mu.Unlock()
	n := 0
	for _, slot := range into[:found] {
		if position := v.bySlot[slot]; position >= 0 {
			into[n] = position
			n++
		}
	}
	return n
}

// recordPrompt adds the blocks of a prompt sent to target i to the cache index.
func (v *fleetView) recordPrompt(i int, blocks []uint64) {
	slot := v.targets[i].indexSlot
	if slot < 0 {
		return
	}
	v.state.mu.Lock()
	defer v.state.mu.Unlock()
	for _, b := range blocks {
		v.state.cacheIndex.Add(slot, b)
	}
}

// fleetViews holds the current view and the state of each fleet.
type fleetViews struct {
	mu     sync.Mutex
	states map[string]*fleetState
	views  atomic.Pointer[map[string]*fleetView]
}

// fleetView returns the view of a fleet under a configuration version. It builds a new one when
// the version or the entry list has changed.
func (e *Entry) fleetView(snap *config.Snapshot, fleet string) *fleetView {
	entriesDigest := e.entriesDigest.Load()
	if current := e.fleetViews.views.Load(); current != nil {
		if v := (*current)[fleet]; v != nil && v.version == snap.Version && v.entriesDigest == entriesDigest {
			return v
		}
	}
	e.fleetViews.mu.Lock()
	defer e.fleetViews.mu.Unlock()
	return e.newFleetView(snap, fleet, entriesDigest)
}

// newFleetView builds and stores the view of a fleet. The caller holds fleetViews.mu.
func (e *Entry) newFleetView(snap *config.Snapshot, fleet string, entriesDigest uint64) *fleetView {
	if e.fleetViews.states == nil {
		e.fleetViews.states = make(map[string]*fleetState)
	}
	state := e.fleetViews.states[fleet]
	if state == nil {
		state = newFleetState()
		e.fleetViews.states[fleet] = state
	}
	v := &fleetView{entry: e, state: state, version: snap.Version, entriesDigest: entriesDigest}
	used, near := e.targetSubset(snap.Targets(fleet))
	v.declaredTargets, v.nearCount = used, near
	v.targets = make([]viewTarget, len(used))
	for i := range used {
		v.targets[i].name, v.targets[i].dataCentre = used[i].Name, used[i].DataCentre
	}
	state.releaseUnusedSlots(v.targets)
	v.assignSlots()
	views := map[string]*fleetView{}
	if current := e.fleetViews.views.Load(); current != nil {
		for name, old := range *current {
			views[name] = old
		}
	}
	views[fleet] = v
	e.fleetViews.views.Store(&views)
	return v
}

// assignSlots gives each target a slot in the cache index while slots are left.
func (v *fleetView) assignSlots() {
	v.state.mu.Lock()
	defer v.state.mu.Unlock()
	for i := range v.bySlot {
		v.bySlot[i] = -1
	}
	for i := range v.targets {
		slot := v.state.indexSlot(v.targets[i].name)
		v.targets[i].indexSlot = slot
		if slot >= 0 {
			v.bySlot[slot] = i
		}
	}
}

// targetSubset returns the declared targets that this entry uses, those in its own data centre
// first, and how many of them are in its own data centre.
func (e *Entry) targetSubset(declared []config.Target) ([]config.Target, int) {
	self := e.opts.Settings
	entries := e.liveEntries()
	var near, far []config.Target
	for _, t := range declared {
		if !route.UsesTarget(route.Node{Name: self.Name, DataCentre: self.DataCentre}, entries, t.Name, t.DataCentre, len(declared)) {
			continue
		}
		if t.DataCentre == self.DataCentre {
			near = append(near, t)
		} else {
			far = append(far, t)
		}
	}
	return append(near, far...), len(near)
}

// liveEntries returns the live entries of the VM list, including this one.
func (e *Entry) liveEntries() []route.Node {
	self := route.Node{Name: e.opts.Settings.Name, DataCentre: e.opts.Settings.DataCentre}
	entries := []route.Node{self}
	vms := e.vms.Load()
	if vms == nil {
		return entries
	}
	for _, vm := range *vms {
		if vm.Role == outside.RoleEntry && vm.State == outside.StateLive && vm.Name != self.Name {
			entries = append(entries, route.Node{Name: vm.Name, DataCentre: vm.DataCentre})
		}
	}
	return entries
}

// entriesHash returns a hash of an entry list that does not depend on its order.
func entriesHash(entries []route.Node) uint64 {
	sum := uint64(0)
	for _, n := range entries {
		sum += xxhash.Sum64String(n.Name + "\x00" + n.DataCentre)
	}
	return sum
}

// targetWork is the work of this entry and of the other entries at one target.
type targetWork struct {
	own        route.Work
	others     route.Work // work of the other entries, according to the latest load report
	reportedAt time.Time  // arrival time of the latest load report
	source     *wire.Conn // connection that carried the latest load report
}
