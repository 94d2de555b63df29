// Package serving holds what the programs on the users' machines serve: the
// configuration in force, the targets, and the order in which news of both may
// replace what is known. It has no sockets.
package serving

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what a failure allows to be sent again.
type Kind uint8

// Kinds of requests.
const (
	// KindOnce may run once at most.
	KindOnce Kind = iota
	// KindIdempotent may run more than once.
	KindIdempotent
	// KindStream is answered event by event.
	KindStream
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindStream:
		return "stream"
	}
	return "once"
}

// ServiceWeight is one service's part of a route's requests.
type ServiceWeight struct {
	Service string
	Weight  int
}

// Route says how the requests under one path are served.
type Route struct {
	Name              string
	Host              string
	Prefix            string // begins and ends with a slash
	Kind              Kind
	Timeout           time.Duration // longest that a request may be kept waiting
	LatencyObjective  time.Duration // an answer within it has its whole worth
	EventGapObjective time.Duration // longest pause between events of an answer in time
	FirstEventTimeout time.Duration // callers leave if the first event takes longer
	Priority          int           // 0 is the most urgent
	ServiceWeights    []ServiceWeight
	MaxAttempts       int // targets that one request may be sent to
	Public            bool
	Resumable         bool // a broken stream may go on at another target
}

// Repeatable tells whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// PickService draws the service of one request; draw is in [0,1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.ServiceWeights {
		total += s.Weight
	}
	left := draw * float64(total)
	for _, s := range r.ServiceWeights {
		if left -= float64(s.Weight); left < 0 {
			return s.Service
		}
	}
	return ""
}

// EngineModel is the cost model of a service's model engines.
type EngineModel struct {
	Slots             int
	StepsPerPass      int           // token steps of a pass
	BaseStepTime      time.Duration // of one token step without writers
	StepTimePerStream time.Duration
	PrefillRate       float64 // prompt tokens a second that it reads
	MeanPromptTokens  float64 // mean tokens
	MeanOutputTokens  float64 // mean tokens
	LayerSets         int     // sets of layers with one map each; 0: no experts
	Experts           int     // in a set
	ExpertsPerRank    int     // experts of a set on one rank
	SpareExperts      int     // new experts of a set that a rank can take at once
	ExpertBytes       float64
	CopyRate          float64 // bytes a second, at which a rank copies experts
	ExpertShare       float64 // part of the work for tokens that experts do
}

// Service is what targets offer.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int          // of one target, all callers together
	ColdRate   float64      // requests a second that a cold target takes, all entries together; 0: any
	Engine     *EngineModel // nil for a plain service
}

// Team is a group of callers.
type Team struct {
	Name              string
	Keys              []string
	Priority          int
	OverridesPriority bool // Priority goes before the route's
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one accepted configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Index answers questions about one configuration. It does not change.
type Index struct {
	Config
	byHost    map[string][]*Route // longest prefix first
	byKey     map[string]*Team
	byService map[string]*Service
}

// NewIndex returns the index of a configuration.
func NewIndex(c Config) *Index {
	x := &Index{
		Config:    c,
		byHost:    make(map[string][]*Route),
		byKey:     make(map[string]*Team),
		byService: make(map[string]*Service),
	}
	for i := range x.Routes {
		r := &x.Routes[i]
		x.byHost[r.Host] = append(x.byHost[r.Host], r)
	}
	for _, routes := range x.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range x.Teams {
		for _, k := range x.Teams[i].Keys {
			x.byKey[k] = &x.Teams[i]
		}
	}
	for i := range x.Services {
		x.byService[x.Services[i].Name] = &x.Services[i]
	}
	return x
}

// Route returns the route of a request, nil if there is none. The host may
// carry a port.
func (x *Index) Route(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, r := range x.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that holds a key, nil if none does.
func (x *Index) Team(key string) *Team { return x.byKey[key] }

// EventGapObjective returns the shortest aim for the pauses in the streams of a service; 0
// if it has none.
func (x *Index) EventGapObjective(service string) time.Duration {
	least := time.Duration(0)
	for i := range x.Routes {
		r := &x.Routes[i]
		if r.Kind != KindStream || r.EventGapObjective == 0 || (least != 0 && r.EventGapObjective >= least) {
			continue
		}
		if slices.ContainsFunc(r.ServiceWeights, func(s ServiceWeight) bool { return s.Service == service }) {
			least = r.EventGapObjective
		}
	}
	return least
}

// Service returns a service by its name, nil if there is none.
func (x *Index) Service(name string) *Service { return x.byService[name] }

// HasService tells whether the configuration names a service.
func (x *Index) HasService(service string) bool { return x.byService[service] != nil }
