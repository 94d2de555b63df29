package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/expert"
)

// Figures of the group, within those of the small deployments.
const (
	groupRanks    = 6
	groupSets     = 2
	groupExperts  = 24
	groupPlaces   = 6
	groupSpare    = 3
	groupSlots    = 12
	groupStride   = 4
	copyOfExpert  = 98 * time.Millisecond // expert-mb 2200 over link-mbps 180000
	reportLag     = 200 * time.Millisecond
	passBase      = 24 * time.Millisecond
	passPerStream = time.Millisecond
	streamEvents  = 24
)

// group is a group of model engines that run each pass together.
type group struct {
	w *world

	mu      sync.Mutex
	step    uint64
	epoch   uint64
	engines []*engine
	loads   []float64     // selections of each expert in a pass, by layer set
	passed  chan struct{} // closed and replaced at each pass
	mixed   int           // passes that began with two maps
	changes int           // passes that began with a new map at some rank

	// onArmed is called, without the lock, before an engine answers the order that has armed it.
	onArmed func(e *engine)
}

// engine is one rank.
type engine struct {
	id      string
	address string
	rank    int
	group   *group
	ownPID  func() int // process on the engine's own VM

	running  int
	choices  []float64
	version  uint64
	inUse    [][][]uint16 // by layer set and rank
	highest  uint64
	prepared uint64
	next     [][][]uint16
	readyAt  time.Time // when the latest copy was complete
	armed    uint64
	armedAt  uint64
	held     uint64
	born     int64
	history  []snapshot
}

// snapshot is what an engine reported from a moment on.
type snapshot struct {
	at   time.Time
	text []byte
}

func newGroup(w *world) *group {
	g := &group{w: w, epoch: 1, passed: make(chan struct{})}
	var first [][][]uint16
	for range groupSets {
		first = append(first, [][]uint16(expert.InitialLayout(groupRanks, groupExperts)))
	}
	for r := range groupRanks {
		g.engines = append(g.engines, &engine{
			id: fmt.Sprintf("i-rank%d", r), rank: r, group: g, inUse: first, born: time.Now().UnixMilli(),
			choices: make([]float64, groupSets*groupExperts),
		})
	}
	g.shiftDemand(0)
	for _, e := range g.engines {
		e.remember()
	}
	return g
}

// service is the configuration of the service of the engines.
func (g *group) service(name string) map[string]any {
	return map[string]any{"name": name, "engine": map[string]any{
		"slots": groupSlots, "stride": groupStride, "step_ms": 6.0, "per_seq_ms": 0.25, "context_per_k": 0.01,
		"read_per_s": 61400, "pairs_per_m": 0.5, "chunk": 512, "usual": map[string]any{"prompt": 100, "answer": groupStride * streamEvents},
		"sets": groupSets, "experts": groupExperts, "placements": groupPlaces, "spare": groupSpare,
		"expert-mb": 2200, "link-mbps": 180000, "expert-share": 0.85, "report_lag_ms": reportLag.Milliseconds(),
	}}
}

// shiftDemand makes other experts the ones that most requests choose.
func (g *group) shiftDemand(first int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads = make([]float64, groupSets*groupExperts)
	for i := range g.loads {
		g.loads[i] = 3000 / float64(1+(i%groupExperts+first)%groupExperts)
	}
}

// run makes passes while requests run.
func (g *group) run() {
	for {
		time.Sleep(g.beginPass())
	}
}

// beginPass begins a pass if requests run and no rank holds it, and returns the time until the next.
func (g *group) beginPass() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	busiest, running := 0, 0
	for _, e := range g.engines {
		busiest, running = max(busiest, e.running), running+e.running
		if e.held == g.step+1 {
			return time.Millisecond
		}
	}
	if running == 0 {
		return time.Millisecond
	}
	g.step++
	before := g.engines[0].version
	for _, e := range g.engines {
		e.beginPass()
	}
	g.checkMaps(before)
	close(g.passed)
	g.passed = make(chan struct{})
	for _, e := range g.engines {
		e.remember()
	}
	return passBase + time.Duration(busiest)*passPerStream
}

