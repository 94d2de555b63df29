package outcomes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/heatherrail/heatherrail/entry"
	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/result"
)

// Parameters of the simulated callers.
const (
	callerDeadline    = 5 * time.Second
	callerMaxAttempts = 3
	maxCallerPause    = 100 * time.Millisecond
	maxCallerBackoff  = 300 * time.Millisecond // callers wait for less than the Retry-After that they get
	minTokens         = 8
	extraTokens       = 24
)

// caller sends requests sequentially. Like a real caller it retries a request whose
// outcome is unknown through another entry, with the same key.
type caller struct {
	world    *World
	team     string
	rng      *rand.Rand
	jobs     int
	crashing bool // repeatedly sends the request that crashes targets
}

// job is one request of a caller, the same for all attempts.
type job struct {
	service  string
	path     string
	body     string
	key      string
	wantText string
	stream   bool
}

func (c *caller) run(until time.Time) {
	for time.Now().Before(until) {
		c.runJob(c.nextJob())
		time.Sleep(time.Duration(c.rng.Int64N(int64(maxCallerPause))))
	}
}

func (c *caller) nextJob() job {
	c.jobs++
	id := fmt.Sprintf("%s/%d", c.team, c.jobs)
	if c.crashing {
		return generationJob(CrashMarker, "", minTokens+extraTokens, true, false)
	}
	switch draw := c.rng.IntN(10); {
	case draw < 5:
		return job{service: ServicePlain, path: "/entries/" + id, body: "entry " + id, key: id}
	case draw < 6:
		return generationJob("once "+id, id, minTokens, false, false)
	case draw < 8:
		return generationJob("prompt "+id, "", minTokens+c.rng.IntN(extraTokens), true, draw == 7)
	default:
		return generationJob("prompt "+id, "", minTokens+c.rng.IntN(extraTokens), false, false)
	}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionBody struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

func generationJob(prompt, key string, tokens int, stream, chat bool) job {
	body := completionBody{Model: ServiceEngine, Prompt: prompt, MaxTokens: tokens, Stream: stream}
	path := "/v1/completions"
	if chat {
		body.Prompt, body.Messages = "", []message{{Role: "user", Content: prompt}}
		path = "/v1/chat/completions"
	}
	text, _ := json.Marshal(body) // encoding a plain struct cannot fail
	return job{
		service:  ServiceEngine,
		path:     path,
		body:     string(text),
		key:      key,
		wantText: fake.Generate(prompt, tokens),
		stream:   stream,
	}
}

// runJob sends a job until its outcome is known or callerMaxAttempts is reached. One
// attempt in eight with a key is also sent through a second entry concurrently.
func (c *caller) runJob(j job) {
	first := c.rng.IntN(len(c.world.entries))
	for attempt := range callerMaxAttempts {
		entryIdx := (first + attempt) % len(c.world.entries)
		if j.key != "" && c.rng.IntN(8) == 0 {
			other := (entryIdx + 1) % len(c.world.entries)
			c.world.tasks.Add(1)
			go func() {
				defer c.world.tasks.Done()
				c.world.send(c.team, other, j, attempt)
			}()
		}
		i := c.world.send(c.team, entryIdx, j, attempt)
		if i.Code == result.OK || (i.Code.Info().RetryAfter == 0 && j.key == "" && i.Code.Info().Run != result.RunMaybe) {
			return
		}
		if i.Code.Info().Run == result.RunNot {
			time.Sleep(min(i.Code.Info().RetryAfter, maxCallerBackoff))
		}
	}
}

// send sends one attempt and records it as an Invocation.
func (w *World) send(team string, entryIdx int, j job, attempt int) *Invocation {
	entryIdx = w.availableEntry(entryIdx)
	now := time.Now()
	i := &Invocation{
		Key:        j.key,
		Service:    j.service,
		Entry:      w.entries[entryIdx].name,
		StartedAt:  now,
		Deadline:   now.Add(callerDeadline),
		WantAnswer: j.wantText,
		Streamed:   j.stream,
		CrashBody:  strings.Contains(j.body, CrashMarker),
	}
	i.ID = fmt.Sprintf("%s#%d@%s+%d", team, attempt, i.Entry, w.newIncarnation())
	w.History.addInvocation(i)
	answer, err := w.call(w.entry(entryIdx), team, i, j)
	w.History.mu.Lock()
	defer w.History.mu.Unlock()
	i.Answer, i.EndedAt = answer, time.Now()
	if err != nil {
		i.Code, i.Detail = result.From(err).Code, err.Error()
	}
	return i
}

func (w *World) call(e *entry.Entry, team string, i *Invocation, j job) (string, error) {
	snap := e.Current()
	if snap == nil {
		return "", result.New(result.NoConfig, "no configuration yet")
	}
	x, err := e.Do(context.Background(), snap, &entry.Call{
		ID:         i.ID,
		Team:       team,
		Service:    j.service,
		Method:     "POST",
		Path:       j.path,
		Body:       []byte(j.body),
		Key:        j.key,
		Repeatable: j.key == "",
		Deadline:   i.Deadline,
	})
	if err != nil {
		return "", err
	}
	defer x.Close()
	var all strings.Builder
	for {
		data, err := x.Recv()
		if errors.Is(err, io.EOF) {
			i.Continuations = len(x.Models) - 1
			return answerText(j, all.String()), nil
		}
		if err != nil {
			return "", err
		}
		all.WriteString(string(data))
	}
}

// answerText returns the generated text of an engine response, or the raw response of
// a plain service.
func answerText(j job, raw string) string {
	if j.wantText == "" {
		return raw
	}
	if !j.stream {
		return choiceText(raw)
	}
	var text strings.Builder
	for event := range strings.SplitSeq(raw, "\n\n") {
		if data, ok := strings.CutPrefix(event, "data: "); ok && data != "[DONE]" {
			text.WriteString(choiceText(data))
		}
	}
	return text.String()
}

func choiceText(raw string) string {
	var c struct {
		Choices []struct {
			Text    string  `json:"text"`
			Delta   message `json:"delta"`
			Message message `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(raw), &c) != nil || len(c.Choices) == 0 {
		return "unreadable: " + raw
	}
	return c.Choices[0].Text + c.Choices[0].Delta.Content + c.Choices[0].Message.Content
}
