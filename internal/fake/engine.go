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

// Run is one request that a stand-in executed.
type Run struct {
	Key      string `json:"key,omitempty"` // idempotency key
	Body     string `json:"body"`
	Finished bool   `json:"finished"`
}

// Engine is a stand-in for a model engine. Each token is a function of the complete text
// before the token. Tests can therefore verify a generated text, and a text that is
// continued on another engine equals a text that is generated without interruption.
type Engine struct {
	Name  string
	Model string

	mu         sync.Mutex
	maxRunning int           // number of requests that one step decodes
	requests   []*generation // running requests first, then queued ones
	runs       []*Run
	stalled    bool
	holdAfter  int // number of tokens after which a request gets no more; 0: no limit
	down       bool
	delay      time.Duration
	kill       chan struct{} // closed by Kill
	rank       *Rank         // rank of the engine; nil unless the engine is in a LockStep
}

// NewEngine returns an engine that decodes up to maxRunning requests per step.
func NewEngine(name, model string, maxRunning int) *Engine {
	return &Engine{Name: name, Model: model, maxRunning: maxRunning, kill: make(chan struct{})}
}

// generation is one request that is queued or running in the engine.
type generation struct {
	ctx        context.Context
	text       string // prompt and tokens so far
	tokensLeft int
	emitted    int         // number of tokens generated
	tokens     chan string // capacity for all tokens, so that a step never blocks
	run        *Run
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

// words is the vocabulary of the engine.
var words = strings.Fields("check fridge oven clean log shift door probe batch cool heat rest proof knead label date")

// NextToken returns the token that an engine generates after a text.
func NextToken(text string) string {
	return " " + words[xxhash.Sum64String(text)%uint64(len(words))]
}

// Generate returns the text that an engine generates for a prompt, without the prompt.
func Generate(prompt string, tokens int) string {
	text := prompt
	for range tokens {
		text += NextToken(text)
	}
	return text[len(prompt):]
}

// Stall stops the engine's steps if on is true, and resumes the steps otherwise.
func (e *Engine) Stall(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = on
}

// Hold makes the engine stop each request after a number of tokens, until Hold(0) lets them go on.
func (e *Engine) Hold(after int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holdAfter = after
}

// Stalled reports whether the engine is running but its steps are stopped.
func (e *Engine) Stalled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stalled && !e.down
}

// SetDelay delays each request by d before it is queued.
func (e *Engine) SetDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = d
}

// Kill aborts all requests and makes the engine refuse new ones until Restart.
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

// Restart starts a killed engine again, without requests.
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

// setRank makes the engine the engine of a rank in a LockStep.
func (e *Engine) setRank(r *Rank) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rank = r
}

// Rank returns the engine's rank, nil unless the engine is in a LockStep.
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

// Runs returns all requests that the engine has accepted so far.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// step generates one token for each running request and removes requests that are
// finished or cancelled.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var unfinished []*generation
	for i, g := range e.requests {
		if g.ctx.Err() != nil {
			continue
		}
		if i < e.maxRunning && (e.holdAfter == 0 || g.emitted < e.holdAfter) {
			g.emit()
		}
		if g.tokensLeft > 0 {
			unfinished = append(unfinished, g)
		}
	}
	e.requests = unfinished
}

// emit generates the next token of the request.
func (g *generation) emit() {
	token := NextToken(g.text)
	g.text += token
	g.tokensLeft--
	g.emitted++
	g.tokens <- token
	if g.tokensLeft == 0 {
		g.run.Finished = true
		close(g.tokens)
	}
}

// Active returns the number of queued and running requests.
func (e *Engine) Active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

var errEngineDown = errors.New("engine is down")

// Run implements outside.Backend. It accepts completion and chat completion requests.
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
		ctx:        ctx,
		text:       req.text(),
		tokensLeft: req.MaxTokens,
		tokens:     make(chan string, req.MaxTokens),
		run:        &Run{Key: outside.Header(call.Headers, "Idempotency-Key"), Body: string(call.Body)},
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
	text, _ := json.Marshal(v) // encoding a map of strings can't fail
	return &outside.Reply{
		Status:  status,
		Headers: [][2]string{{"Content-Type", "application/json"}},
		Body:    io.NopCloser(strings.NewReader(string(text))),
	}
}