// checkMaps records a pass that began while two ranks had different maps, by version or content.
func (g *group) checkMaps(before uint64) {
	first := g.engines[0]
	if slices.ContainsFunc(g.engines, func(e *engine) bool { return e.version != before }) {
		g.changes++
		g.w.note("pass %d begins with another map than the one before", g.step)
	}
	for _, e := range g.engines {
		if e.version == first.version && reflect.DeepEqual(e.inUse, first.inUse) {
			continue
		}
		g.mixed++
		if g.mixed <= 20 {
			g.w.note("MAP: pass %d begins while rank 0 has map %d and rank %d has map %d", g.step, first.version, e.rank, e.version)
		}
		return
	}
}

func (e *engine) beginPass() {
	if e.armed != 0 && e.armedAt == e.group.step {
		e.version, e.inUse = e.armed, e.next
		e.armed, e.prepared, e.next = 0, 0, nil
	}
	for i := range e.choices {
		if e.running > 0 {
			e.choices[i] += e.group.loads[i]
		}
	}
}

// report is the engine's report on itself. The caller holds the lock.
func (e *engine) report() []byte {
	text, _ := json.Marshal(map[string]any{
		"phase": "both", "models": []any{}, "busy": false, "sequence": 0, "waiting": 0, "running": e.running, "kv-used": 0, "kv-total": 280000, "handles": 0,
		"born": e.born, "pace": 1.0, "group": map[string]any{"name": "g0-0", "epoch": e.group.epoch, "rank": e.rank, "state": "open"}, "size": groupRanks,
		"step": e.group.step, "map": e.version, "prepared": e.prepared, "armed": e.armed, "held": e.held,
	})
	return text
}

// remember keeps the report for callers of other VMs. The caller holds the lock.
func (e *engine) remember() {
	e.history = append(e.history, snapshot{at: time.Now(), text: e.report()})
	if len(e.history) > 2000 {
		e.history = slices.Clone(e.history[1000:])
	}
}

// reportTo returns the report: to the process on the engine's own VM that of now, to others that of some time ago.
func (e *engine) reportTo(own bool) []byte {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	if own {
		return e.report()
	}
	asOf := time.Now().Add(-reportLag)
	text := e.history[0].text
	for _, s := range e.history {
		if s.at.After(asOf) {
			break
		}
		text = s.text
	}
	return text
}

type ownKey struct{}

// serve serves the engine at an address.
func (e *engine) serve(address string) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	e.address = ln.Addr().String()
	server := &http.Server{Handler: e, ConnContext: connOwner}
	go func() { _ = server.Serve(ln) }()
	return nil
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/heatherrail/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(e.reportTo(ownerOf(r) == e.ownPID()))
	case "/heatherrail/picked":
		e.picked(w, r.URL.Query().Get("lists") != "")
	case "/heatherrail/order":
		e.order(w, r)
	default:
		e.stream(w, r)
	}
}

