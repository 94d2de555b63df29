// Package gateway is the process that callers connect to. It knows the accepted
// configuration and the targets from the platform's store and from its peers,
// tells callers which entries to use, and sends each request straight to a
// target.
package gateway

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/heatherrail/heatherrail/members"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/serving"
)

// HeaderNames names the header fields that callers and targets use.
type HeaderNames struct {
	RequestID   string // of one attempt of a caller; targets echo it
	Deadline    string // milliseconds that are left
	Key         string // that a team's caller shows; never passed on
	Team        string // whose request it is, for the target
	Instance    string // id of the one run of a target that may take the request
	NotRun      string // in an answer: the target did not run the request
	FaultAt     string // in an answer: the target whose fault it is
	RateLimit   string // in an answer: requests a second that the target takes from all entries together
	Seal        string // in an answer: the target's proof that it is its own
	ResumeAfter string // last event that the caller of a stream has
	Priority    string // 0 is the most urgent
	Tokens      string // prompt tokens and the most output tokens, joined by a comma
	LengthHint  string // the caller's estimate of the output tokens
}

// Options are what a gateway is started with.
type Options struct {
	Name        string // of the VM
	Incarnation uint64
	DataCentre  string
	CallerAddr  string // address that callers are told to connect to
	PeerAddr    string // address that other entries connect to
	Headers     HeaderNames
	Store       serving.Store
	// DecodeConfig decodes a record of serving.TopicConfig; ok is false for records
	// that are something else.
	DecodeConfig func(key string, value []byte) (c serving.Config, ok bool, err error)
	// DecodeEvacuation decodes an order to evacuate a data centre, a record of
	// serving.TopicConfig without a value if the order is withdrawn; ok is false for records
	// that are something else.
	DecodeEvacuation func(key string, value []byte) (dataCentre string, ok bool, err error)
	// DecodeTarget decodes a record of serving.TopicTargets.
	DecodeTarget func(id string, value []byte) (serving.Target, error)

	DrainTimeout            time.Duration // within it a leaving target gets no more work
	ConfigApplyTimeout      time.Duration // within it an accepted configuration is in force
	TargetHeartbeatInterval time.Duration // between two records of a target that lives
	ShutdownGrace           time.Duration // between the order to stop and the end
	MaxDirectoryTTL         time.Duration // of an answer of the directory
	MaxDirectoryAddresses   int           // that an answer of the directory names; 0: any number
	RetryBudget             RetryBudget
	AgentPort               string                                  // on each VM with an engine; where its agent answers peers
	Dial                    func(address string) members.PeerClient // returns a client of another entry; nil: by TCP

	Log     logr.Logger
	Metrics *metrics.Set
}

// RetryBudget bound what a service gets beyond the first try of each request,
// over all entries.
type RetryBudget struct {
	Ratio  float64 // retries for each request
	Slack  float64 // retries beyond that in one window
	Window time.Duration
}
