// Package gateway implements an entry: a process that callers connect to. An entry gets the
// accepted configuration and the targets from the platform's store and from its peers, the other
// entries. It serves callers a directory of the entries to connect to, and forwards each request
// directly to a target.
package gateway

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/members"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/serving"
	"github.com/heatherrail/heatherrail/shedding"
)

// HeaderNames are the names of the headers of requests. The comment on each field says what the
// header holds.
type HeaderNames struct {
	RequestID   string // identifies one attempt of a caller; echoed by targets
	Deadline    string // time left until the caller's deadline, in milliseconds
	Key         string // API key of the caller's team; never forwarded
	Team        string // team name, sent to the target
	Instance    string // id of the target run that may handle the request
	ResumeAfter string // id of the last event that the caller of a stream has
	Priority    string // priority of the request; 0 is the most urgent
	Tokens      string // prompt tokens and maximum output tokens, separated by a comma
	PromptParts string // parts of the prompt in order, as ID:TOKENS separated by commas; the last one belongs to the request or its session
	LengthHint  string // the caller's estimate of the output tokens
	Version     string // version of the weights that the caller expects
}

// Options configure a gateway.
type Options struct {
	Name        string // VM name
	Incarnation uint64
	DataCentre  string
	CallerAddr  string // address announced to callers
	PeerAddr    string // address announced to other entries
	Headers     HeaderNames
	Store       serving.Store
	// DecodeConfig decodes a record of serving.TopicConfig. ok is false if the record is
	// not a configuration.
	DecodeConfig func(key string, value []byte) (c serving.Config, ok bool, err error)
	// DecodeEvacuation decodes an order to evacuate a data centre, a record of
	// serving.TopicConfig. A record without a value withdraws the order. ok is false if the
	// record is not such an order.
	DecodeEvacuation func(key string, value []byte) (dataCentre string, ok bool, err error)
	// DecodeTarget decodes a record of serving.TopicTargets.
	DecodeTarget func(id string, value []byte) (serving.Target, error)
	// DecodeAnswer decodes the header of a target's response.
	DecodeAnswer func(status int, header *fasthttp.ResponseHeader) serving.Answer

	DrainTimeout            time.Duration   // time within which a leaving target must stop getting new requests
	ConfigApplyTimeout      time.Duration   // time within which an accepted configuration must be in force
	TargetHeartbeatInterval time.Duration   // interval between two records of a live target
	ShutdownGrace           time.Duration   // time from the order to stop until the process must end
	MaxDirectoryTTL         time.Duration   // upper limit of the TTL of directory answers
	MaxDirectoryAddresses   int             // maximum number of addresses in a directory answer; 0: no limit
	MaxCallerConns          int             // open connections of callers; 0: defaultCallerConns
	MaxCallerBytes          int             // memory that is held for callers, all together; 0: defaultCallerBytes
	MaxTargetConns          int             // open connections to targets; 0: no limit
	MaxEntryConns           int             // kept connections to other entries; 0: no limit
	PeerLimits              shedding.Limits // connections of other entries and of agents, and their memory
	RetryBudget             RetryBudget
	AgentPort               string                                  // port of the lockstep agents
	Dial                    func(address string) members.PeerClient // returns a client for another entry; nil: TCP

	Log     logr.Logger
	Metrics *metrics.Set
}

// RetryBudget limits the retries of a service over all entries together; see placing.RetryBounds.
type RetryBudget struct {
	Ratio  float64 // retries allowed per request
	Slack  float64 // additional retries allowed per window
	Window time.Duration
}
