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

// Bounds of what callers do.
const (
	callerDeadline = 5 * time.Second
	callerRepeats  = 3
	callerPause    = 100 * time.Millisecond
	callerBackoff  = 300 * time.Millisecond // callers keep less than the Retry-After they are told
	minTokens      = 8
	moreTokens     = 24
)

// caller sends requests one after the other and repeats those whose end is not
// known, as real callers do: through another entry, with the same key.
type caller struct {
	world *World
	team  string
	rng   *rand.Rand
	n     int
	crash bool // sends the request that crashes targets, again and again
}

// job is what a caller wants, over all its tries.
type job struct {
	service string
	path    string
	body    string
	key     string
	want    string
	stream  bool
}

func (c *caller) run(until time.Time) {
	for time.Now().Before(until) {
		c.do(c.next())
		time.Sleep(time.Duration(c.rng.Int64N(int64(callerPause))))
	}
}

func (c *caller) next() job {
	c.n++
	id := fmt.Sprintf("%s/%d", c.team, c.n)
	if c.crash {
		return generation(CrashMarker, "", minTokens+moreTokens, true, false)
	}
	switch draw := c.rng.IntN(10); {
	case draw < 5:
		return job{service: ServicePlain, path: "/entries/" + id, body: "entry " + id, key: id}
	case draw < 6:
		return generation("once "+id, id, minTokens, false, false)
	case draw < 8:
		return generation("prompt "+id, "", minTokens+c.rng.IntN(moreTokens), true, draw == 7)
	default:
		return generation("prompt "+id, "", minTokens+c.rng.IntN(moreTokens), false, false)
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

func generation(prompt, key string, tokens int, stream, chat bool) job {
	body := completionBody{Model: ServiceEngine, Prompt: prompt, MaxTokens: tokens, Stream: stream}
	path := "/v1/completions"
	if chat {
		body.Prompt, body.Messages = "", []message{{Role: "user", Content: prompt}}
		path = "/v1/chat/completions"
	}
	text, _ := json.Marshal(body) // a plain struct always encodes
	return job{
		service: ServiceEngine,
		path:    path,
		body:    string(text),
		key:     key,
		want:    fake.Generate(prompt, tokens),
		stream:  stream,
	}
}

// do sends a job until its end is known, or the caller has had enough. Now and
// then a key goes through two entries at once.
func (c *caller) do(j job) {
	first := c.rng.IntN(len(c.world.entries))
	for try := range callerRepeats {
		at := (first + try) % len(c.world.entries)
		if j.key != "" && c.rng.IntN(8) == 0 {
			other := (at + 1) % len(c.world.entries)
			c.world.wait.Add(1)
			go func() {
				defer c.world.wait.Done()
				c.world.send(c.team, other, j, try)
			}()
		}
		i := c.world.send(c.team, at, j, try)
		if i.Code == result.OK || (i.Code.Info().RetryAfter == 0 && j.key == "" && i.Code.Info().Run != result.RunMaybe) {
			return
		}
		if i.Code.Info().Run == result.RunNot {
			time.Sleep(min(i.Code.Info().RetryAfter, callerBackoff))
		}
	}
}

// send makes one invocation and records it.
func (w *World) send(team string, at int, j job, try int) *Invocation {
	at = w.callable(at)
	now := time.Now()
	i := &Invocation{
		Key:        j.key,
		Service:    j.service,
		Entry:      w.entries[at].name,
		StartedAt:  now,
		Deadline:   now.Add(callerDeadline),
		WantAnswer: j.want,
		Streamed:   j.stream,
		CrashBody:  strings.Contains(j.body, CrashMarker),
	}
	i.ID = fmt.Sprintf("%s#%d@%s+%d", team, try, i.Entry, w.incarnation())
	w.History.begin(i)
	answer, err := w.call(w.entry(at), team, i, j)
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

// answerText returns the generated text of an engine's answer, or the answer
// itself.
func answerText(j job, raw string) string {
	if j.want == "" {
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
