package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/platform/standin"
)

// Figures of the group: those of the smallest deployments.
const (
	groupRanks     = 12
	groupSets      = 4
	groupExperts   = 72
	placesPerRank  = 8
	spareExperts   = 3
	groupSlots     = 12
	passTime       = 25 * time.Millisecond
	copyTime       = 98 * time.Millisecond // of one expert: 2,200 MB at 180,000 Mbit/s
	groupEpoch     = 1
	streamPasses   = 6
	selectionsPeak = 3000 // selections of the most wanted expert by one rank in one pass
)

// mapGroup is a group of model engines that run each pass together and begin none while no request
// is in progress.
type mapGroup struct {
	rec *recorder

	mu       sync.Mutex
	step     uint64
	running  int
	loads    []float64
	ranks    []*mapRank
	passed   chan struct{}             // closed and replaced at each pass
	mixed    int                       // passes that began with two maps
	switched int                       // passes that began with a new map
	onArm    func(rank int, idle bool) // called when a rank has been armed
	onCopy   func()                    // called when a rank is ordered to prepare a map
}

// mapRank is the engine of one rank, as an HTTP handler. Its fields are guarded by the group's lock.
type mapRank struct {
	group  *mapGroup
	index  int
	id     string
	bornMS int64

	counts   []uint64
	running  int
	version  uint64
	experts  [][]uint16
	highest  uint64
	prepared uint64
	next     [][]uint16
	armed    uint64
	armedAt  uint64
	heldAt   uint64
}

func newMapGroup(rec *recorder) *mapGroup {
	g := &mapGroup{rec: rec, passed: make(chan struct{})}
	first := expert.InitialLayout(groupRanks, groupExperts)
	for n := range groupRanks {
		r := &mapRank{group: g, index: n, id: engineID(n), bornMS: time.Now().UnixMilli(), counts: make([]uint64, groupSets*groupExperts)}
		for range groupSets {
			r.experts = append(r.experts, first[n])
		}
		g.ranks = append(g.ranks, r)
	}
	g.shiftDemand(0)
	go g.run() // runs until the process exits
	return g
}

// shiftDemand changes which experts are wanted most.
func (g *mapGroup) shiftDemand(first int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads = make([]float64, groupSets*groupExperts)
	for i := range g.loads {
		g.loads[i] = selectionsPeak / float64(1+(i%groupExperts+first)%groupExperts)
	}
}

func (g *mapGroup) run() {
	for {
		time.Sleep(passTime)
		g.beginPass()
	}
}

// beginPass begins the next pass unless the group is idle or a rank holds it.
func (g *mapGroup) beginPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.step + 1
	if g.running == 0 || slices.ContainsFunc(g.ranks, func(r *mapRank) bool { return r.heldAt == next }) {
		return
	}
	g.step = next
	changed := 0
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedAt == next {
			r.version, r.experts, r.armed, r.prepared = r.armed, r.next, 0, 0
			changed++
		}
		for i := range r.counts {
			r.counts[i] += uint64(g.loads[i])
		}
	}
	if changed > 0 {
		g.switched++
		g.rec.printf("pass %d begins, %d ranks change their map; versions by rank: %v", next, changed, g.versions())
	}
	if slices.ContainsFunc(g.ranks, func(r *mapRank) bool { return r.version != g.ranks[0].version }) {
		g.mixed++
	}
	close(g.passed)
	g.passed = make(chan struct{})
}

func (g *mapGroup) versions() (versions []uint64) {
	for _, r := range g.ranks {
		versions = append(versions, r.version)
	}
	return versions
}

// groupState is what the group has done so far.
type groupState struct {
	step     uint64
	armed    []int // ranks that are armed
	switched int
	mixed    int
}

func (g *mapGroup) state() groupState {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := groupState{step: g.step, switched: g.switched, mixed: g.mixed}
	for _, r := range g.ranks {
		if r.armed != 0 {
			s.armed = append(s.armed, r.index)
		}
	}
	return s
}

// ServeHTTP implements http.Handler.
func (r *mapRank) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/heatherrail/report":
		r.report(w)
	case "/heatherrail/picked":
		r.picked(w, req.URL.Query().Has("lists"))
	case "/heatherrail/order":
		r.order(w, req)
	default:
		r.stream(w, req)
	}
}

