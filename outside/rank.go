package outside

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/heatherrail/heatherrail/expert"
)

// Rank is an engine in the role of a rank of a lock-step group. Its orders correspond
// to the methods of expert.Position. Each order takes effect atomically or not at all.
type Rank interface {
	// Position returns the step, map, schedule and hold of the engine.
	Position(ctx context.Context) (expert.Position, error)
	// Prepare loads the weights that the engine needs as the given rank of a map,
	// beside the weights in use. It returns when they are loaded.
	Prepare(ctx context.Context, rank int, m *expert.Map) error
	// Hold places a hold before step at and returns the position before and after.
	Hold(ctx context.Context, t expert.HoldToken, at uint64) (before, after expert.Position, err error)
	// Release ends the hold of a token and sets the schedule of maps. start identifies
	// the engine run. A rank that has entered no step since its start begins at step
	// join.
	Release(ctx context.Context, t expert.HoldToken, start uint64, s expert.Schedule, join uint64) error
	// Lift removes the hold of a token and leaves the schedule unchanged.
	Lift(ctx context.Context, t expert.HoldToken) error
	// Loads returns the measured loads of the rank under its current map.
	Loads(ctx context.Context) (RankLoads, error)
	// Maps returns the maps whose weights are loaded on the rank.
	Maps(ctx context.Context) ([]*expert.Map, error)
}

// RankLoads holds averages over recent steps under one map.
type RankLoads struct {
	Map     expert.MapID `json:"map"`
	Tokens  []float64    `json:"tokens"`  // tokens per step for each slot, layer by layer
	Seconds float64      `json:"seconds"` // computing time per step before the barrier; 0: not reported
}

// Paths of the rank interface of an engine.
const (
	PathRankPosition = "/rank/position"
	PathRankPrepare  = "/rank/prepare"
	PathRankHold     = "/rank/hold"
	PathRankRelease  = "/rank/release"
	PathRankLift     = "/rank/lift"
	PathRankLoads    = "/rank/loads"
	PathRankMaps     = "/rank/maps"
)

// RankOrder is the JSON body of all orders. Each order uses a subset of the fields.
type RankOrder struct {
	Token    expert.HoldToken `json:"token"`
	At       uint64           `json:"at"`
	Start    uint64           `json:"start"`
	Schedule expert.Schedule  `json:"schedule"`
	Join     uint64           `json:"join"`
	Rank     int              `json:"rank"`
	Map      *expert.Map      `json:"map,omitempty"`
}

// RankReply is the JSON response to an order. Refused is the text of
// expert.ErrEngineRestarted or expert.ErrHoldSuperseded.
type RankReply struct {
	Before  expert.Position `json:"before"`
	After   expert.Position `json:"after"`
	Refused string          `json:"refused,omitempty"`
}

// HTTPRank is a client of the rank interface of an engine over HTTP.
type HTTPRank struct{ Addr string }

// Position implements Rank.
func (r *HTTPRank) Position(ctx context.Context) (expert.Position, error) {
	var p expert.Position
	err := callJSON(ctx, r.Addr, &Call{Method: http.MethodGet, Path: PathRankPosition}, &p)
	return p, err
}

func (r *HTTPRank) sendOrder(ctx context.Context, path string, o *RankOrder) (*RankReply, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("encode order: %w", err)
	}
	reply := new(RankReply)
	if err := callJSON(ctx, r.Addr, &Call{Method: http.MethodPost, Path: path, Body: body}, reply); err != nil {
		return nil, err
	}
	switch reply.Refused {
	case "":
		return reply, nil
	case expert.ErrEngineRestarted.Error():
		return nil, expert.ErrEngineRestarted
	case expert.ErrHoldSuperseded.Error():
		return nil, expert.ErrHoldSuperseded
	}
	return nil, fmt.Errorf("engine refused the order: %s", reply.Refused)
}

// Prepare implements Rank.
func (r *HTTPRank) Prepare(ctx context.Context, rank int, m *expert.Map) error {
	_, err := r.sendOrder(ctx, PathRankPrepare, &RankOrder{Rank: rank, Map: m})
	return err
}

// Hold implements Rank.
func (r *HTTPRank) Hold(ctx context.Context, t expert.HoldToken, at uint64) (before, after expert.Position, err error) {
	reply, err := r.sendOrder(ctx, PathRankHold, &RankOrder{Token: t, At: at})
	if err != nil {
		return before, after, err
	}
	return reply.Before, reply.After, nil
}

// Release implements Rank.
func (r *HTTPRank) Release(ctx context.Context, t expert.HoldToken, start uint64, s expert.Schedule, join uint64) error {
	_, err := r.sendOrder(ctx, PathRankRelease, &RankOrder{Token: t, Start: start, Schedule: s, Join: join})
	return err
}

// Lift implements Rank.
func (r *HTTPRank) Lift(ctx context.Context, t expert.HoldToken) error {
	_, err := r.sendOrder(ctx, PathRankLift, &RankOrder{Token: t})
	return err
}

// Loads implements Rank.
func (r *HTTPRank) Loads(ctx context.Context) (RankLoads, error) {
	var l RankLoads
	err := callJSON(ctx, r.Addr, &Call{Method: http.MethodGet, Path: PathRankLoads}, &l)
	return l, err
}

// Maps implements Rank.
func (r *HTTPRank) Maps(ctx context.Context) ([]*expert.Map, error) {
	var maps []*expert.Map
	err := callJSON(ctx, r.Addr, &Call{Method: http.MethodGet, Path: PathRankMaps}, &maps)
	return maps, err
}
