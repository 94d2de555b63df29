// Package serving holds the configuration in force, the known targets, and the replicas that
// keep both up to date from the store and from peers. It opens no sockets.
package serving

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says whether a request may be sent again after a failure.
type Kind uint8

// Kinds of requests.
const (
	// KindOnce requests run at most once.
	KindOnce Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream requests are answered with a stream of events.
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

// ServiceWeight is the weight of one service in a route's traffic split.
type ServiceWeight struct {
	Service string
	Weight  int
}

// Route describes how the requests under one path prefix are served.
type Route struct {
	Name              string
	Host              string
	Prefix            string // path prefix; begins and ends with a slash
	Kind              Kind
	Timeout           time.Duration // time from a request's arrival to its deadline, unless the caller sets an earlier one
	LatencyObjective  time.Duration // time from arrival within which a response, or the first event of a stream, is on time
	EventGapObjective time.Duration // longest gap between two events of a stream that is on time
	FirstEventTimeout time.Duration // callers disconnect if the first event takes longer
	Priority          int           // 0 is the most urgent
	ServiceWeights    []ServiceWeight
	MaxAttempts       int // maximum number of attempts of a request, not counting those that certainly did not run
	Public            bool
	Resumable         bool // a broken stream may continue at another target
}

// Repeatable reports whether a request may be sent again although an earlier attempt may have
// run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// PickService returns the service of one request, chosen by weight; draw is a random number in
// [0,1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.ServiceWeights {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.ServiceWeights {
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Service
		}
	}
	return ""
}

// EngineModel is the cost model of a service's model engines.
type EngineModel struct {
	Slots             int           // streams that an engine runs at once
	StepsPerPass      int           // token steps in one pass
	BaseStepTime      time.Duration // time of one token step without running streams
	StepTimePerStream time.Duration
	PrefillRate       float64 // prompt tokens a second
	MeanPromptTokens  float64
	MeanOutputTokens  float64
	LayerSets         int // sets of layers with one expert map each; 0: the model has no experts
	Experts           int // experts of a layer set
	ExpertsPerRank    int // most experts of a layer set on one rank
	SpareExperts      int // new experts of a layer set that a rank can load at once
	ExpertBytes       float64
	CopyRate          float64       // bytes a second at which a rank copies experts
	ExpertShare       float64       // share of the work for a token that is done by experts
	ReportLag         time.Duration // age of the reports that engines give to other VMs; 0: unknown
}

// Service is a named service that targets provide.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int          // connections that one target accepts, over all callers
	ColdRate   float64      // requests a second that one cold target takes from all entries together; 0: no limit
	Engine     *EngineModel // cost model of the engines; nil for a plain service
}

// Team is a group of callers.
type Team struct {
	Name              string
	Keys              []string
	Priority          int
	OverridesPriority bool // the team's Priority replaces the route's
}

// Limits are the limits on a caller's request and its connection.
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

// Index looks up the routes, teams and services of one configuration. It is immutable.
type Index struct {
	Config
	byHost    map[string][]*Route // routes of each host, longest prefix first
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

// Route returns the route with the longest prefix that matches a request, or nil. The host may
// carry a port.
func (x *Index) Route(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, r := range x.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team to which a key belongs, or nil.
func (x *Index) Team(key string) *Team { return x.byKey[key] }

// EventGapObjective returns the shortest event-gap objective of the stream routes to a
// service, or 0 if none has one.
func (x *Index) EventGapObjective(service string) time.Duration {
	shortest := time.Duration(0)
	for i := range x.Routes {
		r := &x.Routes[i]
		if r.Kind != KindStream || r.EventGapObjective == 0 || (shortest != 0 && r.EventGapObjective >= shortest) {
			continue
		}
		if slices.ContainsFunc(r.ServiceWeights, func(s ServiceWeight) bool { return s.Service == service }) {
			shortest = r.EventGapObjective
		}
	}
	return shortest
}

// Service returns a service by its name, or nil.
func (x *Index) Service(name string) *Service { return x.byService[name] }

// HasService reports whether the configuration has a service of this name.
func (x *Index) HasService(service string) bool { return x.byService[service] != nil }
