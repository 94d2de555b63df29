package entry

import (
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/heatherrail/heatherrail/route"
)

// maxExplanations is the number of placement decisions that an entry keeps.
const maxExplanations = 256

// explainRing is a ring buffer of the latest placement decisions.
type explainRing struct {
	mu   sync.Mutex
	ring [maxExplanations]explanation
	next int
}

// explanation is one placement decision and the request that it was made for.
type explanation struct {
	requestID string
	team      string
	service   string
	at        time.Time
	decision  route.Decision
}

func (r *explainRing) add(c *Call, d *route.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := &r.ring[r.next]
	r.next = (r.next + 1) % maxExplanations
	x.requestID, x.team, x.service, x.at = c.ID, c.Team, c.Service, time.Now()
	x.decision = *d
}

// find returns the decisions for a team's request, oldest first.
func (r *explainRing) find(team, request string) []DecisionView {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []DecisionView
	for i := range maxExplanations {
		x := &r.ring[(r.next+i)%maxExplanations]
		if x.requestID == request && x.team == team {
			found = append(found, x.view())
		}
	}
	return found
}

// DecisionView is one placement decision in the body of GET /v1/explain/ID.
type DecisionView struct {
	At         time.Time       `json:"at"`
	Service    string          `json:"service"`
	Chosen     string          `json:"chosen"`  // empty: no target could take work
	Filtered   int             `json:"dropped"` // sampled targets that could not take work
	Candidates []CandidateView `json:"candidates"`
}

// CandidateView is one target that the placement scored. Seconds and tokens are
// estimates.
type CandidateView struct {
	Target            string  `json:"target"`
	DataCentre        string  `json:"data_centre"`
	ScoreSeconds      float64 `json:"score_seconds"`
	OwnRequests       float64 `json:"own_requests"`
	OthersRequests    float64 `json:"others_requests"`
	PromptTokensAhead float64 `json:"prompt_tokens_ahead"`
	CachedTokens      float64 `json:"cached_tokens"`
}

func (x *explanation) view() DecisionView {
	v := DecisionView{At: x.at, Service: x.service, Filtered: x.decision.Filtered}
	for i := range x.decision.NumCandidates {
		c := &x.decision.Candidates[i]
		v.Candidates = append(v.Candidates, CandidateView{
			Target:            c.Target.Name,
			DataCentre:        c.Target.DataCentre,
			ScoreSeconds:      c.Score,
			OwnRequests:       c.Target.Own.Requests,
			OthersRequests:    c.Target.Others.Requests,
			PromptTokensAhead: c.Target.Own.Prompt + c.Target.Others.Prompt,
			CachedTokens:      c.Target.CachedTokens,
		})
	}
	if best := x.decision.Best(); best != nil {
		v.Chosen = best.Target.Name
	}
	return v
}

// serveExplain answers GET /v1/explain/ID. Only the team that sent the request sees its
// decisions.
func (e *Entry) serveExplain(c fiber.Ctx) error {
	_, team, err := e.authenticate(c)
	if err != nil {
		return e.refuse(c, err)
	}
	id := strings.Clone(c.Params("id"))
	found := e.explanations.find(team.Name, id)
	if found == nil {
		return c.Status(fiber.StatusNotFound).JSON(fiber.Map{"request": id, "decisions": []DecisionView{}})
	}
	return c.JSON(fiber.Map{"request": id, "decisions": found})
}
