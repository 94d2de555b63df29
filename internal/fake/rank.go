package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/outside"
)

// maxMaps is the number of maps whose weights fit in an engine's memory: the current map,
// the next map, and one map left over from a completed switch.
const maxMaps = 3

// Rank is a stand-in for the rank interface of an engine in a LockStep.
type Rank struct {
	group  *LockStep
	index  int
	engine *Engine

	mu   sync.Mutex    // locked after the mutex of the group if both locks are needed
	maps []*expert.Map // maps whose weights are loaded, oldest first
	pos  expert.Position
}

// Position implements outside.Rank.
func (r *Rank) Position(ctx context.Context) (expert.Position, error) {
	if r.engine.isDown() {
		return expert.Position{}, errEngineDown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pos, ctx.Err()
}

// Prepare implements outside.Rank. It fetches the weights that the loaded maps lack.
func (r *Rank) Prepare(ctx context.Context, _ int, m *expert.Map) error {
	if r.engine.isDown() {
		return errEngineDown
	}
	r.mu.Lock()
	missing := m.Shape.Layers * m.Shape.SlotsOfRank
	for _, loaded := range r.maps {
		if loaded.ID() == m.ID() {
			r.mu.Unlock()
			return nil
		}
		missing = min(missing, loaded.MovesOfRank(r.index, m))
	}
	start := r.pos.Start
	r.mu.Unlock()
	if err := r.group.weights.Fetch(ctx, int64(missing)*r.group.ExpertBytes); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pos.Start != start {
		return expert.ErrEngineRestarted
	}
	r.addMap(m)
	return nil
}

// addMap adds a loaded map. If maxMaps are loaded already, it drops the oldest map that is
// not in use.
func (r *Rank) addMap(m *expert.Map) {
	for i, loaded := range r.maps {
		if len(r.maps) >= maxMaps && loaded.ID() != r.pos.Map {
			r.maps = append(r.maps[:i:i], r.maps[i+1:]...)
			break
		}
	}
	r.maps = append(r.maps, m)
}

// Hold implements outside.Rank.
func (r *Rank) Hold(ctx context.Context, t expert.HoldToken, at uint64) (before, after expert.Position, err error) {
	if r.engine.isDown() {
		return before, after, errEngineDown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before = r.pos
	r.pos.Hold(t, at)
	return before, r.pos, ctx.Err()
}

// Release implements outside.Rank.
func (r *Rank) Release(_ context.Context, t expert.HoldToken, start uint64, s expert.Schedule, join uint64) error {
	if r.engine.isDown() {
		return errEngineDown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pos.Release(t, start, s, join)
}

// Lift implements outside.Rank.
func (r *Rank) Lift(_ context.Context, t expert.HoldToken) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pos.Lift(t)
}

// Loads implements outside.Rank.
func (r *Rank) Loads(ctx context.Context) (outside.RankLoads, error) {
	r.mu.Lock()
	id := r.pos.Map
	m := r.findMap(id)
	r.mu.Unlock()
	if m == nil {
		return outside.RankLoads{}, errEngineDown
	}
	tokens, speed := r.group.loadsOfRank(r.index, m)
	total := 0.0
	for _, v := range tokens {
		total += v
	}
	return outside.RankLoads{Map: id, Tokens: tokens, Seconds: total / speed / tokensPerSecond}, ctx.Err()
}

// tokensPerSecond is the computing rate of a rank with speed 1.
const tokensPerSecond = 1e6

// findMap returns the loaded map with an ID, or nil if it is not loaded.
func (r *Rank) findMap(id expert.MapID) *expert.Map {
	for _, m := range r.maps {
		if m.ID() == id {
			return m
		}
	}
	return nil
}

// Maps implements outside.Rank.
func (r *Rank) Maps(ctx context.Context) ([]*expert.Map, error) {
	if r.engine.isDown() {
		return nil, errEngineDown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*expert.Map(nil), r.maps...), ctx.Err()
}

// restart drops the loaded maps and the position of the rank, like a new engine process.
func (r *Rank) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pos = r.pos.AfterRestart()
	r.maps = nil
}

// RankHandler serves the rank interface of an engine over HTTP and passes all other
// requests to next. The function rank returns the engine's rank. While it returns nil,
// because the engine is in no group, requests to the rank interface get status 404.
func RankHandler(rank func() *Rank, next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	get := func(path string, read func(ctx context.Context, r *Rank) (any, error)) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, q *http.Request) {
			r := rank()
			if r == nil {
				http.NotFound(w, q)
				return
			}
			v, err := read(q.Context(), r)
			writeJSON(w, v, err)
		})
	}
	get(outside.PathRankPosition, func(ctx context.Context, r *Rank) (any, error) { return r.Position(ctx) })
	get(outside.PathRankLoads, func(ctx context.Context, r *Rank) (any, error) { return r.Loads(ctx) })
	get(outside.PathRankMaps, func(ctx context.Context, r *Rank) (any, error) { return r.Maps(ctx) })
	order := func(path string, run func(ctx context.Context, r *Rank, o *outside.RankOrder, reply *outside.RankReply) error) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, q *http.Request) { serveRankOrder(w, q, rank(), run) })
	}
	order(outside.PathRankPrepare, func(ctx context.Context, r *Rank, o *outside.RankOrder, _ *outside.RankReply) error {
		return r.Prepare(ctx, o.Rank, o.Map)
	})
	order(outside.PathRankHold, func(ctx context.Context, r *Rank, o *outside.RankOrder, reply *outside.RankReply) (err error) {
		reply.Before, reply.After, err = r.Hold(ctx, o.Token, o.At)
		return err
	})
	order(outside.PathRankRelease, func(ctx context.Context, r *Rank, o *outside.RankOrder, _ *outside.RankReply) error {
		return r.Release(ctx, o.Token, o.Start, o.Schedule, o.Join)
	})
	order(outside.PathRankLift, func(ctx context.Context, r *Rank, o *outside.RankOrder, _ *outside.RankReply) error {
		return r.Lift(ctx, o.Token)
	})
	return mux
}

// rankOrderFunc executes an order on a rank and may set positions in the reply.
type rankOrderFunc func(ctx context.Context, r *Rank, o *outside.RankOrder, reply *outside.RankReply) error

// serveRankOrder decodes and executes an order. The text of an error goes into the
// reply.
func serveRankOrder(w http.ResponseWriter, q *http.Request, r *Rank, run rankOrderFunc) {
	if r == nil {
		http.NotFound(w, q)
		return
	}
	var o outside.RankOrder
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var reply outside.RankReply
	if err := run(q.Context(), r, &o, &reply); err != nil {
		reply.Refused = err.Error()
	}
	writeJSON(w, reply, nil)
}
