package outside

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/heatherrail/heatherrail/expert"
)

// Rank is an engine as a rank of a group in lock-step. Orders are the methods of
// expert.Position; each takes effect at once or not at all.
type Rank interface {
	// Position returns where the engine stands.
	Position(ctx context.Context) (expert.Position, error)
	// Prepare loads what the engine needs as a rank of a map, beside what it uses;
	// it returns when the weights are there.
	Prepare(ctx context.Context, rank int, m *expert.Map) error
	// Hold places a hold and returns the position before and after.
	Hold(ctx context.Context, t expert.HoldToken, at uint64) (before, after expert.Position, err error)
	// Release ends the hold of a token.
	Release(ctx context.Context, t expert.HoldToken, start uint64, s expert.Schedule, join uint64) error
	// Lift takes the hold of a token back.
	Lift(ctx context.Context, t expert.HoldToken) error
	// Loads returns what the rank computed under its map.
	Loads(ctx context.Context) (RankLoads, error)
	// Maps returns the maps whose weights are loaded.
	Maps(ctx context.Context) ([]*expert.Map, error)
}

// RankLoads are averages over the recent steps of one map.
type RankLoads struct {
	Map     expert.MapID `json:"map"`
	Tokens  []float64    `json:"tokens"`  // of a step, for each slot, layer by layer
	Seconds float64      `json:"seconds"` // of computing in a step, before the barrier; 0: not reported
}

// Paths of an engine's rank side.
const (
	PathRankPosition = "/rank/position"
	PathRankPrepare  = "/rank/prepare"
	PathRankHold     = "/rank/hold"
	PathRankRelease  = "/rank/release"
	PathRankLift     = "/rank/lift"
	PathRankLoads    = "/rank/loads"
	PathRankMaps     = "/rank/maps"
)

// RankOrder is the JSON body of all orders; each reads what it needs.
type RankOrder struct {
	Token    expert.HoldToken `json:"token"`
	At       uint64           `json:"at"`
	Start    uint64           `json:"start"`
	Schedule expert.Schedule  `json:"schedule"`
	Join     uint64           `json:"join"`
	Rank     int              `json:"rank"`
	Map      *expert.Map      `json:"map,omitempty"`
}

// RankReply answers an order. Refused is expert.ErrEngineRestarted's or ErrHoldSuperseded's text.
type RankReply struct {
	Before  expert.Position `json:"before"`
	After   expert.Position `json:"after"`
	Refused string          `json:"refused,omitempty"`
}

// HTTPRank is the rank side of an engine over HTTP.
type HTTPRank struct{ Addr string }

// Position implements Rank.
func (r *HTTPRank) Position(ctx context.Context) (expert.Position, error) {
	var p expert.Position
	err := callJSON(ctx, r.Addr, &Call{Method: http.MethodGet, Path: PathRankPosition}, &p)
	return p, err
}

func (r *HTTPRank) order(ctx context.Context, path string, o *RankOrder) (*RankReply, error) {
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
	return nil, fmt.Errorf("engine refuses: %s", reply.Refused)
}

// Prepare implements Rank.
func (r *HTTPRank) Prepare(ctx context.Context, rank int, m *expert.Map) error {
	_, err := r.order(ctx, PathRankPrepare, &RankOrder{Rank: rank, Map: m})
	return err
}

// Hold implements Rank.
func (r *HTTPRank) Hold(ctx context.Context, t expert.HoldToken, at uint64) (before, after expert.Position, err error) {
	reply, err := r.order(ctx, PathRankHold, &RankOrder{Token: t, At: at})
	if err != nil {
		return before, after, err
	}
	return reply.Before, reply.After, nil
}

// Release implements Rank.
func (r *HTTPRank) Release(ctx context.Context, t expert.HoldToken, start uint64, s expert.Schedule, join uint64) error {
	_, err := r.order(ctx, PathRankRelease, &RankOrder{Token: t, Start: start, Schedule: s, Join: join})
	return err
}

// Lift implements Rank.
func (r *HTTPRank) Lift(ctx context.Context, t expert.HoldToken) error {
	_, err := r.order(ctx, PathRankLift, &RankOrder{Token: t})
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
