package fake

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrail/heatherrail/outside"
)

// Run is one request that a stand-in really ran.
type Run struct {
	Key      string `json:"key,omitempty"` // idempotency key
	Body     string `json:"body"`
	Finished bool   `json:"finished"`
}

// Engine is a model engine. Its next token depends on the whole text so far, so
// an answer can be checked, and a continued one equals an uncut one.
type Engine struct {
	Name  string
	Model string

	mu         sync.Mutex
	maxRunning int
	requests   []*generation // running first, then queued
	runs       []*Run
	stalled    bool
	down       bool
	delay      time.Duration
	kill       chan struct{} // closed when the engine dies
	rank       *Rank         // nil outside of a LockStep
}

// NewEngine returns an engine that decodes up to maxRunning requests in a step.
func NewEngine(name, model string, maxRunning int) *Engine {
	return &Engine{Name: name, Model: model, maxRunning: maxRunning, kill: make(chan struct{})}
}

// generation is one request inside the engine.
type generation struct {
	ctx  context.Context
	text string // prompt and tokens so far
	left int
	out  chan string // as many places as tokens, so a step never waits
	run  *Run
}

type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

const (
	defaultTokens = 16
	maxTokens     = 1 << 16
)

func (r *completionRequest) text() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

// words is the vocabulary of the stand-in.
var words = strings.Fields("check fridge oven clean log shift door probe batch cool heat rest proof knead label date")

// NextToken returns the token that follows a text.
func NextToken(text string) string {
	return " " + words[xxhash.Sum64String(text)%uint64(len(words))]
}

// Generate returns the text that an engine produces for a prompt.
func Generate(prompt string, tokens int) string {
	text := prompt
	for range tokens {
		text += NextToken(text)
	}
	return text[len(prompt):]
}

// Stall holds the engine's steps, or lets them go on.
func (e *Engine) Stall(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = on
}

// Stalled reports whether the engine holds its steps.
func (e *Engine) Stalled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stalled && !e.down
}

// SetDelay makes each request wait for d before the engine takes it.
func (e *Engine) SetDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = d
}

// Kill ends all requests and refuses new ones until Restart.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	e.requests = nil
	close(e.kill)
}

// Restart brings a killed engine back, empty.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		e.down = false
		e.kill = make(chan struct{})
		if e.rank != nil {
			e.rank.restart()
		}
	}
}

// setRank makes the engine a rank of a LockStep.
func (e *Engine) setRank(r *Rank) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rank = r
}

// Rank returns the rank side, nil outside of a LockStep.
func (e *Engine) Rank() *Rank {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rank
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// Runs returns what the engine has started so far.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// step computes one token for each running request.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var kept []*generation
	for i, g := range e.requests {
		if g.ctx.Err() != nil {
			continue
		}
		if i < e.maxRunning {
			g.emit()
		}
		if g.left > 0 {
			kept = append(kept, g)
		}
	}
	e.requests = kept
}

func (g *generation) emit() {
	token := NextToken(g.text)
	g.text += token
	g.left--
	g.out <- token
	if g.left == 0 {
		g.run.Finished = true
		close(g.out)
	}
}

// Active returns how many requests the engine holds.
func (e *Engine) Active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

var errEngineDown = errors.New("engine is down")

// Run implements outside.Backend.
func (e *Engine) Run(ctx context.Context, call *outside.Call) (*outside.Reply, error) {
	var req completionRequest
	if err := json.Unmarshal(call.Body, &req); err != nil {
		return jsonReply(http.StatusBadRequest, map[string]string{"error": err.Error()}), nil
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultTokens
	}
	req.MaxTokens = min(req.MaxTokens, maxTokens)
	ctx, cancel := context.WithCancel(ctx)
	g := &generation{
		ctx:  ctx,
		text: req.text(),
		left: req.MaxTokens,
		out:  make(chan string, req.MaxTokens),
		run:  &Run{Key: outside.Header(call.Headers, "Idempotency-Key"), Body: string(call.Body)},
	}
	if err := e.waitDelay(ctx); err != nil {
		cancel()
		return nil, &outside.SendError{MayHaveRun: true, Err: err}
	}
	e.mu.Lock()
	kill := e.kill
	if e.down {
		e.mu.Unlock()
		cancel()
		return nil, &outside.SendError{MayHaveRun: false, Err: errEngineDown}
	}
	e.requests = append(e.requests, g)
	e.runs = append(e.runs, g.run)
	e.mu.Unlock()
	body := &engineBody{engine: e, gen: g, kill: kill, cancel: cancel, chat: len(req.Messages) > 0, stream: req.Stream}
	contentType := "application/json"
	if req.Stream {
		contentType = "text/event-stream"
	}
	return &outside.Reply{
		Status:  http.StatusOK,
		Headers: [][2]string{{"Content-Type", contentType}, {"Heatherrail-Model", e.Model}},
		Body:    body,
	}, nil
}

func (e *Engine) waitDelay(ctx context.Context) error {
	e.mu.Lock()
	delay := e.delay
	e.mu.Unlock()
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func jsonReply(status int, v any) *outside.Reply {
	text, _ := json.Marshal(v) // maps of strings always encode
	return &outside.Reply{
		Status:  status,
		Headers: [][2]string{{"Content-Type", "application/json"}},
		Body:    io.NopCloser(strings.NewReader(string(text))),
	}
}