func (r *mapRank) report(w http.ResponseWriter) {
	r.group.mu.Lock()
	body := map[string]any{
		"born": r.bornMS, "size": groupRanks, "running": r.running, "waiting": 0, "pace": 1.0,
		"group": map[string]any{"name": "g", "epoch": groupEpoch, "rank": r.index, "state": "open"},
		"step":  r.group.step, "map": r.version, "prepared": r.prepared, "armed": r.armed, "held": r.heldAt,
	}
	r.group.mu.Unlock()
	writeJSON(w, body)
}

func (r *mapRank) picked(w http.ResponseWriter, lists bool) {
	r.group.mu.Lock()
	body := map[string]any{"born": r.bornMS, "epoch": groupEpoch, "step": r.group.step}
	if lists {
		body["map"] = map[string]any{"version": r.version, "experts": r.experts}
	} else {
		body["counts"] = slices.Clone(r.counts)
	}
	r.group.mu.Unlock()
	writeJSON(w, body)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the agent has closed the connection
}

// mapOrder is an order to an engine.
type mapOrder struct {
	Operation string       `json:"operation"`
	Version   uint64       `json:"version"`
	Step      uint64       `json:"step"`
	Epoch     uint64       `json:"epoch"`
	Map       [][][]uint16 `json:"map"`
}

func (r *mapRank) order(w http.ResponseWriter, req *http.Request) {
	var o mapOrder
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.group.mu.Lock()
	status := r.apply(&o)
	idle := r.group.running == 0
	r.group.mu.Unlock()
	if o.Operation != "prepare" {
		r.group.rec.printf("rank %d: %s, version %d, step %d: %d", r.index, o.Operation, o.Version, o.Step, status)
	}
	switch {
	case o.Operation == "arm" && status < http.StatusBadRequest && r.group.onArm != nil:
		r.group.onArm(r.index, idle)
	case o.Operation == "prepare" && r.group.onCopy != nil:
		r.group.onCopy()
	}
	w.WriteHeader(status)
}

// apply carries out an order and returns the status of its answer.
func (r *mapRank) apply(o *mapOrder) int {
	begun := o.Step <= r.group.step
	if o.Epoch != groupEpoch {
		return http.StatusConflict
	}
	switch o.Operation {
	case "prepare":
		return r.prepare(o)
	case "arm":
		switch {
		case r.armed == o.Version && r.armedAt == o.Step:
			return http.StatusOK
		case r.prepared != o.Version || begun || r.armed != 0:
			return http.StatusConflict
		}
		r.armed, r.armedAt = o.Version, o.Step
	case "disarm":
		switch {
		case r.version == o.Version:
			return http.StatusConflict
		case r.armed != o.Version:
			return http.StatusOK
		}
		r.armed = 0
	case "hold":
		switch {
		case r.heldAt == o.Step && !begun:
			return http.StatusOK
		case begun || r.heldAt > r.group.step:
			return http.StatusConflict
		}
		r.heldAt = o.Step
	case "go":
		if r.heldAt != o.Step {
			return http.StatusOK
		}
		r.heldAt = 0
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

func (r *mapRank) prepare(o *mapOrder) int {
	if r.prepared == o.Version {
		return http.StatusOK
	}
	if o.Version <= r.highest || r.armed != 0 || len(o.Map) != groupSets {
		return http.StatusConflict
	}
	var next [][]uint16
	copies := 0
	for set, ranks := range o.Map {
		if len(ranks) != groupRanks || len(ranks[r.index]) > placesPerRank {
			return http.StatusConflict
		}
		added := 0
		for _, e := range ranks[r.index] {
			if !slices.Contains(r.experts[set], e) {
				added++
			}
		}
		if added > spareExperts {
			return http.StatusConflict
		}
		copies += added
		next = append(next, ranks[r.index])
	}
	r.highest, r.prepared = o.Version, 0
	time.AfterFunc(time.Duration(copies)*copyTime/groupSets, func() {
		r.group.mu.Lock()
		defer r.group.mu.Unlock()
		if r.highest == o.Version {
			r.prepared, r.next = o.Version, next
		}
	})
	return http.StatusAccepted
}

// stream answers with one event a pass.
func (r *mapRank) stream(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := req.Header.Get(names.Instance); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	if !r.changeRunning(1) {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.changeRunning(-1)
	w.Header().Set(names.Seal, "seal-"+r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range streamPasses {
		r.group.mu.Lock()
		passed := r.group.passed
		r.group.mu.Unlock()
		select {
		case <-passed:
		case <-req.Context().Done():
			return
		}
		if _, err := io.WriteString(w, standin.StreamEvent(id, n)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

func (r *mapRank) changeRunning(by int) bool {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if by > 0 && r.running == groupSlots {
		return false
	}
	r.running += by
	r.group.running += by
	return true
}
