package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

// textStream follows a streamed generation, so that it can go on elsewhere when
// its target is lost: from the prompt and the text delivered so far, with what is
// left of the token budget. Only whole events go to the caller.
//
// Continuing an aborted generation from prompt and partial tokens with a reduced
// budget is described in "Separate-Async RL Training for Omni AR Models" (abort
// semantics); docs/design/0003-retries.md has our figures for it.
type textStream struct {
	partial  []byte // bytes of an event that is not whole yet
	text     strings.Builder
	tokens   int
	complete bool // the end mark was seen
}

const (
	eventEnd = "\n\n"
	dataMark = "data:"
	doneMark = "[DONE]"
)

// newTextStream returns nil if the call's answer can't be continued.
func newTextStream(c *Call, a *wire.Answer) *textStream {
	if !c.Repeatable || !strings.HasSuffix(c.Path, "/completions") || !streamsEvents(a) {
		return nil
	}
	return new(textStream)
}

// feed takes bytes of the answer and returns the whole events among them.
func (s *textStream) feed(p []byte) []byte {
	if len(s.partial) == 0 && bytes.HasSuffix(p, []byte(eventEnd)) {
		s.events(p)
		return p // owned by this side already
	}
	s.partial = append(s.partial, p...)
	end := bytes.LastIndex(s.partial, []byte(eventEnd))
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	events := append([]byte(nil), s.partial[:end]...)
	s.partial = append(s.partial[:0], s.partial[end:]...)
	s.events(events)
	return events
}

func (s *textStream) events(p []byte) {
	for len(p) > 0 {
		event, rest, _ := bytes.Cut(p, []byte(eventEnd))
		s.event(event)
		p = rest
	}
}

// textEvent is what continuation needs of an event of either interface.
type textEvent struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (s *textStream) event(event []byte) {
	data, ok := bytes.CutPrefix(bytes.TrimSpace(event), []byte(dataMark))
	if !ok {
		return
	}
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return
	}
	if string(data) == doneMark {
		s.complete = true
		return
	}
	if token, ok := eventText(data); ok {
		if len(token) > 0 {
			s.text.Write(token)
			s.tokens++
		}
		return
	}
	var e textEvent
	if json.Unmarshal(data, &e) != nil || len(e.Choices) == 0 {
		return
	}
	if token := e.Choices[0].Text + e.Choices[0].Delta.Content; token != "" {
		s.text.WriteString(token)
		s.tokens++
	}
}

// end takes the end of the stream. Bytes that form no event are handed over; the
// loss of a target that has sent its end mark is no loss.
func (s *textStream) end(err error) ([]byte, error) {
	if errors.Is(err, io.EOF) && len(s.partial) > 0 {
		rest := s.partial
		s.partial = nil
		return rest, nil
	}
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	if s.complete && route.RetryRuleFor(result.From(err).Code, true) == route.RetryBudgeted {
		return nil, io.EOF
	}
	return nil, err
}

// reset drops an event that was cut.
func (s *textStream) reset() { s.partial = s.partial[:0] }

// finish returns the end mark for an answer that lacks nothing else.
func (s *textStream) finish() []byte {
	s.complete = true
	return []byte(dataMark + " " + doneMark + eventEnd)
}

// continued returns a comment, which readers of events skip, that says where and
// under which model version the text goes on.
func (s *textStream) continued(a *attempt) []byte {
	return fmt.Appendf(nil, ": continued after %d tokens, target=%s model=%s%s", s.tokens, a.target, a.answer.Model, eventEnd)
}

// generationFields are the fields of a request that continuation changes or
// depends on.
type generationFields struct {
	Prompt    *string           `json:"prompt"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens *int              `json:"max_tokens"`
	N         int               `json:"n"`
	Echo      bool              `json:"echo"`
}

type assistantMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// remainder returns the request for the rest of the text; nil if the text is
// whole. It fails for requests whose rest can't be asked for.
func (s *textStream) remainder(c *Call) (body []byte, ok bool) {
	var f generationFields
	if json.Unmarshal(c.Body, &f) != nil || f.N > 1 || f.Echo {
		return nil, false
	}
	fields := make(map[string]any) // keeps what this build does not know
	if json.Unmarshal(c.Body, &fields) != nil {
		return nil, false
	}
	if f.MaxTokens != nil {
		if *f.MaxTokens <= s.tokens {
			return nil, true
		}
		fields["max_tokens"] = *f.MaxTokens - s.tokens
	}
	switch {
	case f.Prompt != nil:
		fields["prompt"] = *f.Prompt + s.text.String()
	case len(f.Messages) > 0:
		s.continueChat(fields, f.Messages)
	default:
		return nil, false
	}
	body, err := json.Marshal(fields)
	return body, err == nil
}

// continueChat adds the delivered text as the assistant's unfinished message.
func (s *textStream) continueChat(fields map[string]any, messages []json.RawMessage) {
	rest := make([]any, 0, len(messages)+1)
	for _, m := range messages {
		rest = append(rest, m)
	}
	fields["messages"] = append(rest, assistantMessage{Role: "assistant", Content: s.text.String()})
	fields["add_generation_prompt"] = false
	fields["continue_final_message"] = true
}
