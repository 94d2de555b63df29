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

// textStream records the text of a streamed generation, so that the generation can continue on
// another target when its target is lost. The continuation starts from the prompt and the text
// delivered so far, with the rest of the token budget. Only complete events reach the caller.
//
// Continuing an aborted generation from prompt and partial tokens with a reduced budget is
// described in "Separate-Async RL Training for Omni AR Models" (abort semantics).
// docs/design/0003-retries.md has measurements of this method.
type textStream struct {
	partialEvent []byte // bytes of an incomplete event
	text         strings.Builder
	tokenCount   int
	hasEndMark   bool // the end mark, [DONE], has arrived
}

const (
	eventSeparator = "\n\n"
	dataPrefix     = "data:"
	doneMark       = "[DONE]"
)

// newTextStream returns a textStream for an answer, or nil if a continuation on another target
// is not possible for this call.
func newTextStream(c *Call, a *wire.Answer) *textStream {
	if !c.Repeatable || !strings.HasSuffix(c.Path, "/completions") || !isEventStream(a) {
		return nil
	}
	return new(textStream)
}

// feed takes bytes of the answer and returns the complete events among them.
func (s *textStream) feed(p []byte) []byte {
	if len(s.partialEvent) == 0 && bytes.HasSuffix(p, []byte(eventSeparator)) {
		s.readEvents(p)
		return p // the entry owns the received bytes, so no copy is needed
	}
	s.partialEvent = append(s.partialEvent, p...)
	end := bytes.LastIndex(s.partialEvent, []byte(eventSeparator))
	if end < 0 {
		return nil
	}
	end += len(eventSeparator)
	events := append([]byte(nil), s.partialEvent[:end]...)
	s.partialEvent = append(s.partialEvent[:0], s.partialEvent[end:]...)
	s.readEvents(events)
	return events
}

// readEvents records the text of complete events.
func (s *textStream) readEvents(p []byte) {
	for len(p) > 0 {
		event, rest, _ := bytes.Cut(p, []byte(eventSeparator))
		s.readEvent(event)
		p = rest
	}
}

// textEvent is the part of an event that holds the text, in the completion and chat interfaces.
type textEvent struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readEvent records the text or the end mark of one event.
func (s *textStream) readEvent(event []byte) {
	data, ok := bytes.CutPrefix(bytes.TrimSpace(event), []byte(dataPrefix))
	if !ok {
		return
	}
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return
	}
	if string(data) == doneMark {
		s.hasEndMark = true
		return
	}
	if token, ok := eventText(data); ok {
		if len(token) > 0 {
			s.text.Write(token)
			s.tokenCount++
		}
		return
	}
	var e textEvent
	if json.Unmarshal(data, &e) != nil || len(e.Choices) == 0 {
		return
	}
	if token := e.Choices[0].Text + e.Choices[0].Delta.Content; token != "" {
		s.text.WriteString(token)
		s.tokenCount++
	}
}

// handleEnd handles the end of the stream. At a clean end it returns the bytes after the last
// complete event. If the target is lost after it sent the end mark, the answer is complete.
func (s *textStream) handleEnd(err error) ([]byte, error) {
	if errors.Is(err, io.EOF) && len(s.partialEvent) > 0 {
		rest := s.partialEvent
		s.partialEvent = nil
		return rest, nil
	}
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	if s.hasEndMark && route.RetryRuleFor(result.From(err).Code, true) == route.RetryBudgeted {
		return nil, io.EOF
	}
	return nil, err
}

// dropPartialEvent discards an incomplete event.
func (s *textStream) dropPartialEvent() { s.partialEvent = s.partialEvent[:0] }

// endMark returns the end mark for the caller. It is used when the target was lost after the
// whole text but before the end mark.
func (s *textStream) endMark() []byte {
	s.hasEndMark = true
	return []byte(dataPrefix + " " + doneMark + eventSeparator)
}

// continuationComment returns an event-stream comment that names the target and the model
// version that continue the text. Clients skip such comments.
func (s *textStream) continuationComment(a *attempt) []byte {
	return fmt.Appendf(nil, ": continued after %d tokens, target=%s model=%s%s", s.tokenCount, a.target, a.answer.Model, eventSeparator)
}

// generationFields are the request fields that a continuation changes or depends on.
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

// continuationBody returns the request body for the rest of the text. body is nil if the token
// budget is used up. ok is false if the request cannot be continued.
func (s *textStream) continuationBody(c *Call) (body []byte, ok bool) {
	var f generationFields
	if json.Unmarshal(c.Body, &f) != nil || f.N > 1 || f.Echo {
		return nil, false
	}
	fields := make(map[string]any) // preserves fields that this build does not know
	if json.Unmarshal(c.Body, &fields) != nil {
		return nil, false
	}
	if f.MaxTokens != nil {
		if *f.MaxTokens <= s.tokenCount {
			return nil, true
		}
		fields["max_tokens"] = *f.MaxTokens - s.tokenCount
	}
	switch {
	case f.Prompt != nil:
		fields["prompt"] = *f.Prompt + s.text.String()
	case len(f.Messages) > 0:
		s.appendAssistantMessage(fields, f.Messages)
	default:
		return nil, false
	}
	body, err := json.Marshal(fields)
	return body, err == nil
}

// appendAssistantMessage adds the delivered text to the request as an unfinished message of the
// assistant, which the engine then continues.
func (s *textStream) appendAssistantMessage(fields map[string]any, messages []json.RawMessage) {
	extended := make([]any, 0, len(messages)+1)
	for _, m := range messages {
		extended = append(extended, m)
	}
	fields["messages"] = append(extended, assistantMessage{Role: "assistant", Content: s.text.String()})
	fields["add_generation_prompt"] = false
	fields["continue_final_message"] = true
}
