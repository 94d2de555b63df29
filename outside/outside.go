// Package outside holds what heatherrail assumes of the platform it runs on:
// interfaces, and clients for them over HTTP.
package outside

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"
)

// Errors of the log service.
var (
	// ErrTrimmed: records at the asked offset are no longer kept.
	ErrTrimmed = errors.New("log records were trimmed")
	// ErrUnknownOutcome: an append may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the append is unknown")
)

// Page is a run of log records.
type Page struct {
	First   uint64   // oldest offset that the log still keeps
	Next    uint64   // offset to read from next
	Records [][]byte // consecutive, ending before Next
}

// Log is the append-only log service.
type Log interface {
	// Append adds records in one step and returns the offset of the first. An
	// error that wraps ErrUnknownOutcome leaves open whether it took effect.
	Append(ctx context.Context, records [][]byte) (uint64, error)
	// Read returns records from an offset on; it waits up to wait for the first
	// one. It fails with ErrTrimmed if the offset is no longer kept.
	Read(ctx context.Context, from uint64, max int, wait time.Duration) (Page, error)
}

// Roles and states of VMs.
const (
	RoleEntry  = "entry"
	RoleTarget = "target"

	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM is one row of the platform's list.
type VM struct {
	ID         string `json:"id"`      // new for each VM, never reused
	Name       string `json:"name"`    // entry name, or name of the target it serves
	Role       string `json:"role"`    // RoleEntry or RoleTarget
	Address    string `json:"address"` // of the heatherrail process, IP number and port
	Callers    string `json:"callers"` // of an entry's HTTP side
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	State      string `json:"state"` // StateLive or StateLeaving
}

// VMList is the platform's lagging list of live and leaving VMs.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// Call is one request towards an engine or a plain service.
type Call struct {
	Method  string
	Path    string // with query
	Headers [][2]string
	Body    []byte
	Sched   Sched
}

// Sched is what decides when a call runs. It does not reach the backend.
type Sched struct {
	Entry    string // that sent it
	Team     string
	Weight   int
	Priority int8
	Prompt   int           // uncached prompt tokens, estimated
	Decode   int           // tokens to generate, estimated
	MaxWait  time.Duration // for the first token; zero: no bound
}

// Header returns the first value of a header of a Call or Reply, whatever the case
// of its name; empty if it is not there.
func Header(headers [][2]string, name string) string {
	for _, h := range headers {
		if strings.EqualFold(h[0], name) {
			return h[1]
		}
	}
	return ""
}

// Reply is the answer of a backend. Body must be closed; closing it before its
// end makes the backend stop working on the call.
type Reply struct {
	Status  int
	Headers [][2]string
	// Body ends with io.EOF only if the backend's answer was whole.
	Body io.ReadCloser
}

// SendError is a failed Call.
type SendError struct {
	MayHaveRun bool // some byte may have reached the backend
	Err        error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Backend runs calls: a model engine's or a plain service's HTTP side.
type Backend interface {
	// Run sends the call once and never again. Cancelling ctx stops the work. The
	// error is a *SendError.
	Run(ctx context.Context, call *Call) (*Reply, error)
}
