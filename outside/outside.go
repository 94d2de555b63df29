// Package outside defines the interfaces of the platform that heatherrail runs on, and
// HTTP clients that implement them.
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
	// ErrTrimmed means that the records at the requested offset were trimmed.
	ErrTrimmed = errors.New("log records were trimmed")
	// ErrUnknownOutcome means that an append may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the append is unknown")
)

// Page is a sequence of consecutive log records.
type Page struct {
	First   uint64   // oldest offset that the log still holds
	Next    uint64   // offset of the next read
	Records [][]byte // consecutive, ending before Next
}

// Log is the append-only log service.
type Log interface {
	// Append adds records atomically and returns the offset of the first. After an
	// error that wraps ErrUnknownOutcome, the append may have taken effect.
	Append(ctx context.Context, records [][]byte) (uint64, error)
	// Read returns at most max records starting at from. It waits up to wait for the
	// first record. It fails with ErrTrimmed if the record at from was trimmed.
	Read(ctx context.Context, from uint64, max int, wait time.Duration) (Page, error)
}

// Roles and states of VMs.
const (
	RoleEntry  = "entry"
	RoleTarget = "target"

	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM is one row of the VM list of the platform.
type VM struct {
	ID         string `json:"id"`      // unique to the VM, never reused
	Name       string `json:"name"`    // name of the entry, or of the target that runs on the VM
	Role       string `json:"role"`    // RoleEntry or RoleTarget
	Address    string `json:"address"` // IP address and port of the heatherrail process
	Callers    string `json:"callers"` // of an entry: address of its HTTP listener for callers
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	State      string `json:"state"` // StateLive or StateLeaving
}

// VMList is the list of live and leaving VMs of the platform. It lags behind the real
// state.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// Call is one request to an engine or a plain service.
type Call struct {
	Method  string
	Path    string // path with the query
	Headers [][2]string
	Body    []byte
	Sched   Sched
}

// Sched holds the scheduling parameters of a call. They are not sent to the backend.
type Sched struct {
	Entry    string // entry that sent the call
	Team     string
	Weight   int
	Priority int8
	Prompt   int           // uncached prompt tokens, estimated
	Decode   int           // tokens to generate, estimated
	MaxWait  time.Duration // longest wait for the first token; zero: unlimited
}

// Header returns the first value of a header of a Call or Reply, or "". The name is
// case-insensitive.
func Header(headers [][2]string, name string) string {
	for _, h := range headers {
		if strings.EqualFold(h[0], name) {
			return h[1]
		}
	}
	return ""
}

// Reply is the response of a backend. Body must be closed. Closing it before its end
// cancels the call at the backend.
type Reply struct {
	Status  int
	Headers [][2]string
	// Body ends with io.EOF only if the response was complete.
	Body io.ReadCloser
}

// SendError is the error of a failed Call.
type SendError struct {
	MayHaveRun bool // some bytes of the call may have reached the backend
	Err        error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Backend runs calls on the HTTP interface of a model engine or plain service.
type Backend interface {
	// Run sends the call at most once; it never retries. Cancelling ctx cancels the
	// call at the backend. The error is a *SendError.
	Run(ctx context.Context, call *Call) (*Reply, error)
}
