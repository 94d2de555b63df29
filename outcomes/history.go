// Package outcomes runs a small system of entries, agents and targets in one process
// and injects faults. It records the results that callers got and the requests that
// targets ran, and checks them against each other. Tests run in virtual time, the
// benchmark in real time.
package outcomes

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
)

// Invocation is one attempt of a caller and its result.
type Invocation struct {
	ID            string // unique to the attempt
	Key           string // idempotency key; empty: the request may run more than once
	Service       string
	Entry         string
	StartedAt     time.Time
	EndedAt       time.Time // zero: the attempt never ended
	Deadline      time.Time
	Code          result.Code // OK: a complete response
	Detail        string      // error text if Code is not OK
	Answer        string      // text that the caller received
	WantAnswer    string      // expected complete answer, if it is known in advance
	Streamed      bool
	Continuations int
	CrashBody     bool
}

// Execution is one execution of a request on a target.
type Execution struct {
	ID     string // ID of the invocation
	Key    string
	Target string
	Body   string
	Output string // response of the target, as far as it was read
	At     time.Time
}

// History is the record of a run.
type History struct {
	mu          sync.Mutex
	Invocations []*Invocation
	Executions  []*Execution
	Rests       map[string][]fake.Rest // by target
}

func (h *History) addInvocation(i *Invocation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Invocations = append(h.Invocations, i)
}

func (h *History) addExecution(e *Execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Executions = append(h.Executions, e)
}

// executionCounts returns the number of executions by invocation ID.
func (h *History) executionCounts() map[string]int {
	n := make(map[string]int)
	for _, e := range h.Executions {
		n[e.ID]++
	}
	return n
}

// recordingBackend records the requests that its target runs. A request whose body
// contains CrashMarker crashes the target soon after its start.
type recordingBackend struct {
	outside.Backend
	target  string
	history *History
	onCrash func()
	failing atomic.Bool  // each call fails after it was sent
	calls   atomic.Int64 // calls that reached the target
}

// CrashMarker marks the body of a request that crashes its target.
const CrashMarker = "crash-me"

var errCallLost = errors.New("lost in mid-run")

// Run implements outside.Backend.
func (b *recordingBackend) Run(ctx context.Context, call *outside.Call) (*outside.Reply, error) {
	if call.Method != "GET" {
		b.calls.Add(1)
	}
	if b.failing.Load() && call.Method != "GET" {
		return nil, &outside.SendError{MayHaveRun: true, Err: errCallLost}
	}
	reply, err := b.Backend.Run(ctx, call)
	if err != nil || call.Method == "GET" { // GET requests are health probes
		return reply, err
	}
	e := &Execution{Target: b.target, Body: string(call.Body), At: time.Now()}
	for _, h := range call.Headers {
		switch h[0] {
		case "Heatherrail-Request-Id":
			e.ID = h[1]
		case "Idempotency-Key":
			e.Key = h[1]
		}
	}
	b.history.addExecution(e)
	if strings.Contains(e.Body, CrashMarker) && b.onCrash != nil {
		b.onCrash()
	}
	reply.Body = &recordingBody{ReadCloser: reply.Body, history: b.history, execution: e}
	return reply, nil
}

type recordingBody struct {
	io.ReadCloser
	history   *History
	execution *Execution
}

// Read implements io.Reader.
func (b *recordingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.history.mu.Lock()
	b.execution.Output += string(p[:n])
	b.history.mu.Unlock()
	return n, err
}
