// Package outcomes runs a whole small system in one process under faults, records
// what callers were told and what targets really ran, and checks one against the
// other. Tests run it in virtual time, the bench in real time.
package outcomes

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
)

// Invocation is one request of a caller and what it was told.
type Invocation struct {
	ID            string // new for each try of the caller
	Key           string // empty: repeatable
	Service       string
	Entry         string
	StartedAt     time.Time
	EndedAt       time.Time // zero: it never ended
	Deadline      time.Time
	Code          result.Code // OK: a whole answer
	Detail        string      // of a refusal
	Answer        string      // what the caller read
	WantAnswer    string      // the whole answer, where it can be told in advance
	Streamed      bool
	Continuations int
	CrashBody     bool
}

// Execution is one request that reached a target.
type Execution struct {
	ID     string // of the invocation
	Key    string
	Target string
	Body   string
	Output string // what the target produced, as far as it was read
	At     time.Time
}

// History is a recorded run.
type History struct {
	mu          sync.Mutex
	Invocations []*Invocation
	Executions  []*Execution
}

func (h *History) begin(i *Invocation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Invocations = append(h.Invocations, i)
}

func (h *History) ran(e *Execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Executions = append(h.Executions, e)
}

// executionsOf counts what ran under an invocation's id.
func (h *History) executionsOf() map[string]int {
	n := make(map[string]int)
	for _, e := range h.Executions {
		n[e.ID]++
	}
	return n
}

// recordingBackend records what its target runs. A request whose body holds
// CrashMarker kills the target soon after it began.
type recordingBackend struct {
	outside.Backend
	target  string
	history *History
	onCrash func()
	broken  atomic.Bool  // each call is lost in mid-run
	calls   atomic.Int64 // that reached the target
}

// CrashMarker is in the body of a request that crashes its target.
const CrashMarker = "crash-me"

var errBroken = errors.New("lost in mid-run")

// Run implements outside.Backend.
func (b *recordingBackend) Run(ctx context.Context, call *outside.Call) (*outside.Reply, error) {
	if call.Method != "GET" {
		b.calls.Add(1)
	}
	if b.broken.Load() && call.Method != "GET" {
		return nil, &outside.SendError{MayHaveRun: true, Err: errBroken}
	}
	reply, err := b.Backend.Run(ctx, call)
	if err != nil || call.Method == "GET" { // a probe
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
	b.history.ran(e)
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