func (e *engine) picked(w http.ResponseWriter, lists bool) {
	e.group.mu.Lock()
	body := map[string]any{"epoch": e.group.epoch, "step": e.group.step, "born": e.born}
	if lists {
		body["map"] = map[string]any{"version": e.version, "experts": ofRank(e.inUse, e.rank)}
		body["prepared"] = map[string]any{"version": e.prepared, "experts": ofRank(e.next, e.rank)}
	} else {
		counts := make([]uint64, len(e.choices))
		for i, n := range e.choices {
			counts[i] = uint64(n)
		}
		body["counts"] = counts
	}
	e.group.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func ofRank(sets [][][]uint16, rank int) [][]uint16 {
	lists := [][]uint16{}
	for _, ranks := range sets {
		lists = append(lists, ranks[rank])
	}
	return lists
}

type engineOrder struct {
	Operation string       `json:"operation"`
	Version   uint64       `json:"version"`
	Step      uint64       `json:"step"`
	Epoch     uint64       `json:"epoch"`
	Map       [][][]uint16 `json:"map"`
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o engineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.group.mu.Lock()
	status := e.apply(&o)
	e.remember()
	if o.Operation != "prepare" {
		e.group.w.note("rank %d: %s version %d step %d -> %d (last pass begun: %d)", e.rank, o.Operation, o.Version, o.Step, status, e.group.step)
	} else {
		e.group.w.note("rank %d: prepare version %d -> %d, %d experts to copy", e.rank, o.Version, status, e.missing(o.Map))
	}
	e.group.mu.Unlock()
	if o.Operation == "arm" && status == http.StatusAccepted && e.group.onArmed != nil {
		e.group.onArmed(e)
	}
	w.WriteHeader(status)
}

// apply carries an order out and returns the status of its answer. The caller holds the lock.
func (e *engine) apply(o *engineOrder) int {
	begun := o.Step <= e.group.step
	if o.Epoch != 0 && o.Epoch != e.group.epoch {
		return http.StatusConflict
	}
	switch o.Operation {
	case "prepare":
		return e.prepare(o)
	case "arm":
		switch {
		case e.armed == o.Version && e.armedAt == o.Step:
			return http.StatusOK
		case e.prepared != o.Version || begun:
			return http.StatusConflict
		}
		e.armed, e.armedAt = o.Version, o.Step
	case "disarm":
		switch {
		case e.version == o.Version:
			return http.StatusConflict
		case e.armed != o.Version:
			return http.StatusOK
		}
		e.armed = 0
	case "hold":
		switch {
		case e.held == o.Step:
			return http.StatusOK
		case begun || e.held != 0:
			return http.StatusConflict
		}
		e.held = o.Step
	case "go":
		if e.held != o.Step {
			return http.StatusOK
		}
		e.held = 0
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// missing returns the number of experts that the rank would have to copy. The caller holds the lock.
func (e *engine) missing(sets [][][]uint16) (n int) {
	for s, ranks := range sets {
		if e.rank >= len(ranks) {
			continue
		}
		for _, x := range ranks[e.rank] {
			if !slices.Contains(e.inUse[s][e.rank], x) {
				n++
			}
		}
	}
	return n
}

func (e *engine) prepare(o *engineOrder) int {
	if o.Version <= e.highest || e.armed != 0 || len(o.Map) != groupSets {
		return http.StatusConflict
	}
	for s, ranks := range o.Map {
		fresh := 0
		if len(ranks) != groupRanks || len(ranks[e.rank]) > groupPlaces {
			return http.StatusConflict
		}
		for _, x := range ranks[e.rank] {
			if !slices.Contains(e.inUse[s][e.rank], x) {
				fresh++
			}
		}
		if fresh > groupSpare {
			return http.StatusConflict
		}
	}
	e.highest, e.prepared, e.next = o.Version, 0, nil
	complete := func() {
		if e.highest == o.Version {
			e.prepared, e.next, e.readyAt = o.Version, o.Map, time.Now()
			e.remember()
		}
	}
	n := e.missing(o.Map)
	if n == 0 {
		complete()
		return http.StatusAccepted
	}
	time.AfterFunc(time.Duration(n)*copyOfExpert, func() {
		e.group.mu.Lock()
		defer e.group.mu.Unlock()
		complete()
	})
	return http.StatusAccepted
}

// stream answers with one event for each pass.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.group.mu.Lock()
	full := e.running >= groupSlots
	if !full {
		e.running++
	}
	e.group.mu.Unlock()
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.group.mu.Lock()
		defer e.group.mu.Unlock()
		e.running--
	}()
	first := 0
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	e.group.w.note("rank %d runs stream %s from event %d", e.rank, r.Header.Get("X-Request-Id"), first)
	w.Header().Set(sealHeader, "seal-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n < streamEvents; n++ {
		e.group.mu.Lock()
		passed := e.group.passed
		e.group.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-passed:
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
