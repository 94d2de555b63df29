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

// fleetState is what the entry has learnt of one fleet. It outlives
// configuration versions.
type fleetState struct {
	mu     sync.Mutex
	means  route.LoadMeans
	index  *route.CacheIndex
	slots  map[string]int // of the index, by target
	answer float64        // mean length of answers, tokens
}

// indexBlocks bounds the cache index of a fleet: 32,768 blocks of 64 tokens take
// half a megabyte and cover some ten engines' caches.
const indexBlocks = 1 << 15

func newFleetState() *fleetState {
	return &fleetState{index: route.NewCacheIndex(indexBlocks), slots: make(map[string]int)}
}

// slot returns a target's place in the index, -1 if all are taken. Called with mu.
func (s *fleetState) slot(target string) int {
	if at, ok := s.slots[target]; ok {
		return at
	}
	var used [route.IndexTargets]bool
	for _, at := range s.slots {
		used[at] = true
	}
	for at, taken := range used {
		if !taken {
			s.slots[target] = at
			return at
		}
	}
	return -1
}

// keep frees the places of targets that are no longer used.
func (s *fleetState) keep(targets []viewTarget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := make(map[string]bool, len(targets))
	for i := range targets {
		used[targets[i].name] = true
	}
	for name, at := range s.slots {
		if !used[name] {
			s.index.RemoveTarget(at)
			delete(s.slots, name)
		}
	}
}

func (s *fleetState) answerTokens() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answer
}

// fleetView is the targets of one fleet that this entry uses, under one
// configuration version and VM list. It implements route.TargetPool.
type fleetView struct {
	entry    *Entry
	state    *fleetState
	version  uint64
	nodes    uint64          // digest of the entries that the subset was made for
	declared []config.Target // the part of the fleet that the entry uses
	targets  []viewTarget
	near     int
	bySlot   [route.IndexTargets]int // position by place in the index, -1: none
}

type viewTarget struct {
	name       string
	dataCentre string
	slot       int // in the index, -1: none
	link       atomic.Pointer[link]
}

// Len implements route.TargetPool.
func (v *fleetView) Len() int { return len(v.targets) }

// NearCount implements route.TargetPool.
func (v *fleetView) NearCount() int { return v.near }

// Read implements route.TargetPool.
func (v *fleetView) Read(i int, r *route.Request, t *route.Target) {
	at := &v.targets[i]
	*t = route.Target{Name: at.name, DataCentre: at.dataCentre}
	l := at.link.Load()
	if l == nil {
		if l = v.entry.link(at.name); l == nil {
			return
		}
		l.fleet.Store(v.state)
		at.link.Store(l)
	}
	reported, age := l.read(t)
	v.state.mu.Lock()
	defer v.state.mu.Unlock()
	t.Others = v.state.means.DiscountStale(reported, age.Seconds())
	v.state.means.FillSpeeds(t)
	if at.slot >= 0 && len(r.Blocks) > 0 {
		t.CachedTokens = v.state.index.CachedTokens(at.slot, r.Blocks)
	}
}

// LongestCached implements route.TargetPool.
func (v *fleetView) LongestCached(r *route.Request, into []int) int {
	v.state.mu.Lock()
	found := v.state.index.LongestMatch(r.Blocks, r.Seed, into)
	v.state.mu.Unlock()
	n := 0
	for _, slot := range into[:found] {
		if at := v.bySlot[slot]; at >= 0 {
			into[n] = at
			n++
		}
	}
	return n
}

// learn notes that a target gets a prompt.
func (v *fleetView) learn(i int, blocks []uint64) {
	slot := v.targets[i].slot
	if slot < 0 {
		return
	}
	v.state.mu.Lock()
	defer v.state.mu.Unlock()
	for _, b := range blocks {
		v.state.index.Add(slot, b)
	}
}

// fleetViews holds the views in use.
type fleetViews struct {
	mu     sync.Mutex
	states map[string]*fleetState
	views  atomic.Pointer[map[string]*fleetView]
}

// fleetView returns the view of a fleet under a version; a new one is made when
// the version or the list of entries has changed.
func (e *Entry) fleetView(snap *config.Snapshot, fleet string) *fleetView {
	nodes := e.entriesDigest.Load()
	if held := e.fleets.views.Load(); held != nil {
		if v := (*held)[fleet]; v != nil && v.version == snap.Version && v.nodes == nodes {
			return v
		}
	}
	e.fleets.mu.Lock()
	defer e.fleets.mu.Unlock()
	return e.makeView(snap, fleet, nodes)
}

func (e *Entry) makeView(snap *config.Snapshot, fleet string, nodes uint64) *fleetView {
	if e.fleets.states == nil {
		e.fleets.states = make(map[string]*fleetState)
	}
	state := e.fleets.states[fleet]
	if state == nil {
		state = newFleetState()
		e.fleets.states[fleet] = state
	}
	v := &fleetView{entry: e, state: state, version: snap.Version, nodes: nodes}
	names, near := e.subset(snap.Targets(fleet))
	v.declared, v.near = names, near
	v.targets = make([]viewTarget, len(names))
	for i := range names {
		v.targets[i].name, v.targets[i].dataCentre = names[i].Name, names[i].DataCentre
	}
	state.keep(v.targets)
	v.assignSlots()
	views := map[string]*fleetView{}
	if held := e.fleets.views.Load(); held != nil {
		for name, old := range *held {
			views[name] = old
		}
	}
	views[fleet] = v
	e.fleets.views.Store(&views)
	return v
}

func (v *fleetView) assignSlots() {
	v.state.mu.Lock()
	defer v.state.mu.Unlock()
	for i := range v.bySlot {
		v.bySlot[i] = -1
	}
	for i := range v.targets {
		slot := v.state.slot(v.targets[i].name)
		v.targets[i].slot = slot
		if slot >= 0 {
			v.bySlot[slot] = i
		}
	}
}

// subset returns the targets that this entry uses, those of its own data centre
// first, and how many those are.
func (e *Entry) subset(declared []config.Target) ([]config.Target, int) {
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

// liveEntries returns the entries of the VM list, this one among them.
func (e *Entry) liveEntries() []route.Node {
	self := route.Node{Name: e.opts.Settings.Name, DataCentre: e.opts.Settings.DataCentre}
	nodes := []route.Node{self}
	vms := e.vms.Load()
	if vms == nil {
		return nodes
	}
	for _, vm := range *vms {
		if vm.Role == outside.RoleEntry && vm.State == outside.StateLive && vm.Name != self.Name {
			nodes = append(nodes, route.Node{Name: vm.Name, DataCentre: vm.DataCentre})
		}
	}
	return nodes
}

// digestNodes tells lists of entries apart.
func digestNodes(nodes []route.Node) uint64 {
	sum := uint64(0)
	for _, n := range nodes {
		sum += xxhash.Sum64String(n.Name + "\x00" + n.DataCentre)
	}
	return sum
}

// ownWork is this entry's work at one target, and what its agent reported of
// the others'.
type ownWork struct {
	own      route.Work
	others   route.Work
	reported time.Time
	from     *wire.Conn // that the report came by
}
